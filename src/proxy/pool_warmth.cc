// What a load table knows of cold workers, and how much they get (docs/design-notes/cold-workers.md).
#include <absl/strings/str_cat.h>

#include "proxy/pool_load_table.h"

namespace stonemount {

// Coldness is told as it begins: what a node hears first may have begun long before.
void PoolLoadTable::noteListedCold(PoolWorker& worker, const ListedWorker& listed) {
  cold_.listedCold(worker.warmth, listed.coldLeftUs);
  worker.warmth.coldnessUndated = !listedBefore_;
  logEvent("worker_cold", {{"worker", addressText(listed.address)},
                           {"leftMs", absl::StrCat(listed.coldLeftUs / kMilliUs)},
                           {"sentLately", absl::StrCat(worker.warmth.sentUs.size())},
                           {"nodes", absl::StrCat(cold_.sharers())}});
}

// The workers of a zone whose evacuation has ended may have gone cold meanwhile. This node may have heard of neither
// its beginning nor its end, and have gone on sending: the order's revision tells.
void PoolLoadTable::noteEvacuations() {
  for (const auto& [zone, state] : control_.zones()) {
    Revision& seen = zoneOrders_[zone];
    const bool ended = !state.evacuated && state.changed != seen;
    seen = state.changed;
    if (!ended) continue;
    for (auto& [address, worker] : workers_)
      if (worker.listed.zone == zone) cold_.doubt(worker.warmth);
  }
}

// Its connections and, while it is or may be cold, its requests of any one second are shared out among the nodes.
bool PoolLoadTable::bearsMore(const PoolWorker& worker, PoolWarmth warmth) const {
  auto pool = control_.pools().find(worker.listed.pool);
  if (pool == control_.pools().end()) return true;
  const std::size_t channels = pool->second.mostChannels;
  if (channels > 0 && worker.inFlight() + 1 > std::max<std::size_t>(1, channels / cold_.sharers())) return false;
  return cold_.allows(worker.warmth, worker.listed.address, pool->second.warmPerKs, warmth);
}

PoolWarmth PoolLoadTable::warmthOf(const std::vector<Address>& pool) const {
  std::size_t cold = 0, all = 0;
  for (const Address& address : pool) {
    const PoolWorker& worker = workers_.at(address);
    if (!usable(worker)) continue;
    ++all;
    // What a node that has just started heard of may be long over: no ground to hold the others back.
    const bool counts = !cold_.coldnessMayBeOver(worker.warmth);
    cold += counts && cold_.warmthOf(worker.warmth) == Warmth::kCold ? 1 : 0;
  }
  return cold_.poolWarmth(cold, all);
}

bool PoolLoadTable::takeProbe(const Address& address) {
  auto found = workers_.find(address);
  if (found == workers_.end() || !usable(found->second)) return false;
  PoolWorker& worker = found->second;
  if (!bearsMore(worker, warmthOf(pools_.at(worker.listed.pool)))) return false;
  cold_.probed(worker.warmth);
  take(address, false);
  return true;
}

void PoolLoadTable::toldWarmth(const Address& address, const std::string& life, Us askedUs, Us coldLeftUs) {
  auto found = workers_.find(address);
  if (found == workers_.end() || found->second.listed.life != life) return;
  cold_.told(found->second.warmth, askedUs, coldLeftUs);
  roomMade.emit();
}

}  // namespace stonemount
