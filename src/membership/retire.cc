#include "membership/retire.h"

#include "control/operator_service.h"
#include "replication/loss_margin.h"
#include "replication/probe_poll.h"

namespace stonemount {

namespace {
constexpr Us kOrderLimitUs = 2500 * kMilliUs;
constexpr Us kPeekUs = 400 * kMilliUs;
constexpr Us kSureUs = 800 * kMilliUs;  // what is surely not taken by then is given up, for another node to try

const RetireOrder* orderOf(const MemberOrders& orders, const std::string& machine) {
  const RetireOrder* newest = nullptr;
  for (const RetireOrder& order : orders.retired)
    if (order.machine == machine) newest = &order;
  return newest;
}
}  // namespace

RetireByOrder::RetireByOrder(Ports& ports, RpcEndpoint& rpc, Gossip& gossip, ChainClient& core, ChainClient& store,
                             std::uint32_t lostMachines)
    : ports_(ports),
      rpc_(rpc),
      gossip_(gossip),
      core_(core),
      store_(store),
      needed_(2 * static_cast<std::size_t>(lostMachines) + 1) {}

// A name may be that of a machine's successor too: the live one, and of those the newest, is meant.
const PeerRecord* RetireByOrder::recordOf(const std::string& machine) const {
  const Gossip::Sight* chosen = nullptr;
  for (const auto& [address, sight] : gossip_.sights()) {
    if (sight.record.role != Role::kStore || sight.record.machine != machine) continue;
    if (chosen == nullptr || std::make_pair(gossip_.isAlive(sight), sight.record.life) >
                                 std::make_pair(gossip_.isAlive(*chosen), chosen->record.life))
      chosen = &sight;
  }
  return chosen == nullptr ? nullptr : &chosen->record;
}

Job<std::optional<MemberOrders>> RetireByOrder::readOrders() {
  ControlQuery query = OrdersAsk{};
  Job<ChainAnswer> asking = readNewest(core_, pack(query));
  ChainAnswer answer = co_await asking;
  if (!std::holds_alternative<Bytes>(answer)) co_return std::nullopt;
  auto read = unpack<MemberOrders>(std::get<Bytes>(answer));
  if (!std::holds_alternative<MemberOrders>(read)) co_return std::nullopt;
  co_return std::get<MemberOrders>(std::move(read));
}

// Enough must stay that, with another loss right after it is gone, most voters are left, and all that was
// acknowledged is in two zones. That one zone might hold most of them then is the operator's choice.
// A live machine that holds no seat yet counts: the order is complete only when it has one.
Job<RetireOutcome> RetireByOrder::retire(std::string machine) {
  const PeerRecord* record = recordOf(machine);
  if (record == nullptr) {
    Job<std::optional<MemberOrders>> reading = readOrders();
    const std::optional<MemberOrders> orders = co_await reading;
    if (!orders) co_return RetireOutcome::kUnsure;
    if (orderOf(*orders, machine) != nullptr) co_return RetireOutcome::kUnderWay;
    co_return gossip_.settled() ? RetireOutcome::kUnknown : RetireOutcome::kUnsure;
  }
  // Taken as the rest is counted: the answer comes later. A record that is silent in a view that has not settled
  // may be that of a machine which was removed since.
  const bool settled = gossip_.settled();
  if (!settled && !gossip_.isAlive(gossip_.sights().at(record->wire))) co_return RetireOutcome::kUnsure;
  RetireStore command;
  command.machine = machine;
  command.address = record->wire;
  command.needed = static_cast<std::uint32_t>(needed_);
  std::vector<Seat> rest;
  for (const PeerRecord& other : gossip_.alive(Role::kStore)) {
    if (other.wire == command.address || other.draining) continue;
    command.rest.push_back(other.wire);
    rest.push_back({other.wire, 0, other.zone});
  }
  if (!spansZones(rest)) command.rest.clear();  // the chain still answers, should it have been ordered before
  ControlCommand wrapped = command;
  Job<ChainAnswer> sending = submitWhenHeard(ports_, core_, pack(wrapped), kOrderLimitUs, kSureUs);
  ChainAnswer answer = co_await sending;
  if (!std::holds_alternative<Bytes>(answer)) co_return RetireOutcome::kUnsure;
  auto read = unpack<OrderVerdict>(std::get<Bytes>(answer));
  auto* verdict = std::get_if<OrderVerdict>(&read);
  if (verdict == nullptr) co_return RetireOutcome::kUnsure;
  if (verdict->outcome == OrderOutcome::kTooFew && !settled) co_return RetireOutcome::kUnsure;
  if (verdict->outcome == OrderOutcome::kTooFew) co_return RetireOutcome::kTooFew;
  co_return verdict->outcome == OrderOutcome::kAgain ? RetireOutcome::kUnderWay : RetireOutcome::kTaken;
}

// Every member of the chain holds all that was ever acknowledged. With as many of them active as the
// tolerance asks for, in zones any of which may go, it and then as many as may be lost can go too.
Job<bool> RetireByOrder::restHolds(Address retired) {
  Job<Done> refreshing = store_.refresh();
  co_await refreshing;
  const View view = store_.view();
  if (view.revision == 0 || findMember(view, retired) != nullptr) co_return false;
  if (findSeat(view.chain, retired) != nullptr || findSeat(view.wide, retired) != nullptr) co_return false;
  if (view.chain.size() < needed_ || !spansZones(view.chain)) co_return false;
  absl::btree_set<Address> asked;
  for (const Seat& seat : view.chain) asked.insert(seat.address);
  ProbePoll poll(rpc_, asked, kPeekUs);
  co_await poll;
  std::vector<MemberSight> members;
  for (const Seat& seat : view.chain) {
    auto found = poll.pongs().find(seat.address);
    members.push_back({seat, found != poll.pongs().end() ? std::optional<Pong>(found->second) : std::nullopt});
  }
  const LossMargin margin = lossMarginOf(view, members);
  co_return margin.machines >= needed_ / 2;
}

Job<RetireState> RetireByOrder::stateOf(std::string machine) {
  Job<std::optional<MemberOrders>> reading = readOrders();
  const std::optional<MemberOrders> orders = co_await reading;
  if (!orders) co_return RetireState::kUnsure;
  const RetireOrder* order = orderOf(*orders, machine);
  const PeerRecord* record = recordOf(machine);
  if (order == nullptr && record == nullptr) co_return gossip_.settled() ? RetireState::kUnknown : RetireState::kUnsure;
  if (order == nullptr || (record != nullptr && record->wire != order->address)) co_return RetireState::kServing;
  Job<bool> holding = restHolds(order->address);
  const bool holds = co_await holding;
  co_return holds ? RetireState::kComplete : RetireState::kServing;
}

}  // namespace stonemount
