// What the store chain's tail answers (design.md 7.3).
#include "store/store_machine.h"

namespace stonemount {

namespace {
constexpr std::size_t kWaitingTold = 32;
constexpr std::size_t kPrefixBytes = 64;
constexpr std::size_t kPageBytes = 1 << 20;
}  // namespace

QueryVerdict StoreMachine::answer(const Bytes& bytes, bool mustAnswer) {
  auto read = unpack<StoreQuery>(bytes);
  auto* query = std::get_if<StoreQuery>(&read);
  if (query == nullptr) return Bytes();
  if (auto* work = std::get_if<WorkAsk>(query)) return tell(*work, mustAnswer);
  if (auto* lot = std::get_if<LotAsk>(query)) return tell(*lot, mustAnswer);
  if (auto* events = std::get_if<EventsAsk>(query)) return tell(*events);
  if (auto* standing = std::get_if<StandingWorkAsk>(query)) return tell(*standing, mustAnswer);
  if (auto* routes = std::get_if<LotRoutesAsk>(query)) return tell(*routes);
  return tell(std::get<ClockAsk>(*query));
}

QueryVerdict StoreMachine::tell(const WorkAsk& ask, bool mustAnswer) const {
  if (ask.since == state_.workVersion && !mustAnswer) return Hold{};
  WorkVerdict verdict;
  verdict.version = state_.workVersion;
  verdict.certain = state_.cut.certain;
  if (ask.standing) {
    tellStanding(ask.most, verdict);
    return pack(verdict);
  }
  for (const auto& [createdUs, name] : state_.openLots) {
    const KeptLot& lot = state_.lots.at(name);
    if (lot.standing()) continue;  // listed by an earlier version
    OpenLot open;
    open.lot = name;
    open.route = lot.route;
    for (const std::uint32_t place : lot.waiting) {
      if (open.waiting.size() >= kWaitingTold) break;
      open.waiting.push_back(place);
      open.prefixes.push_back(spread(lot.items[place].given.body.substr(0, kPrefixBytes)));
    }
    verdict.lots.push_back(std::move(open));
    if (verdict.lots.size() >= ask.most) break;
  }
  return pack(verdict);
}

void StoreMachine::tellStanding(std::uint32_t most, WorkVerdict& verdict) const {
  for (const auto& [location, queue] : index_.standingQueues()) {
    for (const auto& [createdUs, name] : queue.lots) {
      if (verdict.lots.size() >= most) return;
      verdict.lots.push_back({name, location, {}, {}});
    }
  }
}

// Those that are final, in the order in which they became so.
void StoreMachine::tellListed(const KeptLot& lot, const LotAsk& ask, LotVerdict& verdict) const {
  std::size_t bytes = 0;
  verdict.next = ask.from;
  for (std::size_t at = ask.from; at < lot.listed.size() && verdict.sights.size() < ask.count; ++at) {
    const KeptItem& item = lot.items[lot.listed[at]];
    bytes += item.answer.size() + item.given.id.size();
    if (!verdict.sights.empty() && bytes > (ask.mostBytes > 0 ? ask.mostBytes : kPageBytes)) break;
    verdict.sights.push_back({lot.listed[at], item.given.id, item.state, item.run, item.answer.get(), {}});
    ++verdict.next;
  }
}

QueryVerdict StoreMachine::tell(const LotAsk& ask, bool mustAnswer) const {
  LotVerdict verdict;
  verdict.lot = ask.lot;
  auto found = state_.lots.find(ask.lot);
  if (found == state_.lots.end()) {
    verdict.outcome = StoreOutcome::kUnknownLot;
    return pack(verdict);
  }
  const KeptLot& lot = found->second;
  // Where nothing more can come there is nothing to wait for.
  if (ask.hold && !mustAnswer && ask.from >= lot.listed.size() && !lot.finished()) return Hold{};
  verdict.event = lot.event;
  verdict.route = lot.route;
  verdict.ended = lot.ended;
  verdict.items = static_cast<std::uint32_t>(lot.items.size());
  verdict.sealed = lot.sealed;
  verdict.refused = lot.refused;
  verdict.running = lot.running;
  if (ask.listed) {
    tellListed(lot, ask, verdict);
    return pack(verdict);
  }
  std::size_t bytes = 0;
  for (std::uint32_t place = ask.from; place < lot.items.size(); ++place) {
    if (!ask.bodies && !ask.results) break;
    if (verdict.sights.size() >= ask.count || bytes > kPageBytes) {
      verdict.next = place;
      break;
    }
    const KeptItem& item = lot.items[place];
    if (!ask.item.empty() && ask.item != item.given.id) continue;
    ItemSight sight;
    sight.item = place;
    sight.id = item.given.id;
    sight.state = item.state;
    sight.run = item.run;
    if (ask.results) sight.answer = item.answer.get();
    if (ask.bodies) sight.body = item.given.body;
    bytes += sight.answer.size() + sight.body.size();
    verdict.sights.push_back(std::move(sight));
  }
  return pack(verdict);
}

QueryVerdict StoreMachine::tell(const EventsAsk& ask) const {
  EventsVerdict verdict;
  for (const auto& [name, event] : state_.events) {
    if (!ask.name.empty() && ask.name != name) continue;
    verdict.events.push_back(
        {name, event.startUs, event.closeUs, event.open, event.closed, event.lots, event.quota, event.windowUs});
  }
  return pack(verdict);
}

QueryVerdict StoreMachine::tell(const ClockAsk&) const {
  ClockVerdict verdict;
  verdict.cut = state_.cut;
  verdict.pausedExpiries = state_.pausedExpiries;
  verdict.lateExpiries = state_.lateExpiries;
  verdict.expired = state_.expired;
  verdict.licences = static_cast<std::uint32_t>(state_.runningItems.size());
  verdict.pendingSlots = static_cast<std::uint32_t>(state_.pendingSlots.size());
  verdict.tombstones = static_cast<std::uint32_t>(state_.tombstones.size());
  verdict.lots = static_cast<std::uint32_t>(state_.lots.size());
  for (const auto& [name, lot] : state_.lots) verdict.items += static_cast<std::uint32_t>(lot.items.size());
  return pack(verdict);
}

}  // namespace stonemount
