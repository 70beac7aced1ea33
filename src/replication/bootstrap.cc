// The first view: only when every founder is present and empty (design.md 6.5).
#include <absl/strings/str_cat.h>

#include "replication/replica.h"

namespace stonemount {

Task Replica::bootstrap() {
  while (state_ == ReplicaState::kBootstrapping) {
    Pause pause(ports_.timers, plan_.pingUs);
    co_await pause;
    Address lowest = self_;
    View first;
    first.revision = 1;
    bool allEmpty = !plan_.founders.empty();
    const Us nowUs = ports_.clock.monoUs();
    for (const Address& founder : plan_.founders) {
      Seat seat{founder, memory_.incarnation, plan_.zone};
      if (founder != self_) {
        const PeerSight& sight = peers_[founder];
        allEmpty &= sight.heardUs >= 0 && nowUs - sight.heardUs < plan_.suspectUs && sight.pong.revision == 0 &&
                    sight.pong.state == ReplicaState::kBootstrapping;
        seat.incarnation = sight.pong.incarnation;
        seat.zone = sight.pong.zone;
      }
      if (founder < lowest) lowest = founder;
      first.voters.push_back(seat);
    }
    if (!allEmpty || lowest != self_) continue;
    if (findSeat(first.voters, self_) == nullptr) continue;
    first.chain = first.voters;
    first.wide = first.chain;
    logEvent("founding", {{"members", absl::StrCat(first.voters.size())}});
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
  room_.start(takeViewTask(std::get<Bootstrap>(message).view));
}

}  // namespace stonemount
