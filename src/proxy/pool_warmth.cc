// What a load table knows of bounds that all nodes share: cold workers, and how much they get
// (docs/design-notes/cold-workers.md); connections (docs/design-notes/connection-shares.md).
#include <absl/strings/str_cat.h>

#include "proxy/pool_load_table.h"

namespace stonemount {

namespace {
// Where connections to a worker are scarce, an idle one is given up early: those of nodes that lost power stay open at
// the worker until it closes idle ones, and count.
constexpr Us kScarceIdleUs = 500 * kMilliUs;
}  // namespace

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
bool PoolLoadTable::bearsMore(const PoolWorker& worker, Warmth warmth, PoolWarmth poolWarmth) const {
  auto pool = control_.pools().find(worker.listed.pool);
  if (pool == control_.pools().end()) return true;
  const std::optional<ConnectionShare> share = connectionShare(worker, pool->second);
  if (share && worker.inFlight() + 1 > share->connections) return false;
  return cold_.allows(worker.warmth, warmth, worker.listed.address, pool->second.warmPerKs, poolWarmth);
}

// None: the pool does not tell how many connections its workers accept.
std::optional<ConnectionShare> PoolLoadTable::connectionShare(const PoolWorker& worker, const Pool& pool) const {
  if (pool.mostChannels == 0) return std::nullopt;
  return shares_.of(worker.listed.address, worker.index, pool.mostChannels, cold_.sharers());
}

std::optional<ConnectionShare> PoolLoadTable::connectionShare(const PoolWorker& worker) const {
  auto pool = control_.pools().find(worker.listed.pool);
  return pool == control_.pools().end() ? std::nullopt : connectionShare(worker, pool->second);
}

void PoolLoadTable::boundChannels(const Address& worker, HttpVia& via) const {
  auto found = workers_.find(worker);
  if (found == workers_.end()) return;
  const std::optional<ConnectionShare> share = connectionShare(found->second);
  if (!share) return;
  via.most = std::max<std::size_t>(1, share->connections);  // a share may end while its last request is on its way
  if (share->scarce) via.mostIdleUs = kScarceIdleUs;
}

void PoolLoadTable::setPlace(const FleetPlace& place) {
  if (!shares_.setPlace(place)) return;
  firstPlace_ = place.scattered().scattered();
  giveUpChannels();
  roomMade.emit();
}

// Those that leave, or whose zone is evacuated, get nothing: the nodes that own connections to them get others instead.
void PoolLoadTable::numberWorkers() {
  for (const auto& [pool, addresses] : pools_) {
    std::size_t next = 0;
    for (const Address& address : addresses) {
      PoolWorker& worker = workers_.at(address);
      const bool serves = !worker.listed.leaving && !control_.evacuated(worker.listed.zone);
      worker.index = next;
      next += serves ? 1 : 0;
    }
  }
}

// Idle connections to workers that are other nodes' now.
void PoolLoadTable::giveUpChannels() {
  for (const auto& [address, worker] : workers_) {
    if (worker.listed.pool.empty()) continue;
    const std::optional<ConnectionShare> share = connectionShare(worker);
    if (share && share->connections == 0) gone.emit(address);
  }
}

PoolLoadTable::WarmthSight PoolLoadTable::warmthOf(const std::vector<Address>& pool) const {
  WarmthSight sight;
  sight.usable.reserve(pool.size());
  std::size_t cold = 0;
  for (const Address& address : pool) {
    const PoolWorker& worker = workers_.at(address);
    if (!usable(worker)) continue;
    sight.usable.push_back({&worker, cold_.warmthOf(worker.warmth)});
    // What a node that has just started heard of may be long over: no ground to hold the others back.
    const bool counts = !cold_.coldnessMayBeOver(worker.warmth);
    cold += counts && sight.usable.back().warmth == Warmth::kCold ? 1 : 0;
  }
  sight.pool = cold_.poolWarmth(cold, sight.usable.size());
  return sight;
}

// Beside the request that was just sent there, would this node's share ever allow a question? In large fleets it does
// not, and neither the pool's warmth nor the worker's need be worked out for it.
bool PoolLoadTable::mayProbe(const PoolWorker& worker) const {
  auto pool = control_.pools().find(worker.listed.pool);
  return pool != control_.pools().end() && cold_.sharesEven(pool->second.warmPerKs);
}

bool PoolLoadTable::takeProbe(const Address& address) {
  auto found = workers_.find(address);
  if (found == workers_.end() || !usable(found->second)) return false;
  PoolWorker& worker = found->second;
  const PoolWarmth poolWarmth = warmthOf(pools_.at(worker.listed.pool)).pool;
  if (!bearsMore(worker, cold_.warmthOf(worker.warmth), poolWarmth)) return false;
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
