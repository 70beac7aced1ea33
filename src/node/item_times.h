// Where the time of items of standing lots goes, by stage: told in the log once a second, and as sums in the metrics
// (docs/operators/metrics.md).
#pragma once

#include "stonemount.h"

namespace stonemount {

enum class ItemStage : std::uint8_t {
  kGrant,     // from the acceptance of its lot until this node was granted a run
  kHold,      // until the run was first sent to a worker
  kWorker,    // until it was over: all tries, and the pauses between them
  kDelivery,  // from its end until the store had its result
};
constexpr std::size_t kItemStages = 4;

// Runs on the loop's thread.
class ItemTimes {
 public:
  struct Sum {
    std::uint64_t count = 0;
    Us totalUs = 0;
    Us longestUs = 0;
  };
  void note(ItemStage stage, Us lengthUs);
  // One event, if anything was noted since the last call.
  void tell(std::size_t running, std::uint64_t notGranted);
  // Since the start of the process.
  const Sum& total(ItemStage stage) const { return totals_[static_cast<std::size_t>(stage)]; }

 private:
  using Sums = std::array<Sum, kItemStages>;
  Sums totals_;
  Sums recent_;  // since they were last told
};

}  // namespace stonemount
