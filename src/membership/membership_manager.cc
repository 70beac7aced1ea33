#include "membership/membership_manager.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kOrderLimitUs = 1500 * kMilliUs;
}

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
      controlDetector_(plan.watch),
      storeDetector_(plan.watch) {}

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
  for (const PeerRecord& record : gossip_.alive(Role::kStore)) asked.insert(record.wire);
  ProbePoll poll(rpc_, asked, plan_.peekUs);
  co_await poll;
  bool newer = false;
  const Us nowUs = ports_.clock.monoUs();
  for (const auto& [address, pong] : poll.pongs()) {
    storeDetector_.heard(address, pong, nowUs);
    newer |= pong.revision > view.revision;
  }
  co_return newer;
}

std::string MembershipManager::nameAt(const Address& wire) const {
  auto sight = gossip_.sights().find(wire);
  return sight != gossip_.sights().end() ? sight->second.record.machine : std::string();
}

SeatNeed MembershipManager::needOf(const FailureDetector& watch, const View& view, Role role) const {
  SeatNeed need;
  need.view = view;
  need.wanted = plan_.seats;
  const Us nowUs = ports_.clock.monoUs();
  for (const std::vector<Seat>* seats : {&view.voters, &view.nonVoters}) {
    for (const Seat& seat : *seats) {
      if (seat.address == rpc_.self()) continue;
      if (watch.dead(view, seat.address, nowUs)) need.dead.insert(seat.address);
      if (watch.doubted(seat.address, nowUs)) need.doubted.insert(seat.address);
      if (role == Role::kStore && machine_.orders().retires(seat.address, nameAt(seat.address)))
        need.retired.insert(seat.address);
    }
  }
  for (const PeerRecord& record : gossip_.alive(role)) {
    const Pong* pong = watch.pong(record.wire, nowUs);
    if (pong == nullptr || findMember(view, record.wire) != nullptr || record.draining) continue;
    if (role == Role::kStore && machine_.orders().retires(record.wire, record.machine)) continue;
    const bool waits = pong->state == ReplicaState::kOutside || pong->state == ReplicaState::kBootstrapping;
    if (waits && diskAnswers(*pong, plan_.watch.lateUs))
      need.fit.push_back({record.wire, pong->incarnation, record.zone});
  }
  return need;
}

// What is applied here may lag behind: a retired machine must not come back by that.
Job<bool> MembershipManager::ordered(Address add) {
  ControlQuery query = OrdersAsk{};
  Job<ChainAnswer> asking = core_.read(pack(query), 0, kOrderLimitUs);
  ChainAnswer answer = co_await asking;
  if (!std::holds_alternative<Bytes>(answer)) co_return false;
  auto read = unpack<MemberOrders>(std::get<Bytes>(answer));
  auto* orders = std::get_if<MemberOrders>(&read);
  co_return orders != nullptr && !orders->retires(add, nameAt(add));
}

Job<bool> MembershipManager::tend(ChainClient& client, FailureDetector& watch, View view, Role role) {
  const Us nowUs = ports_.clock.monoUs();
  const SeatNeed need = needOf(watch, view, role);
  for (const Address& wanted : wantedIn(need)) rpc_.tell(wanted, Invite{});
  const ChangeVoters change = nextChange(need);
  if (!change.add.set() && !change.remove.set()) co_return !need.doubted.empty() || !need.retired.empty();
  if (change.add.set()) {
    const Pong* pong = watch.pong(change.add, nowUs);
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
    controlDetector_.look(view, ports_.clock.monoUs());
    for (const auto& [address, sight] : control_.peers())
      if (sight.heardUs >= 0) controlDetector_.heard(address, sight.pong, sight.heardUs);
    if (!election_.holds(kDuty) || view.revision == 0) continue;
    Job<bool> tending = tend(core_, controlDetector_, view, Role::kCore);
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
      storeDetector_.clear();
      storeDetector_.look(View(), ports_.clock.monoUs());  // only to know whether it was frozen itself
      continue;
    }
    if (!founded) {
      storeDetector_.look(View(), ports_.clock.monoUs());
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
      if (sight != gossip_.sights().end()) storeDetector_.suppose(seat.address, sight->second.heardUs);
    }
    storeDetector_.look(view, ports_.clock.monoUs());
    if (newer) {
      Job<Done> refreshing = store_.refresh();
      co_await refreshing;
      busy = true;
      continue;
    }
    Job<bool> tending = tend(store_, storeDetector_, view, Role::kStore);
    busy = co_await tending;
  }
}

}  // namespace stonemount
