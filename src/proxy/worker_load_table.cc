#include "proxy/worker_load_table.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

void WorkerLoadTable::relist() {
  for (const auto& [address, worker] : control_.workers()) {
    WorkerSight& sight = sights_[address];
    if (sight.listed.pool != worker.pool) {
      rings_[sight.listed.pool].remove(address);
      rings_[worker.pool].put(address);
    }
    sight.listed = worker;
  }
  for (auto& [address, sight] : sights_) {
    if (control_.workers().contains(address)) continue;
    rings_[sight.listed.pool].remove(address);
    sight.listed.pool.clear();
  }
  for (auto sight = sights_.begin(); sight != sights_.end();) {
    const bool gone = sight->second.listed.pool.empty() && sight->second.inFlight() == 0;
    if (gone)
      sight = sights_.erase(sight);
    else
      ++sight;
  }
  roomMade.emit();
}

void WorkerLoadTable::setNodes(std::vector<Address> nodes) {
  nodes_ = std::move(nodes);
  std::sort(nodes_.begin(), nodes_.end());  // the same order at every node
}

bool WorkerLoadTable::listed(const Address& worker) const { return control_.workers().contains(worker); }

void WorkerLoadTable::setLeavingMarks(absl::btree_set<Address> marks, Us askedUs) {
  leavingMarks_ = std::move(marks);
  marksHeardUs_ = std::max(marksHeardUs_, askedUs);
}

void WorkerLoadTable::tick() {
  const Us nowUs = clock_.monoUs();
  if (tickUs_ < 0 || nowUs - tickUs_ > plan_.frozenUs) wokeUs_ = nowUs;
  tickUs_ = nowUs;
}

// What was known before a start or a freeze may be long out of date. Live traffic waits for news, but
// not for ever: it goes on without control and platform too.
bool WorkerLoadTable::awake() const {
  const Us nowUs = clock_.monoUs();
  if (tickUs_ < 0 || nowUs - tickUs_ > plan_.frozenUs) return false;
  if (marksHeardUs_ >= wokeUs_ || nowUs - wokeUs_ > plan_.newsWaitUs) return true;
  return controlHeardUs_ >= wokeUs_ && nowUs - wokeUs_ > plan_.marksWaitUs;
}

void WorkerLoadTable::report(const Address& worker, HealthReport report, Us askedUs) {
  auto found = sights_.find(worker);
  if (found == sights_.end()) return;
  found->second.report = std::move(report);
  found->second.reportedUs = askedUs;  // it is no newer than our question
  found->second.inFlightAtReport = found->second.inFlight();
  roomMade.emit();
}

void WorkerLoadTable::reportLost(const Address& worker) {
  auto found = sights_.find(worker);
  if (found != sights_.end()) found->second.reportedUs = -1;
}

bool WorkerLoadTable::usable(const WorkerSight& sight) const {
  const Us nowUs = clock_.monoUs();
  const bool fresh = sight.reportedUs >= 0 && nowUs - sight.reportedUs <= plan_.staleUs;
  if (!awake() || leavingMarks_.contains(sight.listed.address)) return false;
  return fresh && !sight.listed.pool.empty() && !sight.listed.leaving && !sight.report.leaving &&
         nowUs >= sight.mutedUntilUs && !control_.evacuated(sight.listed.zone);
}

// A cold worker's few places are dealt out among the nodes, on from where the worker before it in the pool
// ended: so all together send no more than it can bear, and no node is left without a place while there
// is one for each. A warm one is found by each node's own window.
std::uint32_t WorkerLoadTable::coldShare(const WorkerSight& sight) const {
  const std::uint32_t nodes = std::max<std::uint32_t>(1, static_cast<std::uint32_t>(nodes_.size()));
  const auto found = std::find(nodes_.begin(), nodes_.end(), plan_.self);
  const std::uint32_t mine = found == nodes_.end() ? 0 : static_cast<std::uint32_t>(found - nodes_.begin());
  std::uint32_t place = 0;  // of the worker in its pool
  for (const auto& [address, other] : sights_)
    place += other.listed.pool == sight.listed.pool && address < sight.listed.address ? 1 : 0;
  const std::uint32_t turn = (mine + nodes - place * sight.report.bear % nodes) % nodes;
  return sight.report.bear / nodes + (turn < sight.report.bear % nodes ? 1 : 0);
}

std::uint32_t WorkerLoadTable::allowance(const WorkerSight& sight) const {
  if (sight.cold()) return coldShare(sight);
  return std::min(std::max<std::uint32_t>(1, std::min(sight.report.slots, sight.listed.slots)), sight.window);
}

bool WorkerLoadTable::hasRoom(const WorkerSight& sight, bool lot) const {
  if (sight.inFlight() >= allowance(sight)) return false;
  // Others' share of the reported load, and ours as it is now, must fit in what it can bear.
  const std::uint32_t others =
      sight.report.load > sight.inFlightAtReport ? sight.report.load - sight.inFlightAtReport : 0;
  const std::uint32_t bear = std::min(sight.report.bear, sight.listed.slots);
  if (others + sight.inFlight() >= bear) return false;
  if (!lot) {
    const std::uint32_t forLots = lotsWaiting_ && bear > 1 ? std::max<std::uint32_t>(1, bear / 4) : 0;
    return others + sight.liveInFlight < bear - forLots;
  }
  return sight.lotInFlight < lotSlots(sight);
}

std::uint32_t WorkerLoadTable::lotSlots(const WorkerSight& sight) const {
  return std::max<std::uint32_t>(1, sight.listed.slots / (liveWaiting_ ? 4 : 2));
}

std::optional<Address> WorkerLoadTable::selectWorker(const SelectionRequest& wish) const {
  auto ring = rings_.find(wish.pool);
  if (ring == rings_.end()) return std::nullopt;
  std::optional<Address> chosen;
  int chosenRank = 0;
  for (const Address& address : ring->second.heirs(wish.spot, ring->second.size())) {
    const WorkerSight& sight = sights_.at(address);
    if (wish.passedOver.contains(address) || !usable(sight) || !hasRoom(sight, wish.lot)) continue;
    const bool own = sight.listed.zone == plan_.zone && !control_.evacuated(plan_.zone);
    const std::vector<std::string>& adapters = sight.report.adapters;
    const bool fits =
        wish.adapter.empty() || std::find(adapters.begin(), adapters.end(), wish.adapter) != adapters.end();
    const int rank = (own ? 2 : 0) + (fits ? 1 : 0);
    if (chosen && rank <= chosenRank) continue;
    chosen = address;
    chosenRank = rank;
    if (rank == 3) break;
  }
  return chosen;
}

void WorkerLoadTable::take(const Address& worker, bool lot) {
  WorkerSight& sight = sights_.at(worker);
  ++sight.sent;
  if (lot)
    ++sight.lotInFlight;
  else
    ++sight.liveInFlight;
}

void WorkerLoadTable::giveBack(const Address& worker, bool lot, Ending ending) {
  auto found = sights_.find(worker);
  STONEMOUNT_INVARIANT(found != sights_.end());
  WorkerSight& sight = found->second;
  std::uint32_t& held = lot ? sight.lotInFlight : sight.liveInFlight;
  STONEMOUNT_INVARIANT(held > 0);
  --held;
  sight.inFlightAtReport = std::min(sight.inFlightAtReport, sight.inFlight());
  switch (ending) {
    case Ending::kSealed:
      ++sight.answered;
      sight.window = std::min<std::uint32_t>(sight.window + 1, std::max<std::uint32_t>(1, sight.listed.slots));
      break;
    case Ending::kRefused:
      ++sight.refused;
      sight.window = std::max<std::uint32_t>(1, sight.window / 2);
      sight.mutedUntilUs = clock_.monoUs() + plan_.muteUs / 5;
      break;
    case Ending::kBroken:
    case Ending::kUnsent:
      ++sight.broken;
      sight.window = 1;
      sight.reportedUs = -1;
      sight.mutedUntilUs = clock_.monoUs() + plan_.muteUs;
      break;
    case Ending::kLeft:
      break;
  }
  roomMade.emit();
}

}  // namespace stonemount
