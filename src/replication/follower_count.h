// Who follows a chain: its tail counts those that ask it for news by held reads (design.md 6.6), and gives each a place
// among them (docs/design-notes/connection-shares.md).
#pragma once

#include "runtime/fleet_place.h"

namespace stonemount {

// What the tail tells one follower of all of them. Not part of the state.
struct FollowerSight {
  std::size_t count = 0;  // who asked lately; 0: not known yet
  FleetPlace place;       // of that follower
};

// Runs on the loop's thread.
class FollowerCount {
 public:
  static constexpr Us kMemoryUs = 5 * kSecondUs;        // without another question: follows no more
  static constexpr Us kPlaceMemoryUs = 30 * kSecondUs;  // a silent one's place is given to nobody else for so long
  static constexpr Us kSettledUs = 2 * kSecondUs;       // within it all that follow have asked

  void note(const Address& follower, Us nowUs);
  // This replica is not the tail: whoever is counts anew.
  void reset();
  // Drops who has been silent for long, and counts the others. To be called before sights are asked for.
  void refresh(Us nowUs);
  FollowerSight sight(const Address& follower) const;

 private:
  struct Follower {
    Us lastUs = 0;
    std::optional<std::uint32_t> place;
  };
  void givePlaces();
  Us sinceUs_ = -1;
  absl::btree_map<Address, Follower> followers_;
  std::size_t count_ = 0;
  std::uint32_t places_ = 0;
  bool unplaced_ = false;  // some follower has no place yet
};

}  // namespace stonemount
