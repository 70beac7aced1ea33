#include "membership/membership_manager.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kOrderLimitUs = 1500 * kMilliUs;
}  // namespace

MembershipPlan membershipPlanOf(const Settings& settings, MembershipPlan plan) {
  plan.seats = 2 * static_cast<std::size_t>(settings.bounds.lostMachines) + 1;
  return plan;
}

MembershipManager::MembershipManager(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, Election& election, Gossip& gossip,
                                     const Replica& control, const ControlMachine& machine, ChainClient& core,
                                     ChainClient& store, MembershipPlan plan)
    : ports_(ports),
      rpc_(rpc),
      room_(room),
      election_(election),
      gossip_(gossip),
      control_(control),
      machine_(machine),
      core_(core),
      store_(store),
      plan_(plan),
      controlSeats_(plan.watch, plan.seats),
      storeSeats_(plan.watch, plan.seats) {}

void MembershipManager::begin() {
  room_.start(tendControl());
  room_.start(tendStore());
}

// Whoever becomes membershipManager knows since when the set of empty stores has stood.
void MembershipManager::noteEmpties() {
  absl::btree_set<Address> now;
  for (const PeerRecord& record : gossip_.alive(Role::kStore))
    if (record.empty) now.insert(record.wire);
  const Us nowUs = ports_.clock.monoUs();
  if (now != empties_) emptiesSinceUs_ = nowUs;
  if (firstEmptyUs_ < 0 && !now.empty()) firstEmptyUs_ = nowUs;
  empties_ = std::move(now);
}

// A store chain that was founded otherwise is remembered as founded: there is never a second one.
Job<Done> MembershipManager::rememberFounded() {
  FoundStore command;
  for (const Seat& seat : store_.view().voters) command.founders.push_back(seat.address);
  ControlCommand wrapped = command;
  Job<ChainAnswer> sending = core_.submit(pack(wrapped), kOrderLimitUs);
  co_await sending;
  co_return Done{};
}

// Agreed once in the control chain, whoever proposes: the first list holds for ever.
Job<Done> MembershipManager::found() {
  const Us nowUs = ports_.clock.monoUs();
  if (founders_.empty()) {
    std::vector<Seat> seats;
    for (const PeerRecord& record : gossip_.alive(Role::kStore))
      if (record.empty) seats.push_back({record.wire, 0, record.zone});
    const bool late = firstEmptyUs_ >= 0 && nowUs - firstEmptyUs_ > plan_.foundWaitUs;
    const bool enough = seats.size() >= plan_.seats && outlivesZones(spreadSeats(seats, plan_.seats));
    // Views are partial: where there are many processes, the set that one of them sees never stands still.
    const bool settled = late || nowUs - emptiesSinceUs_ >= plan_.settledUs;
    if (seats.empty() || !settled || !(enough || (late && spansZones(seats)))) co_return Done{};
    FoundStore command;
    for (const Seat& seat : spreadSeats(seats, plan_.seats)) command.founders.push_back(seat.address);
    ControlCommand wrapped = command;
    Job<ChainAnswer> sending = core_.submit(pack(wrapped), kOrderLimitUs);
    ChainAnswer answer = co_await sending;
    if (!std::holds_alternative<Bytes>(answer)) co_return Done{};
    auto read = unpack<OrderVerdict>(std::get<Bytes>(answer));
    if (auto* verdict = std::get_if<OrderVerdict>(&read)) founders_ = verdict->orders.storeFounders;
    logEvent("store_founders", {{"count", absl::StrCat(founders_.size())}});
  }
  for (const Address& founder : founders_) rpc_.tell(founder, BootstrapMembers{founders_});
  co_return Done{};
}

Job<bool> MembershipManager::peek(const View& view) {
  absl::btree_set<Address> asked;
  for (const std::vector<Seat>* seats : {&view.voters, &view.nonVoters})
    for (const Seat& seat : *seats) asked.insert(seat.address);
  nameAlive(storeSeats_, Role::kStore);
  for (const Address& named : storeSeats_.named()) asked.insert(named);
  ProbePoll poll(rpc_, asked, plan_.peekUs);
  co_await poll;
  bool newer = false;
  const Us nowUs = ports_.clock.monoUs();
  for (const auto& [address, pong] : poll.pongs()) {
    storeSeats_.heard(address, pong, nowUs);
    newer |= pong.revision > view.revision;
  }
  co_return newer;
}

void MembershipManager::nameAlive(ChainSeats& seats, Role role) {
  const Us nowUs = ports_.clock.monoUs();
  for (const PeerRecord& record : gossip_.alive(role)) seats.name(record, nowUs);
}

SeatNeed MembershipManager::needOf(const ChainSeats& seats, const View& view, Role role) const {
  const auto retired = [this, role](const Address& wire, const std::string& machine) {
    return role == Role::kStore && machine_.orders().retires(wire, machine);
  };
  return seats.need(view, rpc_.self(), retired, ports_.clock.monoUs());
}

// What is applied here may lag behind: a retired machine must not come back by that.
Job<bool> MembershipManager::ordered(Address add) {
  ControlQuery query = OrdersAsk{};
  Job<ChainAnswer> asking = core_.read(pack(query), 0, kOrderLimitUs);
  ChainAnswer answer = co_await asking;
  if (!std::holds_alternative<Bytes>(answer)) co_return false;
  auto read = unpack<MemberOrders>(std::get<Bytes>(answer));
  auto* orders = std::get_if<MemberOrders>(&read);
  co_return orders != nullptr && !orders->retires(add, storeSeats_.machineAt(add));
}

void MembershipManager::invite(Role role, const std::vector<Address>& wanted) {
  for (const Address& peer : wanted) rpc_.tell(peer, Invite{});
  std::vector<Address>& last = role == Role::kStore ? invitedStores_ : invitedCores_;
  if (wanted == last) return;
  last = wanted;
  std::string names;
  for (const Address& peer : wanted) absl::StrAppend(&names, names.empty() ? "" : ",", addressText(peer));
  logEvent("invited", {{"chain", roleText(role)}, {"peers", names}});
}

Job<bool> MembershipManager::tend(ChainClient& client, ChainSeats& seats, View view, Role role) {
  const Us nowUs = ports_.clock.monoUs();
  const SeatNeed need = needOf(seats, view, role);
  invite(role, wantedIn(need));
  const ChangeVoters change = nextChange(need);
  if (!change.add.set() && !change.remove.set()) co_return !need.doubted.empty() || !need.retired.empty();
  if (change.add.set()) {
    const Pong* pong = seats.pong(change.add, nowUs);
    if (pong == nullptr || !pong->caughtUp || pong->revision != view.revision) co_return true;
    if (role == Role::kStore) {
      Job<bool> asking = ordered(change.add);
      const bool may = co_await asking;
      if (!may) co_return true;
    }
  }
  logEvent("seat_change",
           {{"chain", roleText(role)}, {"add", addressText(change.add)}, {"remove", addressText(change.remove)}});
  Job<std::variant<ChangeReply, PeerSilent>> job = client.changeVoters(change, plan_.changeUs);
  co_await job;
  co_return true;
}

Task MembershipManager::tendControl() {
  while (true) {
    Pause pause(ports_.timers, plan_.restUs);
    co_await pause;
    const View view = control_.view();
    // Every core watches, so that whoever becomes membershipManager knows since when one has been silent.
    controlSeats_.look(view, ports_.clock.monoUs());
    nameAlive(controlSeats_, Role::kCore);
    for (const auto& [address, sight] : control_.peers())
      if (sight.heardUs >= 0) controlSeats_.heard(address, sight.pong, sight.heardUs);
    if (!election_.holds(kDuty) || view.revision == 0) continue;
    Job<bool> tending = tend(core_, controlSeats_, view, Role::kCore);
    co_await tending;
  }
}

Task MembershipManager::tendStore() {
  bool busy = true;
  while (true) {
    Pause pause(ports_.timers, busy ? plan_.roundUs : plan_.restUs);
    co_await pause;
    const bool founded = store_.view().revision != 0;
    if (!founded) noteEmpties();
    busy = !founded && !empties_.empty();
    if (!election_.holds(kDuty)) {
      storeSeats_.clear();
      storeSeats_.look(View(), ports_.clock.monoUs());  // only to know whether it was frozen itself
      continue;
    }
    if (!founded) {
      storeSeats_.look(View(), ports_.clock.monoUs());
      Job<Done> refreshing = store_.refresh();
      co_await refreshing;
      Job<Done> founding = found();
      if (store_.view().revision == 0) co_await founding;
      continue;
    }
    const View view = store_.view();
    if (machine_.orders().storeFounders.empty()) {
      Job<Done> remembering = rememberFounded();
      co_await remembering;
    }
    Job<bool> peeking = peek(view);
    const bool newer = co_await peeking;
    // Who has just become membershipManager goes by when the records of the silent last moved.
    for (const Seat& seat : view.voters) {
      auto sight = gossip_.sights().find(seat.address);
      if (sight != gossip_.sights().end()) storeSeats_.detector().suppose(seat.address, sight->second.heardUs);
    }
    storeSeats_.look(view, ports_.clock.monoUs());
    if (newer) {
      Job<Done> refreshing = store_.refresh();
      co_await refreshing;
      busy = true;
      continue;
    }
    Job<bool> tending = tend(store_, storeSeats_, view, Role::kStore);
    busy = co_await tending;
  }
}

}  // namespace stonemount
