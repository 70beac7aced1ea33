// How the scheduler comes by runs of standing lots: some are granted with a lot that is handed in here, the others it
// claims when the store calls it (design.md 9.8).
#include <algorithm>

#include "node/scheduler.h"

namespace stonemount {

namespace {
constexpr Us kHoldUs = 600 * kMilliUs;  // that the store may take to call
constexpr Us kReadUs = 2 * kSecondUs;
constexpr Us kClaimUs = 2 * kSecondUs;
constexpr Us kAgainUs = 150 * kMilliUs;  // after a call that brought nothing; doubles with each in a row
constexpr Us kMostAgainUs = 1200 * kMilliUs;
constexpr Us kFullUs = 100 * kMilliUs;  // until its room is looked at again: it also grows with time alone
}  // namespace

void Scheduler::reserve(const std::string& scope, std::size_t items) {
  reserved_ += items;
  reservedByScope_[scope] += items;
}

void Scheduler::unreserve(const std::string& scope, std::size_t items) {
  std::size_t& ofRoute = reservedByScope_[scope];
  STONEMOUNT_INVARIANT(items <= reserved_ && items <= ofRoute);
  reserved_ -= items;
  ofRoute -= items;
  if (ofRoute == 0) reservedByScope_.erase(scope);
}

// By route, what this node could run more.
std::vector<RouteDemand> Scheduler::demands() {
  std::vector<RouteDemand> demands;
  const std::size_t used = passed_ + reserved_;
  const std::size_t most = runner_->plan().mostRunning;
  if (draining_ || used >= most) return demands;
  lotRoutes_.refresh();
  for (const std::string& name : lotRoutes_.names()) {
    auto found = control_.routes().find(name);
    if (found == control_.routes().end()) continue;
    const Route& route = found->second;
    std::string scope = scopeOf(route);
    auto reserved = reservedByScope_.find(scope);
    const std::size_t asked = reserved == reservedByScope_.end() ? 0 : reserved->second;
    const std::size_t room = std::min(runner_->room(route), most - used);
    if (room > asked)
      demands.push_back({std::move(scope), route.completionUs, static_cast<std::uint32_t>(room - asked)});
  }
  addNested(demands);
  return demands;
}

// What lies below a demand and belongs to another route is asked for with nothing, so that it is left out.
void Scheduler::addNested(std::vector<RouteDemand>& demands) const {
  absl::btree_set<std::string> nested;
  for (const RouteDemand& demand : demands)
    for (std::string& scope : lotRoutes_.nestedBelow(demand.route)) nested.insert(std::move(scope));
  for (const RouteDemand& demand : demands) nested.erase(demand.route);
  for (const std::string& scope : nested) demands.push_back({scope, 0, 0});
}

ReservedPlaces Scheduler::reserveAtOnce(const Route& route, std::size_t items) {
  ReservedPlaces reserved;
  if (runner_ == nullptr) return reserved;
  reserved.scope = scopeOf(route);
  for (const RouteDemand& demand : demands()) {
    if (demand.route != reserved.scope) continue;
    reserved.items = static_cast<std::uint32_t>(std::min<std::size_t>(items, demand.most));
    reserve(reserved.scope, reserved.items);
    break;
  }
  return reserved;
}

void Scheduler::startTaken(const ReservedPlaces& reserved, const SubmitLot& lot, const std::vector<GrantedRun>& granted,
                           Us askedUs) {
  if (reserved.items > 0) unreserve(reserved.scope, reserved.items);
  for (const GrantedRun& one : granted) {
    if (one.wish >= lot.items.size() || running_.contains({lot.name, one.wish})) continue;
    startStanding({{lot.name, one.wish, one.run}, 0, lot.host, 0, lot.items[one.wish]}, askedUs);
  }
}

Task Scheduler::followStanding() {
  Us againUs = kAgainUs;
  while (true) {
    const std::vector<RouteDemand> wanted = demands();
    if (wanted.empty()) {
      EventWait hear(ports_.timers, placeEvent_, kFullUs);
      co_await hear;
      continue;
    }
    Job<std::uint32_t> calling = awaitCall(wanted);
    const std::uint32_t most = co_await calling;
    std::size_t claimed = 0;
    if (most > 0) {
      Job<std::size_t> claiming = claim(demands(), most);
      claimed = co_await claiming;
      againUs = claimed > 0 ? kAgainUs : std::min(2 * againUs, kMostAgainUs);
    }
    if (claimed > 0) continue;
    Pause pause(ports_.timers, againUs);
    co_await pause;
  }
}

// How many runs the store calls this node to claim; 0: none in time.
Job<std::uint32_t> Scheduler::awaitCall(const std::vector<RouteDemand>& demands) {
  StandingWorkAsk ask;
  ask.place = place_;
  ask.demands = demands;
  Job<ChainAnswer> asking = store_.read(pack(StoreQuery(std::move(ask))), kHoldUs, kReadUs);
  ChainAnswer answer = co_await asking;
  if (!std::holds_alternative<Bytes>(answer)) co_return 0;
  auto read = unpack<StandingWorkVerdict>(std::get<Bytes>(answer));
  auto* verdict = std::get_if<StandingWorkVerdict>(&read);
  co_return verdict == nullptr ? 0 : verdict->most;
}

Job<std::size_t> Scheduler::claim(std::vector<RouteDemand> demands, std::uint32_t most) {
  if (demands.empty()) co_return 0;
  ClaimRuns command;
  command.node = rpc_.self();
  command.licenceUs = plan_.licenceUs;
  command.slotCap = runner_->plan().mostRunning;
  std::size_t left = runner_->plan().mostRunning - std::min<std::size_t>(passed_ + reserved_, command.slotCap);
  for (RouteDemand& demand : demands) {
    demand.most = static_cast<std::uint32_t>(std::min<std::size_t>({demand.most, most, left}));
    left -= demand.most;
    reserve(demand.route, demand.most);
  }
  command.demands = demands;
  const Us askedUs = ports_.clock.monoUs();
  Job<ChainAnswer> asking = store_.submit(pack(StoreCommand(std::move(command))), kClaimUs);
  ChainAnswer answer = co_await asking;
  for (const RouteDemand& demand : demands) unreserve(demand.route, demand.most);
  if (!std::holds_alternative<Bytes>(answer)) co_return 0;
  auto read = unpack<ClaimVerdict>(std::get<Bytes>(answer));
  auto* verdict = std::get_if<ClaimVerdict>(&read);
  if (verdict == nullptr) co_return 0;
  const std::size_t claimed = verdict->claimed.size();
  if (claimed == 0) ++counts_.notGranted;
  for (ClaimedRun& one : verdict->claimed) startStanding(std::move(one), askedUs);
  co_return claimed;
}

void Scheduler::startStanding(ClaimedRun granted, Us askedUs) {
  auto run = std::make_shared<LotRun>();
  run->name = std::move(granted.name);
  run->item = std::move(granted.item);
  run->host = std::move(granted.host);
  run->takenUs = askedUs - granted.ageUs;
  run->heardUs = askedUs;
  run->worker = rpc_.self();
  start(std::move(run), *runner_);
}

}  // namespace stonemount
