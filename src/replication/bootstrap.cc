// The first view: only when every founder is present, and empty or without a disk (design.md 6.5).
#include <absl/strings/str_cat.h>

#include "replication/replica.h"

namespace stonemount {

namespace {
// The seats of the first view: those of the founders that have a disk. None: not all of them are heard now, or one of
// them is not empty. So all who hear the same founders find the same seats, and one that gets a disk meanwhile is
// heard to have one before it counts anybody as empty (`askAnew` in voter.cc).
std::optional<std::vector<Seat>> foundingSeats(const ReplicaPlan& plan, const Seat& self,
                                               const absl::btree_map<Address, PeerSight>& peers, Us nowUs) {
  std::vector<Seat> seats;
  for (const Address& founder : plan.founders) {
    if (founder == self.address) {
      seats.push_back(self);
      continue;
    }
    auto found = peers.find(founder);
    if (found == peers.end() || found->second.heardUs < 0) return std::nullopt;
    const Pong& pong = found->second.pong;
    if (nowUs - found->second.heardUs >= plan.suspectUs) return std::nullopt;
    if (pong.state == ReplicaState::kStandby) continue;
    if (pong.state != ReplicaState::kBootstrapping || pong.revision != 0) return std::nullopt;
    seats.push_back({founder, pong.incarnation, pong.zone});
  }
  return seats;
}

// The one of them that makes the first view.
Address lowestOf(const std::vector<Seat>& seats) {
  Address lowest;
  for (const Seat& seat : seats)
    if (!lowest.set() || seat.address < lowest) lowest = seat.address;
  return lowest;
}
}  // namespace

// Where no founder has a disk it waits for ever: nobody else may decide who founds instead.
Task Replica::bootstrap() {
  bool noneTold = false;
  while (state_ == ReplicaState::kBootstrapping) {
    Pause pause(ports_.timers, plan_.pingUs);
    co_await pause;
    if (memory_.view.revision != 0 || plan_.founders.empty()) continue;  // taken from another; or told of no founders
    const Seat self{self_, memory_.incarnation, plan_.zone};
    std::optional<std::vector<Seat>> seats = foundingSeats(plan_, self, peers_, ports_.clock.monoUs());
    if (!seats) continue;
    if (seats->empty() && !std::exchange(noneTold, true)) logDoubt("no_founder_has_a_disk", {});
    if (lowestOf(*seats) != self_) continue;
    View first;
    first.revision = 1;
    first.voters = first.chain = first.wide = std::move(*seats);
    logEvent("founding", {{"members", absl::StrCat(first.voters.size())},
                          {"without_disk", absl::StrCat(plan_.founders.size() - first.voters.size())}});
    Job<bool> taken = takeView(first);
    const bool durable = co_await taken;
    if (!durable) co_return;
    Bootstrap message{first};
    for (const Seat& seat : first.voters)
      if (seat.address != self_) rpc_.tell(seat.address, message);
  }
}

// Founders that were not known at the start, as the control chain agreed on them. The first list stays.
void Replica::onBootstrapMembers(const Asked& asked) {
  auto message = unpack<BootstrapMembers>(asked.body);
  if (!std::holds_alternative<BootstrapMembers>(message) || state_ != ReplicaState::kBootstrapping) return;
  if (!plan_.mayFound || !plan_.founders.empty()) return;
  plan_.founders = std::get<BootstrapMembers>(message).founders;
  for (const Address& founder : plan_.founders)
    if (founder != self_) meet(founder);
}

void Replica::onBootstrap(const Asked& asked) {
  auto message = unpack<Bootstrap>(asked.body);
  if (!std::holds_alternative<Bootstrap>(message) || state_ != ReplicaState::kBootstrapping) return;
  const View& first = std::get<Bootstrap>(message).view;
  if (!holdsSeat(first.voters, self_, memory_.incarnation)) return;  // meant for a former life, on another disk
  room_.start(takeViewTask(first));
}

}  // namespace stonemount
