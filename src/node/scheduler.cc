#include "node/scheduler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kHoldUs = 600 * kMilliUs;
constexpr Us kReadUs = 2 * kSecondUs;
constexpr Us kGrantUs = 2 * kSecondUs;
constexpr Us kAgainUs = 150 * kMilliUs;
constexpr std::uint32_t kLotsTold = 64;
constexpr std::size_t kWishes = 32;
}  // namespace

struct Scheduler::Wishes {
  GrantRuns command;
  std::vector<CarrierPlace> places;
  std::vector<const OpenLot*> lots;
  bool moreToDo = false;
};

Scheduler::Scheduler(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, ChainClient& store, WorkerLoadTable& board,
                     const ControlState& control, Gossip& gossip, std::string zone, SchedulerPlan plan)
    : ports_(ports),
      rpc_(rpc),
      room_(room),
      store_(store),
      board_(board),
      control_(control),
      gossip_(gossip),
      zone_(std::move(zone)),
      plan_(plan),
      sealer_(ports, board, control),
      delivery_(ports, room, store, itemTimes_, plan.gatherUs),
      lotRoutes_(control) {}

SchedulerPlan passingPlan(SchedulerPlan plan, const Bounds& bounds) {
  plan.licenceUs = 3500 * kMilliUs;  // a lost node's items are due soon; the grace after a doubt is no longer
  plan.renewUs = 700 * kMilliUs;
  plan.gatherUs = 80 * kMilliUs;
  plan.drainUs = std::min(4 * kSecondUs, bounds.graceUs / 2);
  plan.runner.freshUs = std::max<Us>(plan.renewUs, bounds.cancelUs - kSecondUs);
  return plan;
}

void Scheduler::passThrough(ItemPasser& passer) {
  runner_ = std::make_unique<LotRunner>(ports_, room_, passer, control_, itemTimes_, plan_.runner);
}

void Scheduler::tellItemTimes() {
  itemTimes_.tell(passed_, counts_.notGranted - std::exchange(notGrantedTold_, counts_.notGranted));
}

void Scheduler::begin() {
  room_.start(follow());
  room_.start(renew());
  delivery_.begin();
  if (runner_ == nullptr) return;
  runner_->begin();
  room_.start(followStanding());
}

void Scheduler::refreshRing() {
  absl::btree_set<Address> alive;
  for (const PeerRecord& record : gossip_.alive(Role::kNode))
    if (!record.draining && !control_.evacuated(record.zone)) alive.insert(record.wire);
  std::vector<Address> gone;
  for (const Address& member : nodes_.members())
    if (!alive.contains(member)) gone.push_back(member);
  for (const Address& member : gone) nodes_.remove(member);
  for (const Address& member : alive) nodes_.put(member);
}

// Nodes may disagree for a while on whose lot it is; the store's grants settle it.
bool Scheduler::atHome(const std::string& lot) const {
  const std::vector<Address> heirs = nodes_.heirs(spread(lot), 1);
  return !heirs.empty() && heirs.front() == rpc_.self();
}

Task Scheduler::follow() {
  while (true) {
    WorkAsk wish;
    wish.since = seenVersion_;
    wish.most = kLotsTold;
    Job<ChainAnswer> asking = store_.read(pack(StoreQuery(wish)), kHoldUs, kReadUs);
    ChainAnswer answer = co_await asking;
    Us againUs = kAgainUs;
    bool moreToDo = false;
    if (std::holds_alternative<Bytes>(answer)) {
      auto read = unpack<WorkVerdict>(std::get<Bytes>(answer));
      if (auto* work = std::get_if<WorkVerdict>(&read)) {
        seenVersion_ = work->version;
        board_.setLotsWaiting(work->certain && !work->lots.empty());
        const std::uint64_t before = counts_.granted;
        Job<bool> granting = grant(std::move(*work));
        moreToDo = co_await granting;
        if (moreToDo) seenVersion_ = 0;  // look again soon, news or not
        againUs = counts_.granted > before ? 5 * kMilliUs : 40 * kMilliUs;
      }
    }
    EventWait hear(ports_.timers, workEvent_, againUs);
    co_await hear;
  }
}

// Gathers what of a lot may be taken now.
void Scheduler::wishFor(const OpenLot& lot, Wishes& wishes) {
  if (control_.evacuated(zone_) || !atHome(lot.lot)) return;
  auto route = control_.routes().find(lot.route);
  if (route == control_.routes().end()) return;  // it waits until the route is back (design.md 7.5)
  for (std::size_t i = 0; i < lot.waiting.size(); ++i) {
    if (running_.contains({lot.lot, lot.waiting[i]})) continue;
    const bool full = running_.size() + wishes.places.size() >= plan_.mostRunning;
    const std::optional<CarrierPlace> place =
        full || wishes.places.size() >= kWishes ? std::nullopt : sealer_.reserve(route->second, lot.prefixes[i]);
    if (!place) {
      wishes.moreToDo = true;
      return;
    }
    wishes.command.wishes.push_back({lot.lot, lot.waiting[i], place->worker, place->slotCap});
    wishes.places.push_back(*place);
    wishes.lots.push_back(&lot);
  }
}

Job<bool> Scheduler::grant(WorkVerdict work) {
  refreshRing();
  if (draining_ || !work.certain) co_return false;
  Wishes wishes;
  wishes.command.node = rpc_.self();
  wishes.command.licenceUs = plan_.licenceUs;
  for (const OpenLot& lot : work.lots) wishFor(lot, wishes);
  if (wishes.places.empty()) co_return wishes.moreToDo;
  const Us askedUs = ports_.clock.monoUs();
  Job<ChainAnswer> asking = store_.submit(pack(StoreCommand(wishes.command)), kGrantUs);
  ChainAnswer answer = co_await asking;
  StoreVerdict verdict;
  if (std::holds_alternative<Bytes>(answer)) {
    auto read = unpack<StoreVerdict>(std::get<Bytes>(answer));
    if (auto* given = std::get_if<StoreVerdict>(&read)) verdict = std::move(*given);
  }
  std::vector<bool> started(wishes.places.size(), false);
  for (GrantedRun& granted : verdict.granted) {
    const OpenLot& lot = *wishes.lots[granted.wish];
    started[granted.wish] = true;
    auto run = std::make_shared<LotRun>();
    run->name = {lot.lot, wishes.command.wishes[granted.wish].item, granted.run};
    run->item = std::move(granted.item);
    run->route = lot.route;
    run->takenUs = run->heardUs = askedUs;
    run->worker = wishes.places[granted.wish].worker;
    start(std::move(run), sealer_);
  }
  for (std::size_t i = 0; i < started.size(); ++i) {
    if (started[i]) continue;
    ++counts_.notGranted;
    sealer_.release(wishes.places[i]);
    wishes.moreToDo = true;
  }
  co_return wishes.moreToDo;
}

void Scheduler::start(LotRunPtr run, ItemCarrier& carrier) {
  if (running_.contains({run->name.lot, run->name.item}))  // an older run of it is still under way here
    return delivery_.drop({run->name, false, false});
  running_[{run->name.lot, run->name.item}] = run;
  passed_ += &carrier == runner_.get() ? 1 : 0;
  run->leaving = draining_;
  ++counts_.granted;
  room_.start(carry(std::move(run), &carrier));
}

Task Scheduler::carry(LotRunPtr run, ItemCarrier* carrier) {
  Job<ItemEnding> carrying = carrier->carry(run);
  ItemEnding ending = co_await carrying;
  if (auto* whole = std::get_if<ItemWhole>(&ending)) {
    ++counts_.sealed;
    delivery_.seal({run->name, false, std::move(whole->answer)});
  } else if (auto* declined = std::get_if<ItemDeclined>(&ending)) {
    ++counts_.refused;
    delivery_.seal({run->name, true, std::move(declined->verdict)});
  } else {
    ++counts_.dropped;
    const ItemGivenBack& back = std::get<ItemGivenBack>(ending);
    delivery_.drop({run->name, back.began, back.failed});
  }
  passed_ -= carrier == runner_.get() ? 1 : 0;
  running_.erase({run->name.lot, run->name.item});
  workEvent_.notify();
  placeEvent_.notify();
}

}  // namespace stonemount
