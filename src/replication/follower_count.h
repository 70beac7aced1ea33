// Who follows a chain: its tail counts those that ask it for news by held reads (design.md 6.6).
#pragma once

#include "stonemount.h"

namespace stonemount {

// Runs on the loop's thread.
class FollowerCount {
 public:
  static constexpr Us kMemoryUs = 5 * kSecondUs;   // without another question: follows no more
  static constexpr Us kSettledUs = 2 * kSecondUs;  // within it all that follow have asked

  void note(const Address& follower, Us nowUs) {
    if (sinceUs_ < 0) sinceUs_ = nowUs;
    lastUs_[follower] = nowUs;
  }
  // This replica is not the tail: whoever is counts anew.
  void reset() {
    sinceUs_ = -1;
    lastUs_.clear();
  }
  // 0: not known yet.
  std::size_t count(Us nowUs) {
    absl::erase_if(lastUs_, [nowUs](const auto& entry) { return nowUs - entry.second > kMemoryUs; });
    return sinceUs_ < 0 || nowUs - sinceUs_ < kSettledUs ? 0 : lastUs_.size();
  }

 private:
  Us sinceUs_ = -1;
  absl::flat_hash_map<Address, Us> lastUs_;
};

}  // namespace stonemount
