#include "node/item_times.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

namespace {
void add(ItemTimes::Sum& sum, Us lengthUs) {
  ++sum.count;
  sum.totalUs += lengthUs;
  sum.longestUs = std::max(sum.longestUs, lengthUs);
}

std::string countText(const ItemTimes::Sum& sum) { return absl::StrCat(sum.count); }
std::string meanText(const ItemTimes::Sum& sum) {
  const auto count = static_cast<Us>(std::max<std::uint64_t>(1, sum.count));
  return absl::StrCat(sum.totalUs / count / kMilliUs);
}
std::string longestText(const ItemTimes::Sum& sum) { return absl::StrCat(sum.longestUs / kMilliUs); }
}  // namespace

void ItemTimes::note(ItemStage stage, Us lengthUs) {
  const auto place = static_cast<std::size_t>(stage);
  add(totals_[place], lengthUs);
  add(recent_[place], lengthUs);
}

void ItemTimes::tell(std::size_t running, std::uint64_t notGranted) {
  const auto& [grant, hold, worker, delivery] = recent_;
  if (grant.count + hold.count + worker.count + delivery.count == 0) return;
  logEvent("lot_items", {{"running", absl::StrCat(running)},
                         {"granted", countText(grant)},
                         {"notGranted", absl::StrCat(notGranted)},
                         {"grantMs", meanText(grant)},
                         {"grantLongestMs", longestText(grant)},
                         {"sent", countText(hold)},
                         {"holdMs", meanText(hold)},
                         {"holdLongestMs", longestText(hold)},
                         {"ended", countText(worker)},
                         {"workerMs", meanText(worker)},
                         {"workerLongestMs", longestText(worker)},
                         {"delivered", countText(delivery)},
                         {"deliveryMs", meanText(delivery)},
                         {"deliveryLongestMs", longestText(delivery)}});
  recent_ = Sums();
}

}  // namespace stonemount
