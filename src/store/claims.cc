// Runs of standing lots that nodes claim: who is called to, and which items a claim brings (design.md 9.8).
#include <algorithm>

#include "store/store_machine.h"

namespace stonemount {

namespace {
constexpr std::uint64_t kItemsForNode = 4;  // that one node is called for
constexpr std::uint64_t kLeastCalled = 3;   // nodes
// Where items go on waiting, four times as many nodes are called after each.
constexpr Us kWidenUs = 250 * kMilliUs;
constexpr std::uint64_t kWidenBits = 2;
constexpr Us kMostWidenings = 8;

PrefixTable scopesOf(const std::vector<RouteDemand>& demands) {
  PrefixTable table;
  for (std::size_t i = 0; i < demands.size(); ++i) table.put(demands[i].route, i);
  return table;
}
}  // namespace

// Demands with nothing to claim count, too: what is theirs is for no shorter one.
StoreMachine::LocationsOfDemands StoreMachine::locationsOf(const std::vector<RouteDemand>& demands) const {
  const PrefixTable table = scopesOf(demands);
  LocationsOfDemands locations(demands.size());
  for (const auto& [location, queue] : index_.standingQueues())
    if (const std::optional<std::size_t> demand = table.find(location)) locations[*demand].push_back(location);
  return locations;
}

std::vector<StoreMachine::WaitingForDemand> StoreMachine::waitingFor(const std::vector<RouteDemand>& demands) const {
  const PrefixTable table = scopesOf(demands);
  std::vector<WaitingForDemand> waiting(demands.size(), WaitingForDemand{0, state_.cut.cutUs});
  for (const auto& [location, queue] : index_.standingQueues()) {
    const std::optional<std::size_t> demand = table.find(location);
    if (!demand || demands[*demand].most == 0) continue;
    waiting[*demand].items += queue.items;
    waiting[*demand].sinceUs = std::min(waiting[*demand].sinceUs, queue.busySinceUs);
  }
  return waiting;
}

KeptLot* StoreMachine::nextLot(const std::vector<std::string>& locations, Us completionUs, bool late) {
  const bool neverLate = completionUs <= 0;
  if (late && neverLate) return nullptr;
  std::optional<std::pair<Us, std::string>> first;
  for (const std::string& location : locations) {
    const StandingQueue* queue = index_.standingQueue(location);
    if (queue == nullptr) continue;
    auto next = queue->lots.begin();
    if (!neverLate) {
      const auto inTime = queue->lots.lower_bound({fromUs_ - completionUs + 1, std::string()});
      if (late && next == inTime) continue;
      if (!late) next = inTime;
    }
    if (next != queue->lots.end() && (!first || *next < *first)) first = *next;
  }
  return first ? &state_.lots.at(first->second) : nullptr;
}

// Of one kind, the first due first, over all demands.
void StoreMachine::claim(const ClaimRuns& command, const LocationsOfDemands& locations, bool late,
                         std::vector<std::uint32_t>& left, ClaimVerdict& verdict) {
  while (true) {
    KeptLot* chosenLot = nullptr;
    std::size_t chosenDemand = 0;
    Us chosenDueUs = 0;
    for (std::size_t i = 0; i < command.demands.size(); ++i) {
      KeptLot* lot = left[i] > 0 ? nextLot(locations[i], command.demands[i].completionUs, late) : nullptr;
      if (lot == nullptr) continue;
      const Us dueUs = lot->createdUs + command.demands[i].completionUs;
      if (chosenLot != nullptr && dueUs >= chosenDueUs) continue;
      chosenLot = lot;
      chosenDemand = i;
      chosenDueUs = dueUs;
    }
    if (chosenLot == nullptr) return;
    auto charged = state_.charged.find(command.node);
    if (charged != state_.charged.end() && charged->second >= command.slotCap) return;
    const std::uint32_t place = *chosenLot->waiting.begin();
    startRun(*chosenLot, place, command.node, command.licenceUs, command.node);
    --left[chosenDemand];
    const KeptItem& item = chosenLot->items[place];
    verdict.claimed.push_back({{chosenLot->name, place, item.run},
                               static_cast<std::uint32_t>(chosenDemand),
                               chosenLot->host,
                               fromUs_ - chosenLot->createdUs,
                               item.given});
  }
}

// What can still be in time goes before what is late: else, once a burst has made some late, all that follows is.
ClaimVerdict StoreMachine::run(const ClaimRuns& command) {
  ClaimVerdict verdict;
  if (!certain(command.certainHere)) {
    verdict.outcome = StoreOutcome::kUncertain;
    return verdict;
  }
  std::vector<std::uint32_t> left;
  for (const RouteDemand& demand : command.demands) left.push_back(demand.most);
  const LocationsOfDemands locations = locationsOf(command.demands);
  claim(command, locations, false, left, verdict);
  claim(command, locations, true, left, verdict);
  return verdict;
}

// Nodes are called in turn, by their places: those whose turn came with the items that still wait. The longer any
// wait, the more are called, since some that are called may be full or gone.
std::uint32_t StoreMachine::mostToClaim(const StandingWorkAsk& ask) const {
  if (!state_.cut.certain || index_.standingQueues().empty()) return 0;
  std::uint64_t most = 0;
  for (const WaitingForDemand& waiting : waitingFor(ask.demands)) {
    if (waiting.items == 0) continue;
    const std::uint64_t places = std::max<std::uint64_t>(1, ask.place.places);
    const auto widened =
        static_cast<std::uint64_t>(std::min<Us>((state_.cut.cutUs - waiting.sinceUs) / kWidenUs, kMostWidenings));
    std::uint64_t called = std::max<std::uint64_t>(kLeastCalled, (waiting.items + kItemsForNode - 1) / kItemsForNode);
    called <<= kWidenBits * widened;
    const std::uint64_t last = index_.standingArrivals() / kItemsForNode % places;
    const std::uint64_t turn = (last + places - ask.place.place % places) % places;
    if (ask.place.known() && turn >= called) continue;
    most += std::max(kItemsForNode, (waiting.items + places - 1) / places);
  }
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(most, UINT32_MAX));
}

QueryVerdict StoreMachine::tell(const StandingWorkAsk& ask, bool mustAnswer) const {
  StandingWorkVerdict verdict;
  verdict.most = mostToClaim(ask);
  if (verdict.most == 0 && !mustAnswer) return Hold{};
  return pack(verdict);
}

}  // namespace stonemount
