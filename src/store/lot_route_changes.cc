// What changes of the configuration mean for standing lots under way (design.md 7.5). Items whose route has ended, that
// is, no route for lots leads to their lot's location or to their own, are given up once that has lasted. Lots whose
// route allows more than was promised as they were handed in get that.
#include "store/store_machine.h"

namespace stonemount {

namespace {
// The routes for lots by their place in `routes`; the others by a number above all places.
PrefixTable tableOf(const std::vector<LotTerms>& routes, const std::vector<std::string>& nestedOthers) {
  PrefixTable table;
  for (const std::string& scope : nestedOthers) table.put(scope, routes.size());
  for (std::size_t i = 0; i < routes.size(); ++i) table.put(routes[i].scope, i);
  return table;
}

const LotTerms* termsFor(const PrefixTable& table, const std::vector<LotTerms>& routes, const std::string& location) {
  const std::optional<std::size_t> route = table.find(location);
  return route && *route < routes.size() ? &routes[*route] : nullptr;
}

bool allowsLonger(const LotTerms& terms, const KeptLot& lot) {
  return lot.retentionUs > 0 && terms.retentionUs > lot.retentionUs;
}
bool allowsMoreAttempts(const LotTerms& terms, const KeptLot& lot) {
  return lot.attempts > 0 && terms.attempts > lot.attempts;
}
bool underWay(const KeptLot& lot) { return lot.standing() && !lot.ended && !lot.finished(); }

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

std::vector<std::string> StoreMachine::unroutedLocations(const LotRoutesAsk& ask) const {
  const PrefixTable table = tableOf(ask.routes, ask.nestedOthers);
  std::set<std::string> unrouted;
  const auto note = [&ask, &table, &unrouted](const std::string& location) {
    if (termsFor(table, ask.routes, location) == nullptr) unrouted.insert(location);
  };
  forEachWaiting(state_, index_, [&note](const KeptLot& lot, std::uint32_t place) {
    if (place == *lot.waiting.begin()) note(lot.route);
    note(locationOfItem(lot, place));
  });
  return {unrouted.begin(), unrouted.end()};
}

QueryVerdict StoreMachine::tell(const LotRoutesAsk& ask) const {
  LotRoutesVerdict verdict;
  verdict.unrouted = unroutedLocations(ask);
  verdict.reportedBefore = !state_.unroutedSince.empty();
  const PrefixTable table = tableOf(ask.routes, ask.nestedOthers);
  for (const auto& [name, lot] : state_.lots) {
    if (!underWay(lot)) continue;
    const LotTerms* terms = termsFor(table, ask.routes, lot.route);
    if (terms != nullptr && (allowsLonger(*terms, lot) || allowsMoreAttempts(*terms, lot))) verdict.termsGrew = true;
  }
  return pack(verdict);
}

// A promise that was given with the 202 is never cut short: what is less now changes nothing.
StoreVerdict StoreMachine::run(const RaiseLotTerms& command) {
  const PrefixTable table = tableOf(command.routes, command.nestedOthers);
  for (auto& [name, lot] : state_.lots) {
    const LotTerms* terms = underWay(lot) ? termsFor(table, command.routes, lot.route) : nullptr;
    if (terms == nullptr) continue;
    if (allowsMoreAttempts(*terms, lot)) lot.attempts = terms->attempts;
    if (!allowsLonger(*terms, lot)) continue;
    lot.retentionUs = terms->retentionUs;
    termNoted.emit({Term::kRetention, lot.name, lot.createdUs + lot.retentionUs - fromUs_, false});
    noteWaiting(lot);
  }
  return {};
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
