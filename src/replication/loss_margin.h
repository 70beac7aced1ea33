// How many more members a chain can lose, judged from what its members said of themselves (design.md 6.11).
#pragma once

#include "replication/messages.h"

namespace stonemount {

// A member's disk that has not answered for so long counts as lost (design.md 5.4).
constexpr Us kDiskLostUs = 800 * kMilliUs;

struct MemberSight {
  Seat seat;
  std::optional<Pong> pong;  // none: it is silent
};

// What may be lost at once with all that was acknowledged kept and a majority of the voters left.
struct LossMargin {
  std::size_t soundVoters = 0;  // answer from the current view, with a disk that answers
  std::size_t majority = 0;
  std::size_t soundCopies = 0;  // of the chain: each holds all that was acknowledged
  std::size_t machines = 0;     // any so many members
  bool anyZone = false;         // all members of any one zone
  bool bears(std::size_t lostMachines, bool lostZone) const {
    return machines >= lostMachines && (anyZone || !lostZone);
  }
};

LossMargin lossMarginOf(const View& view, const std::vector<MemberSight>& members);

}  // namespace stonemount
