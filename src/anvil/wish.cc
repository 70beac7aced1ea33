// An operator's wish for other voters: join, retire, replace (design.md 6.5).
#include "anvil/member.h"

namespace stonemount {

namespace {
constexpr Us kWishLimitUs = 6 * kSecondUs;
}

void Member::onChangeVoters(const Asked& asked) { room_.start(changeVoters(asked)); }

Task Member::changeVoters(Asked asked) {
  auto message = unpack<ChangeVoters>(asked.body);
  if (!std::holds_alternative<ChangeVoters>(message)) co_return;
  const ChangeVoters wish = std::get<ChangeVoters>(message);
  ChangeVerdict verdict;
  // What the steward has done already is done.
  const bool fulfilled = wish.add.set() && wish.remove.set() && findSeat(memory_.view.chain, wish.add) != nullptr;
  const bool knows = !wish.remove.set() || fulfilled || findMember(memory_.view, wish.remove) != nullptr;
  std::vector<Seat> rest = memory_.view.chain;
  std::erase_if(rest, SeatAt{wish.remove});
  // Who wishes for the same waits along: the steward and an operator may see the same need.
  const bool same = wish_ && wish_->add == wish.add && wish_->remove == wish.remove;
  if ((wish_ && !same) || !votes(memory_.view.revision)) verdict.outcome = ChangeOutcome::kBusy;
  else if (!knows || (!wish.add.set() && !wish.remove.set())) verdict.outcome = ChangeOutcome::kUnknown;
  else if (!wish.add.set() && (rest.empty() || !spansZones(rest))) verdict.outcome = ChangeOutcome::kTooFew;
  else {
    wish_ = wish;
    ++wishers_;
    if (wish.add.set() && pinged_.insert(wish.add).second) room_.start(ping(wish.add));
    const Us untilUs = ports_.clock.monoUs() + kWishLimitUs;
    verdict.outcome = ChangeOutcome::kNotReady;
    while (ports_.clock.monoUs() < untilUs) {
      const bool added = !wish.add.set() || findSeat(memory_.view.chain, wish.add) != nullptr;
      const bool removed = !wish.remove.set() || findMember(memory_.view, wish.remove) == nullptr;
      if (added && removed) {
        verdict.outcome = ChangeOutcome::kDone;
        break;
      }
      if (!added) rpc_.tell(wish.add, Invite{});
      Pause pause(ports_.timers, plan_.pingUs);
      co_await pause;
    }
    if (--wishers_ == 0) wish_.reset();
  }
  rpc_.reply(asked, verdict);
}

}  // namespace stonemount
