// How much workers of a pool have to do, as far as this node knows, and which of them comes first (design.md 9.7).
#include <algorithm>
#include <cmath>

#include "proxy/pool_load_table.h"
#include "runtime/address_hash.h"

namespace stonemount {

namespace {
constexpr Us kToldKeepsUs = 2 * kSecondUs;  // what was told of others' requests stands so long,
constexpr Us kToldHalvesUs = kSecondUs;     // then counts half after each
// Against the pool's mean what one worker told counts half after each: its own requests last about as long.
constexpr Us kNewsHalvesUs = 250 * kMilliUs;
constexpr std::uint64_t kUseLevels = 2;  // of all slots, by which workers are told apart
constexpr std::uint32_t kSpareUse = 2;   // over the mean, before a spot's worker is passed over
}  // namespace

// What others have there is what it told less what was ours then; it is forgotten by and by.
std::uint32_t PoolLoadTable::knownUse(const PoolWorker& worker) const {
  if (worker.toldUs < 0) return worker.inFlight();
  std::uint32_t others = othersTold(worker);
  const Us ageUs = clock_.monoUs() - worker.toldUs;
  if (ageUs > kToldKeepsUs) others >>= std::min<Us>((ageUs - kToldKeepsUs) / kToldHalvesUs + 1, 31);
  return others + worker.inFlight();
}

// The older its own word is, the more the pool's mean counts.
std::uint32_t PoolLoadTable::likelyUse(const PoolWorker& worker) const {
  const Us nowUs = clock_.monoUs();
  auto pool = sights_.find(worker.listed.pool);
  if (pool == sights_.end()) return knownUse(worker);
  const double mean = pool->second.use.othersBySlot(nowUs) * slots(worker);
  const double weight = worker.toldUs < 0 ? 0 : std::exp2(-static_cast<double>(nowUs - worker.toldUs) / kNewsHalvesUs);
  const double others = mean + (static_cast<double>(othersTold(worker)) - mean) * weight;
  return static_cast<std::uint32_t>(std::lround(others)) + worker.inFlight();
}

std::uint32_t PoolLoadTable::othersTold(const PoolWorker& worker) const {
  const std::uint32_t all = worker.told.running + worker.told.waiting;
  return all > worker.inFlightAtTold ? all - worker.inFlightAtTold : 0;
}

// Where no prompt decides: clearly less used first, then where this node has least, then in an order that begins
// elsewhere at each node. What is known of single workers is old, and alike at many nodes: a finer comparison would
// send all of them to the same worker at once.
std::uint64_t PoolLoadTable::spreadRank(const PoolWorker& worker) const {
  const std::uint64_t level = static_cast<std::uint64_t>(likelyUse(worker)) * kUseLevels / slots(worker);
  const std::uint64_t own = 1000ULL * worker.inFlight() / slots(worker);
  return level << 48 | std::min<std::uint64_t>(own, 0xffff) << 32 | (worker.lastTaken & 0xffffffff);
}

// With which of so many workers this node begins: places are dealt out evenly, so the beginnings are too.
std::size_t PoolLoadTable::firstOf(std::size_t count) const {
  if (firstPlace_.known()) return static_cast<std::uint64_t>(firstPlace_.place) * count / firstPlace_.places;
  return addressPairHash({}, plan_.self) % count;
}

// Requests that share a prompt meet where it is kept, unless that worker has clearly more to do than the others.
std::uint64_t PoolLoadTable::promptRank(const PoolWorker& worker, std::uint64_t spot, std::uint64_t mostUse) const {
  const Address& address = worker.listed.address;
  const std::string_view name(reinterpret_cast<const char*>(&address.ip), sizeof(address.ip));
  const std::uint64_t rank = spread(name, spot + address.port) >> 8;
  return knownUse(worker) > mostUse ? rank | 1ULL << 60 : rank;
}

const PoolWorker* PoolLoadTable::pickFrom(const Pick& pick, std::uint64_t spot) const {
  std::uint64_t sum = 0;
  for (const PoolWorker* worker : pick) sum += knownUse(*worker);
  const std::uint64_t mostUse = pick.empty() ? 0 : sum * 5 / (4 * pick.size()) + kSpareUse;
  const PoolWorker* chosen = nullptr;
  std::uint64_t chosenRank = 0;
  const std::size_t first = pick.empty() ? 0 : firstOf(pick.size());
  for (std::size_t i = 0; i < pick.size(); ++i) {
    const PoolWorker* worker = pick[(first + i) % pick.size()];
    const std::uint64_t rank = spot == 0 ? spreadRank(*worker) : promptRank(*worker, spot, mostUse);
    if (chosen != nullptr && rank >= chosenRank) continue;
    chosen = worker;
    chosenRank = rank;
  }
  return chosen;
}

}  // namespace stonemount
