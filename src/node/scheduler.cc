#include "node/scheduler.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kHoldUs = 600 * kMilliUs;
constexpr Us kReadUs = 2 * kSecondUs;
constexpr Us kGrantUs = 2 * kSecondUs;
constexpr Us kDeliverUs = 3 * kSecondUs;
constexpr Us kAgainUs = 150 * kMilliUs;
constexpr std::uint32_t kLotsTold = 64;
constexpr std::size_t kWishes = 32;
constexpr std::size_t kDeliverBytes = 64 << 10;
constexpr std::size_t kDeliverRuns = 256;
}  // namespace

struct Scheduler::Run : public PartSink {
  void part(const Bytes& data) override { gathered += data; }
  bool left() const override { return false; }
  Bell& bell() override { return knock; }
  RunName name;
  WorkOrder order;
  Address worker;
  Bell knock;
  Bytes gathered;
};

Scheduler::Scheduler(Ports& ports, Desk& desk, TaskRoom& room, ChainClient& store, WorkerBoard& board,
                     const ControlState& control, Shim& shim, std::string zone, SchedulerPlan plan)
    : ports_(ports), desk_(desk), room_(room), store_(store), board_(board), control_(control), shim_(shim),
      zone_(std::move(zone)), plan_(plan) {}

void Scheduler::begin() {
  room_.start(follow());
  room_.start(renew());
  room_.start(deliver());
}

void Scheduler::refreshRing() {
  absl::btree_set<Address> alive;
  for (const Card& card : shim_.alive(Role::kNode))
    if (!card.draining && !control_.evacuated(card.zone)) alive.insert(card.wire);
  std::vector<Address> gone;
  for (const Address& member : nodes_.members())
    if (!alive.contains(member)) gone.push_back(member);
  for (const Address& member : gone) nodes_.remove(member);
  for (const Address& member : alive) nodes_.put(member);
}

// Nodes may disagree for a while on whose lot it is; the store's grants settle it.
bool Scheduler::atHome(const std::string& lot) {
  const std::vector<Address> heirs = nodes_.heirs(spread(lot), 1);
  return !heirs.empty() && heirs.front() == desk_.self();
}

Task Scheduler::follow() {
  while (true) {
    WorkAsk wish;
    wish.since = seenVersion_;
    wish.most = kLotsTold;
    Job<ChainAnswer> asking = store_.read(pack(StoreQuery(wish)), kHoldUs, kReadUs);
    ChainAnswer answer = co_await asking;
    Us againUs = kAgainUs;
    if (std::holds_alternative<Bytes>(answer)) {
      auto read = unpack<WorkVerdict>(std::get<Bytes>(answer));
      if (auto* work = std::get_if<WorkVerdict>(&read)) {
        seenVersion_ = work->version;
        board_.setLotsWaiting(work->certain && !work->lots.empty());
        const std::uint64_t before = counts_.granted;
        Job<Done> granting = grant(std::move(*work));
        co_await granting;
        againUs = counts_.granted > before ? 5 * kMilliUs : 40 * kMilliUs;
      }
    }
    Hear hear(ports_.alarms, workBell_, againUs);
    co_await hear;
  }
}

Job<Done> Scheduler::grant(WorkVerdict work) {
  refreshRing();
  if (draining_ || !work.certain || control_.evacuated(zone_)) co_return Done{};
  GrantRuns command;
  command.node = desk_.self();
  command.licenceUs = plan_.licenceUs;
  std::vector<Route> routes;
  bool moreToDo = false;
  for (const OpenLot& lot : work.lots) {
    if (!atHome(lot.lot)) continue;
    auto route = control_.routes().find(lot.route);
    if (route == control_.routes().end()) continue;
    for (std::size_t i = 0; i < lot.waiting.size(); ++i) {
      if (running_.contains({lot.lot, lot.waiting[i]})) continue;
      if (command.wishes.size() >= kWishes || running_.size() + command.wishes.size() >= plan_.mostRunning) {
        moreToDo = true;
        break;
      }
      NominateWish wish;
      wish.pool = route->second.pool;
      wish.adapter = route->second.adapter;
      wish.spot = lot.prefixes[i];
      wish.lot = true;
      const std::optional<Address> chosenWorker = board_.nominate(wish);
      if (!chosenWorker) {
        moreToDo = true;
        break;
      }
      board_.take(*chosenWorker, true);
      const std::uint32_t cap = board_.lotSlots(board_.sights().at(*chosenWorker));
      command.wishes.push_back({lot.lot, lot.waiting[i], *chosenWorker, cap});
      routes.push_back(route->second);
    }
  }
  if (moreToDo) seenVersion_ = 0;  // look again soon, news or not
  if (command.wishes.empty()) co_return Done{};
  const std::vector<GrantWish> wishes = command.wishes;
  Job<ChainAnswer> asking = store_.submit(pack(StoreCommand(std::move(command))), kGrantUs);
  ChainAnswer answer = co_await asking;
  StoreVerdict verdict;
  if (std::holds_alternative<Bytes>(answer)) {
    auto read = unpack<StoreVerdict>(std::get<Bytes>(answer));
    if (auto* given = std::get_if<StoreVerdict>(&read)) verdict = std::move(*given);
  }
  std::vector<bool> started(wishes.size(), false);
  for (GrantedRun& granted : verdict.granted) {
    const GrantWish& wish = wishes[granted.wish];
    started[granted.wish] = true;
    auto run = std::make_shared<Run>();
    run->name = {wish.lot, wish.item, granted.run};
    run->worker = wish.worker;
    run->order.exchange = absl::StrCat(wish.lot, ".", wish.item, ".", granted.run);
    run->order.route = routes[granted.wish];
    run->order.prompt = std::move(granted.item.body);
    run->order.lot = true;
    running_[{wish.lot, wish.item}] = run;
    ++counts_.granted;
    room_.start(runItem(run));
  }
  for (std::size_t i = 0; i < wishes.size(); ++i) {
    if (started[i]) continue;
    ++counts_.notGranted;
    board_.giveBack(wishes[i].worker, true, WorkerBoard::Ending::kLeft);
    seenVersion_ = 0;
  }
  co_return Done{};
}

Task Scheduler::runItem(std::shared_ptr<Run> run) {
  Exchange exchange(ports_, board_);
  const Us untilUs = ports_.clock.monoUs() + run->order.route.limitUs;
  Job<WorkEnding> running = exchange.run(run->order, run->worker, untilUs, *run);
  const WorkEnding ending = co_await running;
  board_.giveBack(run->worker, true, boardEnding(ending));
  if (std::holds_alternative<WorkSealed>(ending)) {
    ++counts_.sealed;
    toSeal_.push_back({run->name, false, std::move(run->gathered)});
  } else if (auto* declined = std::get_if<WorkDeclined>(&ending)) {
    ++counts_.refused;
    toSeal_.push_back({run->name, true, declined->verdict});
  } else {
    ++counts_.dropped;  // partial output goes nowhere
    auto* broken = std::get_if<WorkBroken>(&ending);
    auto* lapsed = std::get_if<WorkLapsed>(&ending);
    toDrop_.push_back({run->name, (broken != nullptr && broken->began) || (lapsed != nullptr && lapsed->began)});
  }
  running_.erase({run->name.lot, run->name.item});
  deliverBell_.ring();
  workBell_.ring();
}

// A task counts as renewed while its request is open at a worker that is still listed.
Task Scheduler::renew() {
  while (true) {
    Pause pause(ports_.alarms, plan_.renewUs);
    co_await pause;
    RenewRuns command;
    command.node = desk_.self();
    command.licenceUs = plan_.licenceUs;
    for (const auto& [key, run] : running_)
      if (board_.listed(run->worker)) command.runs.push_back(run->name);
    // Sealed here but not yet told to the store: its licence matters still.
    for (const SealedRun& sealed : toSeal_) command.runs.push_back(sealed.run);
    if (command.runs.empty()) continue;
    Job<ChainAnswer> sending = store_.submit(pack(StoreCommand(std::move(command))), plan_.renewUs);
    co_await sending;
  }
}

// What was sealed here is told to the store until the store has it, a part at a time: all that gathered
// while the store was away may be more than one record holds.
Task Scheduler::deliver() {
  while (true) {
    Hear hear(ports_.alarms, deliverBell_, kSecondUs);
    co_await hear;
    while (!toSeal_.empty() || !toDrop_.empty()) {
      std::size_t sealed = 0;
      for (std::size_t bytes = 0; sealed < toSeal_.size(); ++sealed) {
        bytes += toSeal_[sealed].answer.size();
        if (sealed > 0 && bytes > kDeliverBytes) break;  // a long one goes alone
      }
      const std::size_t dropped = sealed > 0 ? 0 : std::min(toDrop_.size(), kDeliverRuns);
      StoreCommand command;
      if (sealed > 0) command = SealRuns{{toSeal_.begin(), toSeal_.begin() + static_cast<std::ptrdiff_t>(sealed)}, false};
      else command = DropRuns{{toDrop_.begin(), toDrop_.begin() + static_cast<std::ptrdiff_t>(dropped)}, false};
      Job<ChainAnswer> telling = store_.submit(pack(command), kDeliverUs);
      ChainAnswer answer = co_await telling;
      auto* failure = std::get_if<ChainFailure>(&answer);
      if (failure == nullptr) {
        toSeal_.erase(toSeal_.begin(), toSeal_.begin() + static_cast<std::ptrdiff_t>(sealed));
        toDrop_.erase(toDrop_.begin(), toDrop_.begin() + static_cast<std::ptrdiff_t>(dropped));
        continue;
      }
      if (failure->trouble == ChainTrouble::kTooLong && sealed == 1) {
        // No record could ever hold it: the item ends, and its caller is told why.
        toSeal_.front().refused = true;
        toSeal_.front().answer = "{\"verdict\":\"answer_too_long\"}";
        continue;
      }
      Pause pause(ports_.alarms, kAgainUs);
      co_await pause;
    }
  }
}

}  // namespace stonemount
