// An operator's request for other voters: join, retire, replace (design.md 6.5).
#include "replication/replica.h"

namespace stonemount {

namespace {
constexpr Us kRequestLimitUs = 6 * kSecondUs;
}

void Replica::onChangeVoters(const Asked& asked) { room_.start(changeVoters(asked)); }

Task Replica::changeVoters(Asked asked) {
  auto message = unpack<ChangeVoters>(asked.body);
  if (!std::holds_alternative<ChangeVoters>(message)) co_return;
  const ChangeVoters request = std::get<ChangeVoters>(message);
  ChangeReply verdict;
  // What the membershipManager has done already is done.
  const bool fulfilled =
      request.add.set() && request.remove.set() && findSeat(memory_.view.chain, request.add) != nullptr;
  const bool knows = !request.remove.set() || fulfilled || findMember(memory_.view, request.remove) != nullptr;
  std::vector<Seat> rest = memory_.view.chain;
  std::erase_if(rest, SeatAt{request.remove});
  // Who wishes for the same waits along: the membershipManager and an operator may see the same need.
  const bool same = request_ && request_->add == request.add && request_->remove == request.remove;
  if ((request_ && !same) || !votes(memory_.view.revision))
    verdict.outcome = ChangeOutcome::kBusy;
  else if (!knows || (!request.add.set() && !request.remove.set()))
    verdict.outcome = ChangeOutcome::kUnknown;
  else if (!request.add.set() && (rest.empty() || !spansZones(rest)))
    verdict.outcome = ChangeOutcome::kTooFew;
  else {
    request_ = request;
    ++requesters_;
    if (request.add.set() && pinged_.insert(request.add).second) room_.start(ping(request.add));
    const Us untilUs = ports_.clock.monoUs() + kRequestLimitUs;
    verdict.outcome = ChangeOutcome::kNotReady;
    while (ports_.clock.monoUs() < untilUs) {
      const bool added = !request.add.set() || findSeat(memory_.view.chain, request.add) != nullptr;
      const bool removed = !request.remove.set() || findMember(memory_.view, request.remove) == nullptr;
      if (added && removed) {
        verdict.outcome = ChangeOutcome::kDone;
        break;
      }
      if (!added) rpc_.tell(request.add, Invite{});
      Pause pause(ports_.timers, plan_.pingUs);
      co_await pause;
    }
    if (--requesters_ == 0) request_.reset();
  }
  rpc_.reply(asked, verdict);
}

}  // namespace stonemount
