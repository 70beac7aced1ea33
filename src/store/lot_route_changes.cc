// Items of standing lots whose route has ended: no route for lots leads to their lot's location, or to their own. They
// are given up once that has lasted (design.md 7.5).
#include "store/store_machine.h"

namespace stonemount {

namespace {
// What the routes of a prefix table do with lots.
constexpr std::size_t kTakesLots = 0, kTakesNone = 1;

// Calls `visit(lot, place)` for each item of a standing lot that waits for a run.
template <class State, class Visit>
void forEachWaiting(State& state, const StoreIndex& index, const Visit& visit) {
  std::vector<std::string> names;
  for (const auto& [location, queue] : index.standingQueues())
    for (const auto& [createdUs, name] : queue.lots) names.push_back(name);
  for (const std::string& name : names) {
    auto& lot = state.lots.at(name);
    const std::set<std::uint32_t> waiting = lot.waiting;
    for (const std::uint32_t place : waiting) visit(lot, place);
  }
}

std::string locationOfItem(const KeptLot& lot, std::uint32_t place) {
  return locationOf(lot.host, lot.items[place].given.target);
}
}  // namespace

QueryVerdict StoreMachine::tell(const UnroutedAsk& ask) const {
  PrefixTable routes;
  for (const std::string& scope : ask.nestedOthers) routes.put(scope, kTakesNone);
  for (const std::string& scope : ask.lotScopes) routes.put(scope, kTakesLots);
  std::set<std::string> unrouted;
  const auto note = [&routes, &unrouted](const std::string& location) {
    if (routes.find(location) != kTakesLots) unrouted.insert(location);
  };
  forEachWaiting(state_, index_, [&note](const KeptLot& lot, std::uint32_t place) {
    if (place == *lot.waiting.begin()) note(lot.route);
    note(locationOfItem(lot, place));
  });
  UnroutedVerdict verdict;
  verdict.locations.assign(unrouted.begin(), unrouted.end());
  verdict.reported = !state_.unroutedSince.empty();
  return pack(verdict);
}

// What was reported before and is not now has a route again, or nothing waits there.
StoreVerdict StoreMachine::run(const ReportUnrouted& command) {
  std::map<std::string, Us> since;
  for (const std::string& location : command.locations) {
    auto known = state_.unroutedSince.find(location);
    const bool fresh = known == state_.unroutedSince.end();
    since[location] = fresh ? fromUs_ : known->second;
    if (fresh) termNoted.emit({Term::kRouteEnd, location, plan_.routeEndUs, false});
  }
  state_.unroutedSince = std::move(since);
  StoreVerdict verdict;
  if (certain(command.certainHere))
    giveUpUnrouted();
  else
    verdict.outcome = StoreOutcome::kUncertain;
  return verdict;
}

bool StoreMachine::unroutedForLong(const std::string& location) const {
  auto found = state_.unroutedSince.find(location);
  return found != state_.unroutedSince.end() && found->second + plan_.routeEndUs <= state_.cut.cutUs;
}

// What runs at a worker may still end there; it is given up only if it comes to wait again.
void StoreMachine::giveUpUnrouted() {
  bool anyEnded = false;
  for (const auto& [location, sinceUs] : state_.unroutedSince) {
    if (!unroutedForLong(location)) continue;
    anyEnded = true;
    termNoted.emit({Term::kRouteEnd, location, 0, true});
  }
  if (!anyEnded) return;
  forEachWaiting(state_, index_, [this](KeptLot& lot, std::uint32_t place) {
    if (!unroutedForLong(lot.route) && !unroutedForLong(locationOfItem(lot, place))) return;
    endItem(lot, place, ItemState::kRefused, Bytes(), true);
    noteTerminal(lot);
  });
}

}  // namespace stonemount
