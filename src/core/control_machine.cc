#include "core/control_machine.h"

namespace stonemount {

namespace {
constexpr std::uint8_t kStateFormat = 3;
constexpr std::size_t kStepsKept = 64;
struct Saved {
  std::uint8_t format = kStateFormat;
  ControlState state;
  std::uint64_t platformVersion = 0;
  std::deque<ConfigStep> history;
  MemberOrders orders;
  STONEMOUNT_PACK(format, state, platformVersion, history, orders)
};
bool sameRoute(const Route& left, const Route& right) {
  return left.kind == right.kind && left.pool == right.pool && left.limitUs == right.limitUs &&
         left.prefixBytes == right.prefixBytes && left.adapter == right.adapter && left.lots == right.lots;
}
}  // namespace

ControlVerdict ControlMachine::verdict(ControlOutcome outcome) const {
  return {outcome, state_.configRevision(), state_.revision()};
}

StampVerdict ControlMachine::stamp(const Bytes& command, const HeadSight&) { return Stamped{command}; }

Bytes ControlMachine::apply(const Bytes& bytes) {
  auto read = unpack<ControlCommand>(bytes);
  auto* command = std::get_if<ControlCommand>(&read);
  if (command == nullptr) return pack(verdict(ControlOutcome::kUnreadable));
  if (auto* found = std::get_if<FoundStore>(command)) return pack(applyOrder(orders_, *found));
  if (auto* retire = std::get_if<RetireStore>(command)) return pack(applyOrder(orders_, *retire));
  ControlVerdict done;
  if (auto* config = std::get_if<PutConfig>(command)) done = put(*config);
  else if (auto* zone = std::get_if<SetZone>(command)) done = put(*zone);
  else if (auto* workers = std::get_if<PutWorkers>(command)) done = put(*workers);
  else if (auto* rebuild = std::get_if<Rebuild>(command)) done = put(*rebuild);
  else done = put(std::get<ReturnConfig>(*command));
  packedNews_.clear();
  return pack(done);
}

// A change is made from a base; if another came first, its maker must look again (design.md 7.2).
ControlVerdict ControlMachine::put(const PutConfig& command) {
  const ConfigWish& wish = command.wish;
  if (wish.base != state_.configRevision()) return verdict(ControlOutcome::kConflict);
  std::vector<RouteChange> changes;
  absl::btree_set<std::string> named;
  for (const Route& route : wish.routes) {
    named.insert(route.name);
    auto found = state_.routes().find(route.name);
    if (found == state_.routes().end()) changes.push_back({std::nullopt, route});
    else if (!sameRoute(found->second, route)) changes.push_back({found->second, route});
  }
  for (const auto& [name, route] : state_.routes()) {
    const bool goes = wish.whole && !named.contains(name);
    if (goes) changes.push_back({route, std::nullopt});
  }
  for (const std::string& name : wish.removed) {
    auto found = state_.routes().find(name);
    if (found != state_.routes().end()) changes.push_back({found->second, std::nullopt});
  }
  return changeRoutes(wish.note, std::move(changes));
}

ControlVerdict ControlMachine::changeRoutes(const std::string& note, std::vector<RouteChange> changes) {
  state_.bump();
  state_.bumpConfig();
  for (const RouteChange& change : changes) {
    if (change.after) state_.putRoute(*change.after);
    else state_.removeRoute(change.before->name);
  }
  history_.push_back({state_.configRevision(), note, std::move(changes)});
  if (history_.size() > kStepsKept) history_.pop_front();
  return verdict(ControlOutcome::kDone);
}

ControlVerdict ControlMachine::put(const ReturnConfig& command) {
  if (command.base != state_.configRevision()) return verdict(ControlOutcome::kConflict);
  const bool known = command.to + 1 >= (history_.empty() ? 1 : history_.front().revision) &&
                     command.to <= state_.configRevision();
  if (!known) return verdict(ControlOutcome::kUnknownRevision);
  std::map<std::string, std::optional<Route>> target;
  for (auto step = history_.rbegin(); step != history_.rend() && step->revision > command.to; ++step)
    for (const RouteChange& change : step->changes)
      target[change.after ? change.after->name : change.before->name] = change.before;
  std::vector<RouteChange> changes;
  for (auto& [name, route] : target) {
    auto found = state_.routes().find(name);
    RouteChange change;
    if (found != state_.routes().end()) change.before = found->second;
    change.after = route;
    const bool same = change.before.has_value() == change.after.has_value() &&
                      (!change.before || sameRoute(*change.before, *change.after));
    if (!same) changes.push_back(std::move(change));
  }
  return changeRoutes("return to " + std::to_string(command.to), std::move(changes));
}

// Only onto nothing: where any configuration was ever taken here, nobody else's memory counts.
ControlVerdict ControlMachine::put(const Rebuild& command) {
  const bool fresh = state_.configRevision() == 0 && state_.zones().empty();
  if (!fresh || command.told.to <= state_.revision() || !command.told.whole) return verdict(ControlOutcome::kUnchanged);
  state_.absorb(command.told);
  state_.bump();
  platformVersion_ = 0;
  return verdict(ControlOutcome::kDone);
}

ControlVerdict ControlMachine::put(const SetZone& command) {
  state_.bump();
  state_.setZone(command.zone, command.evacuated);
  return verdict(ControlOutcome::kDone);
}

ControlVerdict ControlMachine::put(const PutWorkers& command) {
  // An older list, told by a lister that was slow, changes nothing.
  if (command.platformVersion < platformVersion_) return verdict(ControlOutcome::kUnchanged);
  platformVersion_ = command.platformVersion;
  absl::btree_set<Address> listed;
  std::vector<ListedWorker> changed;
  for (const ListedWorker& worker : command.workers) {
    listed.insert(worker.address);
    auto found = state_.workers().find(worker.address);
    if (found == state_.workers().end() || !found->second.sameAs(worker)) changed.push_back(worker);
  }
  std::vector<Address> gone;
  for (const auto& [address, worker] : state_.workers())
    if (!listed.contains(address)) gone.push_back(address);
  if (changed.empty() && gone.empty()) return verdict(ControlOutcome::kUnchanged);
  state_.bump();
  for (const ListedWorker& worker : changed) state_.putWorker(worker);
  for (const Address& address : gone) state_.removeWorker(address);
  return verdict(ControlOutcome::kDone);
}

QueryVerdict ControlMachine::answer(const Bytes& bytes, bool mustAnswer) {
  auto read = unpack<ControlQuery>(bytes);
  auto* query = std::get_if<ControlQuery>(&read);
  if (query == nullptr) return Bytes();
  if (auto* news = std::get_if<NewsAsk>(query)) {
    if (news->since == state_.revision() && state_.revision() != 0 && !mustAnswer) return Hold{};
    auto found = packedNews_.find(news->since);
    if (found == packedNews_.end())
      found = packedNews_.emplace(news->since, pack(state_.newsSince(news->since))).first;
    return found->second;
  }
  if (std::holds_alternative<OrdersAsk>(*query)) return pack(orders_);
  return pack(HistoryVerdict{{history_.begin(), history_.end()}});
}

Bytes ControlMachine::save() const { return pack(Saved{kStateFormat, state_, platformVersion_, history_, orders_}); }

bool ControlMachine::load(const Bytes& state) {
  auto read = unpack<Saved>(state);
  auto* saved = std::get_if<Saved>(&read);
  if (saved == nullptr || saved->format != kStateFormat) return false;
  state_ = std::move(saved->state);
  platformVersion_ = saved->platformVersion;
  history_ = std::move(saved->history);
  orders_ = std::move(saved->orders);
  packedNews_.clear();
  return true;
}

}  // namespace stonemount
