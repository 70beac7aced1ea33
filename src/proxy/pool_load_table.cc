#include "proxy/pool_load_table.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

namespace {
constexpr std::uint32_t kLeastLots = 4;  // at workers, whatever the share
}  // namespace

void PoolLoadTable::relist() {
  pools_.clear();
  std::vector<Address> lost;
  for (auto& [address, worker] : workers_)
    if (!control_.workers().contains(address)) lost.push_back(address);
  for (const Address& address : lost) {
    PoolWorker& worker = workers_.at(address);
    if (!worker.listed.pool.empty()) gone.emit(address);
    worker.listed.pool.clear();
    if (worker.inFlight() == 0) workers_.erase(address);
  }
  for (const auto& [address, listed] : control_.workers()) {
    PoolWorker& worker = workers_[address];
    if (worker.listed.life != listed.life || worker.listed.pool != listed.pool) {
      const std::uint32_t live = worker.live, lots = worker.lots;
      if (!worker.listed.pool.empty()) gone.emit(address);
      worker = PoolWorker();
      worker.live = live;  // of its former life; they end by themselves
      worker.lots = lots;
    }
    if (listed.changed != worker.listed.changed && listed.coldLeftUs > 0) noteListedCold(worker, listed);
    worker.listed = listed;
    pools_[listed.pool].push_back(address);
  }
  listedBefore_ |= !workers_.empty();
  noteEvacuations();
  numberWorkers();
  giveUpChannels();
  roomMade.emit();
}

void PoolLoadTable::heardFromPlatform(const std::vector<ListedWorker>& workers) {
  for (const ListedWorker& listed : workers) {
    auto found = workers_.find(listed.address);
    if (found == workers_.end() || found->second.listed.life != listed.life) continue;
    found->second.leaving |= listed.leaving;
    if (listed.coldLeftUs > 0) cold_.listedCold(found->second.warmth, listed.coldLeftUs);
  }
}

bool PoolLoadTable::usable(const PoolWorker& worker) const {
  return !worker.listed.pool.empty() && !worker.listed.leaving && !worker.leaving && !worker.otherLife &&
         !control_.evacuated(worker.listed.zone);
}

std::uint32_t PoolLoadTable::slots(const PoolWorker& worker) const {
  return std::max<std::uint32_t>(1, worker.listed.slots);
}

// In turn: this zone while it is calm there, any zone that is, any that has room; those that failed lately last.
std::optional<Address> PoolLoadTable::choose(const PoolRequest& wish) const {
  auto pool = pools_.find(wish.pool);
  if (pool == pools_.end()) return std::nullopt;
  std::uint32_t roof = wish.lot && !wish.urgent ? plan_.lotPercent : plan_.calmPercent;
  const std::uint64_t lotsHere = wish.lot ? lotsAt(pool->second) : 0;
  if (wish.lot && lotsHere >= mostLots(wish.pool, pool->second)) {
    if (sights_.contains(wish.pool)) return std::nullopt;
    roof = plan_.idlePercent;  // workers that tell nothing of themselves
  }
  const Us nowUs = clock_.monoUs();
  const WarmthSight sight = warmthOf(pool->second);
  Pick tiers[5];
  for (const auto& [candidate, warmth] : sight.usable) {
    const PoolWorker& worker = *candidate;
    const bool passedOver = wish.passedOver.contains(worker.listed.address);
    if (passedOver || !bearsMore(worker, warmth, sight.pool)) continue;
    const std::uint32_t known = knownUse(worker);
    // The mean speaks against a worker, but shuts none out: a live request finds it, and one lot of each node.
    const std::uint32_t use = wish.lot && lotsHere == 0 ? known : likelyUse(worker);
    const bool calm = percentOf(worker, use + 1) <= roof || use == 0;
    if (wish.lot && !calm) continue;
    if (percentOf(worker, known + 1) > plan_.fullPercent && known > 0) continue;
    const bool own = worker.listed.zone == plan_.zone;
    if (nowUs < worker.suspectUntilUs) {
      if (worker.inFlight() == 0) tiers[4].push_back(&worker);
    } else {
      tiers[calm ? (own ? 0 : 1) : (own ? 2 : 3)].push_back(&worker);
    }
  }
  for (std::size_t tier = 0; tier < std::size(tiers); ++tier) {
    // Where none is calm, a short wait is worth more than a prompt that is kept.
    const PoolWorker* chosen = pickFrom(tiers[tier], tier < 2 ? wish.spot : 0);
    if (chosen != nullptr) return chosen->listed.address;
  }
  return std::nullopt;
}

std::uint64_t PoolLoadTable::lotsAt(const std::vector<Address>& pool) const {
  std::uint64_t lots = 0;
  for (const Address& address : pool) lots += workers_.at(address).lots;
  return lots;
}

// Lots can wait and live requests cannot: a node begins with its share of what lots may take, so that no crowd of lots
// fills what workers let in as it comes, and goes on with what the workers tell.
std::uint64_t PoolLoadTable::mostLots(const std::string& name, const std::vector<Address>& pool) const {
  auto sight = sights_.find(name);
  const std::uint64_t share = lotShare(pool);
  return sight == sights_.end() ? share : sight->second.lots.most(share);
}

std::uint64_t PoolLoadTable::lotShare(const std::vector<Address>& pool) const {
  std::uint64_t slotsThere = 0;
  for (const Address& address : pool) {
    const PoolWorker& worker = workers_.at(address);
    if (usable(worker)) slotsThere += slots(worker);
  }
  return std::max<std::uint64_t>(kLeastLots, slotsThere * plan_.lotPercent / 100 / cold_.sharers());
}

bool PoolLoadTable::serves(const std::string& pool) const {
  auto found = pools_.find(pool);
  if (found == pools_.end()) return false;
  for (const Address& address : found->second)
    if (usable(workers_.at(address))) return true;
  return false;
}

// Where workers tell nothing of themselves: up to where lots beyond the share start, by what this node has there.
std::uint64_t PoolLoadTable::idlePlaces(const std::vector<Address>& pool) const {
  std::uint64_t idle = 0;
  for (const Address& address : pool) {
    const PoolWorker& worker = workers_.at(address);
    if (!usable(worker)) continue;
    const std::uint64_t most = static_cast<std::uint64_t>(slots(worker)) * plan_.idlePercent / 100;
    idle += most - std::min<std::uint64_t>(most, knownUse(worker));
  }
  return idle;
}

std::size_t PoolLoadTable::roomForLots(const std::string& name) const {
  PoolRequest wish;
  wish.pool = name;
  wish.lot = true;
  if (!choose(wish)) return 0;
  const std::vector<Address>& pool = pools_.at(name);
  const std::uint64_t lots = lotsAt(pool);
  const std::uint64_t most = mostLots(name, pool);
  const std::uint64_t share = most > lots ? most - lots : 0;
  return sights_.contains(name) ? share : std::max<std::uint64_t>(share, idlePlaces(pool));
}

void PoolLoadTable::take(const Address& address, bool lot) {
  PoolWorker& worker = workers_.at(address);
  ++(lot ? worker.lots : worker.live);
  worker.lastTaken = ++taken_;
  cold_.sent(worker.warmth);
  if (mayProbe(worker) && cold_.wantsProbe(worker.warmth)) probeWanted.emit(address);
}

void PoolLoadTable::contact(const Address& address, const std::string& life) {
  auto found = workers_.find(address);
  if (found != workers_.end() && found->second.listed.life == life) cold_.heard(found->second.warmth);
}

void PoolLoadTable::heard(const Address& address, const WorkerLoad& load) {
  auto found = workers_.find(address);
  if (found == workers_.end()) return;
  PoolWorker& worker = found->second;
  worker.told = load;
  worker.toldUs = clock_.monoUs();
  worker.inFlightAtTold = worker.inFlight();
  if (!worker.listed.pool.empty()) noteUse(worker);
}

void PoolLoadTable::noteUse(const PoolWorker& worker) {
  const Us nowUs = clock_.monoUs();
  PoolSight& sight = sights_[worker.listed.pool];
  const std::uint32_t all = worker.told.running + worker.told.waiting;
  sight.use.told(all, othersTold(worker), slots(worker), nowUs);
  if (worker.lots == 0) return;
  const std::uint64_t share = lotShare(pools_.at(worker.listed.pool));
  sight.lots.answered(sight.use.allBySlot(nowUs), lotTarget(slots(worker)), share);
}

void PoolLoadTable::giveBack(const Address& address, bool lot, Ending ending) {
  auto found = workers_.find(address);
  STONEMOUNT_INVARIANT(found != workers_.end());
  PoolWorker& worker = found->second;
  std::uint32_t& held = lot ? worker.lots : worker.live;
  STONEMOUNT_INVARIANT(held > 0);
  --held;
  worker.inFlightAtTold = std::min(worker.inFlightAtTold, worker.inFlight());
  cold_.ended(worker.warmth, worker.inFlight() > 0);
  const Us nowUs = clock_.monoUs();
  if (ending == Ending::kWhole) {
    worker.failures = 0;
    worker.suspectUntilUs = 0;
  } else if (ending == Ending::kOtherLife) {
    worker.otherLife = true;
  } else if (ending == Ending::kBroken || ending == Ending::kUnsent) {
    const std::uint32_t doublings = std::min<std::uint32_t>(worker.failures++, 6);
    worker.suspectUntilUs = nowUs + std::min(plan_.suspectUs << doublings, plan_.mostSuspectUs);
    cold_.doubt(worker.warmth);
  } else if (ending == Ending::kRefused) {
    worker.suspectUntilUs = std::max(worker.suspectUntilUs, nowUs + plan_.suspectUs / 8);
  }
  if (worker.listed.pool.empty() && worker.inFlight() == 0) workers_.erase(found);
  roomMade.emit();
}

}  // namespace stonemount
