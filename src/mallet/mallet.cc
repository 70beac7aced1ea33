#include "mallet/mallet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "replication/polls.h"

namespace stonemount {

Mallet::Mallet(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, MalletPlan plan)
    : ports_(ports), rpc_(rpc), room_(room), plan_(plan) {}

void Mallet::begin(const std::vector<std::string>& duties) {
  rpc_.serve(DutyBallot::kKind, sigc::mem_fun(*this, &Mallet::onBallot));
  rpc_.serve(DutyBeat::kKind, sigc::mem_fun(*this, &Mallet::onBeat));
  for (const std::string& duty : duties) {
    duties_[duty].heardUs = ports_.clock.monoUs();  // first see whether somebody does it
    room_.start(keep(duty));
  }
}

void Mallet::setElectors(std::vector<Seat> electors, std::uint64_t incarnation) {
  electors_ = std::move(electors);
  incarnation_ = incarnation;
}

bool Mallet::holds(const std::string& name) const {
  auto found = duties_.find(name);
  return found != duties_.end() && found->second.mine;
}

Address Mallet::holder(const std::string& name) const {
  auto found = duties_.find(name);
  return found == duties_.end() || vacant(found->second) ? Address() : found->second.holder;
}

bool Mallet::vacant(const Duty& duty) const {
  return duty.heardUs < 0 || ports_.clock.monoUs() - duty.heardUs > plan_.vacantUs;
}

void Mallet::take(const std::string& name, Duty& duty, std::uint64_t term) {
  duty.mine = true;
  duty.term = term;
  duty.holder = rpc_.self();
  duty.heardUs = duty.noddedUs = ports_.clock.monoUs();
  logEvent("duty_taken", {{"duty", name}, {"term", absl::StrCat(term)}});
}

void Mallet::letGo(const std::string& name, Duty& duty) {
  duty.mine = false;
  logEvent("duty_let_go", {{"duty", name}, {"term", absl::StrCat(duty.term)}});
}

Task Mallet::keep(std::string name) {
  while (true) {
    if (duties_[name].mine) {
      Job<Done> beating = beat(name);
      co_await beating;
    } else if (vacant(duties_[name]) && holdsSeat(electors_, rpc_.self(), incarnation_)) {
      // Who lost waits longer and less alike, or an even number could split their votes for ever.
      const std::uint64_t spanMilli = 200 + 300 * std::min<std::uint64_t>(duties_[name].failures, 6);
      const Us waitUs = static_cast<Us>(ports_.chance.below(spanMilli)) * kMilliUs + (reluctant_ ? kSecondUs : 0);
      Pause aside(ports_.timers, waitUs);
      co_await aside;
      Job<Done> contending = contend(name);
      co_await contending;
    }
    Pause pause(ports_.timers, plan_.beatUs);
    co_await pause;
  }
}

Job<Done> Mallet::beat(std::string name) {
  const std::vector<Seat> electors = electors_;
  DutyBeat message{name, duties_[name].term, rpc_.self()};
  SeatPoll<DutyNod> poll(rpc_, message, electors, electors.size() / 2 + 1, plan_.beatUs);
  co_await poll;
  Duty& duty = duties_[name];
  const Us nowUs = ports_.clock.monoUs();
  if (!duty.mine) co_return Done{};
  if (poll.enough()) duty.noddedUs = duty.heardUs = nowUs;
  bool outbid = false;
  for (const std::optional<DutyNod>& nod : poll.verdicts()) outbid |= nod && nod->term > duty.term;
  if (outbid || nowUs - duty.noddedUs > plan_.standDownUs) letGo(name, duty);
  co_return Done{};
}

Job<Done> Mallet::contend(std::string name) {
  if (!vacant(duties_[name]) || electors_.empty()) co_return Done{};
  const std::vector<Seat> electors = electors_;
  const std::uint64_t term = std::max(duties_[name].term, duties_[name].voted) + 1;
  SeatPoll<DutyNod> poll(rpc_, DutyBallot{name, term, rpc_.self()}, electors, electors.size() / 2 + 1,
                         plan_.beatUs * 2);
  co_await poll;
  Duty& duty = duties_[name];
  if (poll.enough() && duty.term < term) take(name, duty, term);
  duty.failures = duty.mine ? 0 : duty.failures + 1;
  for (const std::optional<DutyNod>& nod : poll.verdicts())
    if (nod) duty.voted = std::max(duty.voted, nod->term);
  co_return Done{};
}

void Mallet::onBallot(const Asked& asked) {
  auto message = unpack<DutyBallot>(asked.body);
  if (!std::holds_alternative<DutyBallot>(message)) return;
  const DutyBallot& ballot = std::get<DutyBallot>(message);
  auto found = duties_.find(ballot.duty);
  if (found == duties_.end()) return;
  Duty& duty = found->second;
  DutyNod nod;
  nod.incarnation = incarnation_;
  const bool free = vacant(duty) || duty.holder == ballot.candidate;
  nod.granted = free && ballot.term > duty.voted && ballot.term > duty.term;
  if (nod.granted) {
    duty.voted = ballot.term;
    duty.holder = ballot.candidate;  // until it is heard of no more, it is taken to have won
    duty.heardUs = ports_.clock.monoUs() - plan_.vacantUs + plan_.voteUs;
  }
  nod.term = std::max(duty.voted, duty.term);
  rpc_.reply(asked, nod);
}

void Mallet::onBeat(const Asked& asked) {
  auto message = unpack<DutyBeat>(asked.body);
  if (!std::holds_alternative<DutyBeat>(message)) return;
  const DutyBeat& beat = std::get<DutyBeat>(message);
  auto found = duties_.find(beat.duty);
  if (found == duties_.end()) return;
  Duty& duty = found->second;
  DutyNod nod;
  nod.incarnation = incarnation_;
  nod.granted = beat.term >= duty.term;
  if (nod.granted) {
    duty.failures = 0;
    if (duty.mine && beat.holder != rpc_.self()) letGo(beat.duty, duty);
    duty.term = beat.term;
    duty.holder = beat.holder;
    duty.heardUs = ports_.clock.monoUs();
  }
  nod.term = duty.term;
  rpc_.reply(asked, nod);
}

}  // namespace stonemount
