#include "control/control_machine.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "control/config_merge.h"

namespace stonemount {

namespace {
constexpr std::size_t kStepsKept = 64;
// A checkpoint holds the steps too. The newest one counts as well: each names what was before and after, so that a
// push of 10,000 changed routes, kept, made the state three times as large as what stands, and the ring too small.
constexpr std::size_t kStepBytesKept = 1 << 20;
constexpr std::size_t kNewestStepBytes = 2 << 20;
// A return has no text of its own: what it asks for is its digest.
std::uint64_t digestOf(const ReturnConfig& command) {
  return std::max<std::uint64_t>(1, spread(absl::StrCat("return\n", command.base, "\n", command.to)));
}
}  // namespace

ControlVerdict ControlMachine::verdict(ControlOutcome outcome) const {
  return {outcome, state_.configRevision(), state_.revision(), platformVersion_};
}

StampVerdict ControlMachine::stamp(const Bytes& command, const HeadSight&) { return Stamped{command}; }

bool ControlMachine::enlarges(const Bytes& bytes) const {
  auto read = unpack<ControlCommand>(bytes);
  auto* command = std::get_if<ControlCommand>(&read);
  if (command == nullptr) return false;
  if (std::holds_alternative<Rebuild>(*command)) return true;
  auto* config = std::get_if<PutConfig>(command);
  if (config == nullptr) return false;
  const ConfigRequest& wish = config->wish;
  if (wish.whole) return wish.routes.size() > state_.routes().size() || wish.tenants.size() > state_.tenants().size();
  return !wish.routes.empty() || !wish.pools.empty() || !wish.tenants.empty();
}

Bytes ControlMachine::apply(const Bytes& bytes) {
  auto read = unpack<ControlCommand>(bytes);
  auto* command = std::get_if<ControlCommand>(&read);
  if (command == nullptr) return pack(verdict(ControlOutcome::kUnreadable));
  if (auto* found = std::get_if<FoundStore>(command)) return pack(applyOrder(orders_, *found));
  if (auto* retire = std::get_if<RetireStore>(command)) return pack(applyOrder(orders_, *retire));
  if (auto* take = std::get_if<TakeQuotaPart>(command)) return pack(quotas_.apply(*take));
  if (auto* reserve = std::get_if<ReserveQuota>(command)) return pack(quotas_.apply(*reserve));
  ControlVerdict done;
  if (auto* config = std::get_if<PutConfig>(command))
    done = put(*config);
  else if (auto* zone = std::get_if<SetZone>(command))
    done = put(*zone);
  else if (auto* since = std::get_if<SetZoneSince>(command))
    done = put(*since);
  else if (auto* workers = std::get_if<PutWorkers>(command))
    done = put(*workers);
  else if (auto* confirm = std::get_if<ConfirmWorkers>(command))
    return pack(put(*confirm));
  else if (auto* rebuild = std::get_if<Rebuild>(command))
    done = put(*rebuild);
  else
    done = put(std::get<ReturnConfig>(*command));
  packedNews_.clear();
  return pack(done);
}

// A change is made from a base; if another came first, its maker must look again. The very same request, sent
// again because its first answer was lost, is acknowledged again however much was taken since. One that may have
// been taken, though it is not known any more, is never refused (design.md 7.2).
ControlVerdict ControlMachine::put(const PutConfig& command) {
  const ConfigRequest& wish = command.wish;
  const Revision current = state_.configRevision();
  const Revision next = wish.next != 0 ? wish.next : wish.base + 1;
  if (taken_.knows(next, wish.digest)) return verdict(ControlOutcome::kUnchanged);
  if (wish.digest != 0 && wish.base != current) {
    const bool lost = taken_.restored() != 0 && wish.base > current;  // acknowledged, and lost with all disks
    if (lost || taken_.mayHaveTaken(wish.base, next)) return verdict(ControlOutcome::kUnclear);
  }
  if (wish.base != current) return verdict(ControlOutcome::kConflict);
  ConfigStep step = mergeWish(state_, wish);
  if (step.revision <= current) return verdict(ControlOutcome::kNotAbove);
  const ConfigFlawFound found = findFlaw(state_, step, wish.poolsGiven);
  if (found.flaw != ConfigFlaw::kNone) {
    ControlVerdict refused = verdict(ControlOutcome::kInvalid);
    refused.flaw = found.flaw;
    refused.flawed = found.route;
    return refused;
  }
  taken_.note(step.revision, wish.digest);
  return take(std::move(step));
}

ControlVerdict ControlMachine::take(ConfigStep step) {
  STONEMOUNT_INVARIANT(step.revision > state_.configRevision());
  state_.bump();
  state_.setConfigRevision(step.revision);
  for (const RouteChange& change : step.changes)
    if (!change.after) state_.removeRoute(change.before->name);
  for (const RouteChange& change : step.changes)
    if (change.after) state_.putRoute(*change.after);
  for (const PoolChange& change : step.pools) {
    if (change.after)
      state_.putPool(*change.after);
    else
      state_.removePool(change.before->name);
  }
  for (const TenantChange& change : step.tenants)
    if (!change.after) state_.removeTenant(change.before->name);
  for (const TenantChange& change : step.tenants)
    if (change.after) state_.putTenant(*change.after);
  if (step.keysNeeded.after) state_.setKeysNeeded(*step.keysNeeded.after);
  if (step.limits.after) state_.setLimits(*step.limits.after);
  if (step.given.after) state_.setGiven(*step.given.after);
  history_.push_back(std::move(step));
  boundHistory();
  return verdict(ControlOutcome::kDone);
}

void ControlMachine::boundHistory() {
  std::size_t bytes = 0, kept = 0;
  for (auto step = history_.rbegin(); step != history_.rend() && kept < kStepsKept; ++step, ++kept) {
    bytes += pack(*step).size();
    if (bytes > (kept == 0 ? kNewestStepBytes : kStepBytesKept)) break;
  }
  while (history_.size() > kept) history_.pop_front();
}

ControlVerdict ControlMachine::put(const ReturnConfig& command) {
  if (taken_.knows(command.base + 1, digestOf(command))) return verdict(ControlOutcome::kUnchanged);
  if (command.base != state_.configRevision()) {
    const bool unknown = taken_.mayHaveTaken(command.base, command.base + 1);
    return verdict(unknown ? ControlOutcome::kUnclear : ControlOutcome::kConflict);
  }
  std::vector<const ConfigStep*> steps;
  for (auto step = history_.rbegin(); step != history_.rend() && step->revision > command.to; ++step)
    steps.push_back(&*step);
  // Numbers may leap: only what stood after a step, or before the oldest, is known.
  const Revision reached = steps.empty() ? state_.configRevision() : steps.back()->base;
  if (reached != command.to) return verdict(ControlOutcome::kUnknownRevision);
  ConfigStep back = mergeBack(state_, steps);
  back.note = "return to " + std::to_string(command.to);
  taken_.note(back.revision, digestOf(command));
  return take(std::move(back));
}

// Only onto nothing: where any configuration was ever taken here, nobody else's memory counts. Zones that were
// ordered here meanwhile are newer than what is told of them, and stay. The nodes' memory holds no digests: of all
// that made this configuration it is unknown which request it was.
ControlVerdict ControlMachine::put(const Rebuild& command) {
  const bool fresh = state_.configRevision() == 0;
  if (!fresh || command.told.to <= state_.revision() || !command.told.whole) return verdict(ControlOutcome::kUnchanged);
  const std::map<std::string, ZoneState> ordered = state_.zones();
  state_.absorb(command.told);
  state_.bump();
  for (const auto& [zone, order] : ordered) state_.setZone(zone, order.evacuated);
  taken_.restoredAt(state_.configRevision());
  platformVersion_ = 0;
  return verdict(ControlOutcome::kDone);
}

Revision ControlMachine::zoneOrdered(const std::string& zone) const {
  const auto found = state_.zones().find(zone);
  return found == state_.zones().end() ? 0 : found->second.changed;
}

ControlVerdict ControlMachine::put(const SetZoneSince& command) {
  const bool unchanged = state_.zones().contains(command.zone) && state_.evacuated(command.zone) == command.evacuated;
  if (!unchanged && zoneOrdered(command.zone) > command.seen) return verdict(ControlOutcome::kUnclear);
  return put(SetZone{command.zone, command.evacuated});
}

ControlVerdict ControlMachine::put(const SetZone& command) {
  auto found = state_.zones().find(command.zone);
  if (found != state_.zones().end() && found->second.evacuated == command.evacuated)
    return verdict(ControlOutcome::kUnchanged);
  state_.bump();
  state_.setZone(command.zone, command.evacuated);
  return verdict(ControlOutcome::kDone);
}

ControlVerdict ControlMachine::put(const PutWorkers& command) {
  // An older list, told by a lister that was slow, changes nothing.
  if (command.platformVersion < platformVersion_) return verdict(ControlOutcome::kOlder);
  if (command.numbered && command.platformVersion == platformVersion_) return verdict(ControlOutcome::kOlder);
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

// Nothing that nodes are told changes, but up to when it is true.
ControlVerdict ControlMachine::put(const ConfirmWorkers& command) {
  if (command.number <= platformVersion_) return verdict(ControlOutcome::kOlder);
  platformVersion_ = command.number;
  return verdict(ControlOutcome::kUnchanged);
}

std::optional<Bytes> ControlMachine::newsFor(Revision asked, bool mustAnswer) const {
  if (asked == state_.revision() && state_.revision() != 0 && !mustAnswer) return std::nullopt;
  const Revision since = state_.tellsWhole(asked) ? 0 : asked;  // the whole is packed once for all
  auto found = packedNews_.find(since);
  if (found == packedNews_.end()) found = packedNews_.emplace(since, pack(state_.newsSince(since))).first;
  return found->second;
}

QueryVerdict ControlMachine::answer(const Bytes& bytes, bool mustAnswer) {
  auto read = unpack<ControlQuery>(bytes);
  auto* query = std::get_if<ControlQuery>(&read);
  if (query == nullptr) return Bytes();
  if (auto* ask = std::get_if<NewsAsk>(query)) {
    std::optional<Bytes> news = newsFor(ask->since, mustAnswer);
    if (!news) return Hold{};
    return std::move(*news);
  }
  if (auto* follow = std::get_if<FollowAsk>(query)) {
    std::optional<Bytes> news = newsFor(follow->since, mustAnswer);
    if (!news) return Hold{};
    return pack(FollowReply{platformVersion_, static_cast<std::uint32_t>(followers_.count), followers_.place,
                            std::move(*news)});
  }
  if (std::holds_alternative<OrdersAsk>(*query)) return pack(orders_);
  return pack(HistoryVerdict{{history_.begin(), history_.end()}});
}

}  // namespace stonemount
