#include "proxy/pool_load_table.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kToldKeepsUs = 2 * kSecondUs;  // what was told of others' requests stands so long,
constexpr Us kToldHalvesUs = kSecondUs;     // then counts half after each
constexpr std::uint32_t kLeastLots = 4;     // at workers, whatever the share
constexpr std::uint32_t kSpareUse = 2;      // over the mean, before a spot's worker is passed over
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

// What others have there is what it told less what was ours then; it is forgotten by and by.
std::uint32_t PoolLoadTable::use(const PoolWorker& worker) const {
  if (worker.toldUs < 0) return worker.inFlight();
  const std::uint32_t all = worker.told.running + worker.told.waiting;
  std::uint32_t others = all > worker.inFlightAtTold ? all - worker.inFlightAtTold : 0;
  const Us ageUs = clock_.monoUs() - worker.toldUs;
  if (ageUs > kToldKeepsUs) others >>= std::min<Us>((ageUs - kToldKeepsUs) / kToldHalvesUs + 1, 31);
  return others + worker.inFlight();
}

// Requests that share a prompt meet where it is kept, unless that worker has clearly more to do than the
// others; all else goes where least is.
const PoolWorker* PoolLoadTable::pickFrom(const Pick& pick, std::uint64_t spot) const {
  std::uint64_t sum = 0;
  for (const PoolWorker* worker : pick) sum += use(*worker);
  const std::uint64_t most = pick.empty() ? 0 : sum * 5 / (4 * pick.size()) + kSpareUse;
  const PoolWorker* chosen = nullptr;
  std::uint64_t chosenRank = 0;
  // Where nothing else decides, each node has an order of its own: else all would choose the same worker.
  const std::uint64_t order = spot != 0 ? spot : (static_cast<std::uint64_t>(plan_.self.ip) << 16) + plan_.self.port;
  for (const PoolWorker* worker : pick) {
    const std::uint64_t hash = spread(std::string_view(reinterpret_cast<const char*>(&worker->listed.address.ip), 4),
                                      order + worker->listed.address.port);
    std::uint64_t rank = hash >> 8;
    if (spot == 0)
      rank = (static_cast<std::uint64_t>(use(*worker)) * 1000 / slots(*worker) << 32) + (hash >> 40);
    else if (use(*worker) > most)
      rank |= 1ULL << 60;
    if (chosen != nullptr && rank >= chosenRank) continue;
    chosen = worker;
    chosenRank = rank;
  }
  return chosen;
}

// In turn: this zone while it is calm there, any zone that is, any that has room; those that failed lately last.
std::optional<Address> PoolLoadTable::choose(const PoolRequest& wish) const {
  auto pool = pools_.find(wish.pool);
  if (pool == pools_.end()) return std::nullopt;
  std::uint32_t roof = wish.lot && !wish.urgent ? plan_.lotPercent : plan_.calmPercent;
  if (wish.lot && lotsFull(pool->second)) roof = plan_.idlePercent;
  const Us nowUs = clock_.monoUs();
  const WarmthSight sight = warmthOf(pool->second);
  Pick tiers[5];
  for (const auto& [candidate, warmth] : sight.usable) {
    const PoolWorker& worker = *candidate;
    const bool passedOver = wish.passedOver.contains(worker.listed.address);
    if (passedOver || !bearsMore(worker, warmth, sight.pool)) continue;
    const std::uint64_t percent = 100ULL * (use(worker) + 1) / slots(worker);
    const bool calm = percent <= roof || use(worker) == 0;
    if (wish.lot && !calm) continue;
    if (percent > plan_.fullPercent && use(worker) > 0) continue;
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

// Lots can wait and live requests cannot: each node has its share of what lots may take, so that no crowd of
// lots fills what workers let in as it comes, before anybody has heard of it.
bool PoolLoadTable::lotsFull(const std::vector<Address>& pool) const {
  std::uint64_t slotsThere = 0, lotsHere = 0;
  for (const Address& address : pool) {
    const PoolWorker& worker = workers_.at(address);
    if (usable(worker)) slotsThere += slots(worker);
    lotsHere += worker.lots;
  }
  return lotsHere >= std::max<std::uint64_t>(kLeastLots, slotsThere * plan_.lotPercent / 100 / cold_.sharers());
}

bool PoolLoadTable::serves(const std::string& pool) const {
  auto found = pools_.find(pool);
  if (found == pools_.end()) return false;
  for (const Address& address : found->second)
    if (usable(workers_.at(address))) return true;
  return false;
}

bool PoolLoadTable::roomForLots(const std::string& pool) const {
  PoolRequest wish;
  wish.pool = pool;
  wish.lot = true;
  return choose(wish).has_value();
}

void PoolLoadTable::take(const Address& address, bool lot) {
  PoolWorker& worker = workers_.at(address);
  ++(lot ? worker.lots : worker.live);
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
  found->second.told = load;
  found->second.toldUs = clock_.monoUs();
  found->second.inFlightAtTold = found->second.inFlight();
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
