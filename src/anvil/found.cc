// The first view: only when every founder is present and empty (design.md 6.5).
#include <absl/strings/str_cat.h>

#include "anvil/member.h"

namespace stonemount {

Task Member::found() {
  while (standing_ == Standing::kFounding) {
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
        allEmpty &= sight.heardUs >= 0 && nowUs - sight.heardUs < plan_.suspectUs &&
                    sight.pong.revision == 0 && sight.pong.standing == Standing::kFounding;
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
    Found message{first};
    for (const Seat& seat : first.voters)
      if (seat.address != self_) rpc_.tell(seat.address, message);
  }
}

// Founders that were not known at the start, as the control chain agreed on them. The first list stays.
void Member::onFoundersTold(const Asked& asked) {
  auto message = unpack<FoundersTold>(asked.body);
  if (!std::holds_alternative<FoundersTold>(message) || standing_ != Standing::kFounding) return;
  if (!plan_.mayFound || !plan_.founders.empty()) return;
  plan_.founders = std::get<FoundersTold>(message).founders;
  for (const Address& founder : plan_.founders)
    if (founder != self_) meet(founder);
}

void Member::onFound(const Asked& asked) {
  auto message = unpack<Found>(asked.body);
  if (!std::holds_alternative<Found>(message) || standing_ != Standing::kFounding) return;
  room_.start(takeViewTask(std::get<Found>(message).view));
}

}  // namespace stonemount
