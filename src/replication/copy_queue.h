// Whose turn it is to copy the state of this replica (design.md 6.7).
#pragma once

#include "stonemount.h"

namespace stonemount {

// One copies at a time, and follows the log until it joins the chain: several share the link that the chain's own
// answers go by, so all of them end late and commits starve meanwhile. Whoever holds a seat comes before machines to
// spare, also where one of these has begun; then whoever has waited longest. A turn that is not used for a while passes
// on. Runs on the replica's loop.
class CopyQueue {
 public:
  // Asks for a part of the state. False: it is another's turn; it waits, and has to ask again.
  bool admits(const Address& peer, bool seated, Us nowUs);
  // It asks for the log behind the state, and lacks so much of it.
  void follows(const Address& peer, std::size_t lackingBytes, Us nowUs);
  // It is in the chain.
  void joined(const Address& peer);
  const Address& copier() const { return copier_; }  // unset: nobody

 private:
  static constexpr Us kIdleUs = 1000 * kMilliUs;     // a part is asked for again after 0.6 s
  static constexpr Us kWaitingUs = 1000 * kMilliUs;  // who waits asks several times a second
  static constexpr Us kNoNearerUs = 3 * kSecondUs;   // it cannot keep up with the chain, or is near and does not join
  struct Waiting {
    bool seated = false;
    Us sinceUs = 0;
    Us askedUs = 0;
  };
  void expire(Us nowUs);
  bool first(const Address& peer) const;
  Address copier_;
  bool copierSeated_ = false;
  Us usedUs_ = 0;
  std::optional<std::size_t> leastLackingBytes_;  // while it follows the log
  Us nearerUs_ = 0;                               // when it last lacked less than ever before
  absl::btree_map<Address, Waiting> waiting_;
};

}  // namespace stonemount
