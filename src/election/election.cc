#include "election/election.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "replication/polls.h"

namespace stonemount {

Election::Election(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, ElectionPlan plan)
    : ports_(ports), rpc_(rpc), room_(room), plan_(plan) {}

void Election::begin(const std::vector<std::string>& duties) {
  rpc_.serve(DutyBallot::kKind, sigc::mem_fun(*this, &Election::onBallot));
  rpc_.serve(DutyHeartbeat::kKind, sigc::mem_fun(*this, &Election::onHeartbeat));
  for (const std::string& duty : duties) {
    duties_[duty].heardUs = ports_.clock.monoUs();  // first see whether somebody does it
    room_.start(keep(duty));
  }
}

void Election::setElectors(std::vector<Seat> electors, std::uint64_t incarnation) {
  electors_ = std::move(electors);
  incarnation_ = incarnation;
}

bool Election::holds(const std::string& name) const {
  auto found = duties_.find(name);
  return found != duties_.end() && found->second.mine;
}

Address Election::holder(const std::string& name) const {
  auto found = duties_.find(name);
  return found == duties_.end() || vacant(found->second) ? Address() : found->second.holder;
}

bool Election::vacant(const Duty& duty) const {
  return duty.heardUs < 0 || ports_.clock.monoUs() - duty.heardUs > plan_.vacantUs;
}

void Election::take(const std::string& name, Duty& duty, std::uint64_t term) {
  duty.mine = true;
  duty.term = term;
  duty.holder = rpc_.self();
  duty.heardUs = duty.confirmedUs = ports_.clock.monoUs();
  logEvent("duty_taken", {{"duty", name}, {"term", absl::StrCat(term)}});
}

void Election::letGo(const std::string& name, Duty& duty) {
  duty.mine = false;
  logEvent("duty_let_go", {{"duty", name}, {"term", absl::StrCat(duty.term)}});
}

Task Election::keep(std::string name) {
  while (true) {
    if (!able_) {
      if (duties_[name].mine) letGo(name, duties_[name]);
    } else if (duties_[name].mine) {
      Job<Done> beating = heartbeat(name);
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
    Pause pause(ports_.timers, plan_.heartbeatUs);
    co_await pause;
  }
}

Job<Done> Election::heartbeat(std::string name) {
  const std::vector<Seat> electors = electors_;
  DutyHeartbeat message{name, duties_[name].term, rpc_.self()};
  SeatPoll<DutyVote> poll(rpc_, message, electors, electors.size() / 2 + 1, plan_.heartbeatUs);
  co_await poll;
  Duty& duty = duties_[name];
  const Us nowUs = ports_.clock.monoUs();
  if (!duty.mine) co_return Done{};
  if (poll.enough()) duty.confirmedUs = duty.heardUs = nowUs;
  bool outbid = false;
  for (const std::optional<DutyVote>& vote : poll.verdicts()) outbid |= vote && vote->term > duty.term;
  if (outbid || nowUs - duty.confirmedUs > plan_.standDownUs) letGo(name, duty);
  co_return Done{};
}

Job<Done> Election::contend(std::string name) {
  if (!vacant(duties_[name]) || electors_.empty()) co_return Done{};
  const std::vector<Seat> electors = electors_;
  const std::uint64_t term = std::max(duties_[name].term, duties_[name].voted) + 1;
  SeatPoll<DutyVote> poll(rpc_, DutyBallot{name, term, rpc_.self()}, electors, electors.size() / 2 + 1,
                          plan_.heartbeatUs * 2);
  co_await poll;
  Duty& duty = duties_[name];
  if (poll.enough() && duty.term < term) take(name, duty, term);
  duty.failures = duty.mine ? 0 : duty.failures + 1;
  for (const std::optional<DutyVote>& vote : poll.verdicts())
    if (vote) duty.voted = std::max(duty.voted, vote->term);
  co_return Done{};
}

void Election::onBallot(const Asked& asked) {
  auto message = unpack<DutyBallot>(asked.body);
  if (!std::holds_alternative<DutyBallot>(message)) return;
  const DutyBallot& ballot = std::get<DutyBallot>(message);
  auto found = duties_.find(ballot.duty);
  if (found == duties_.end()) return;
  Duty& duty = found->second;
  DutyVote vote;
  vote.incarnation = incarnation_;
  const bool free = vacant(duty) || duty.holder == ballot.candidate;
  vote.granted = free && ballot.term > duty.voted && ballot.term > duty.term;
  if (vote.granted) {
    duty.voted = ballot.term;
    duty.holder = ballot.candidate;  // until it is heard of no more, it is taken to have won
    duty.heardUs = ports_.clock.monoUs() - plan_.vacantUs + plan_.voteUs;
  }
  vote.term = std::max(duty.voted, duty.term);
  rpc_.reply(asked, vote);
}

void Election::onHeartbeat(const Asked& asked) {
  auto message = unpack<DutyHeartbeat>(asked.body);
  if (!std::holds_alternative<DutyHeartbeat>(message)) return;
  const DutyHeartbeat& heartbeat = std::get<DutyHeartbeat>(message);
  auto found = duties_.find(heartbeat.duty);
  if (found == duties_.end()) return;
  Duty& duty = found->second;
  DutyVote vote;
  vote.incarnation = incarnation_;
  vote.granted = heartbeat.term >= duty.term;
  if (vote.granted) {
    duty.failures = 0;
    if (duty.mine && heartbeat.holder != rpc_.self()) letGo(heartbeat.duty, duty);
    duty.term = heartbeat.term;
    duty.holder = heartbeat.holder;
    duty.heardUs = ports_.clock.monoUs();
  }
  vote.term = duty.term;
  rpc_.reply(asked, vote);
}

}  // namespace stonemount
