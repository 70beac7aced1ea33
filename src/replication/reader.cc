// Reads: answered at the tail, after a majority of voters has confirmed its view, and only from a chain that
// acknowledges: nothing is shown that lost disks could take back (design.md 6.6).
#include "replication/polls.h"
#include "replication/replica.h"

namespace stonemount {

namespace {
constexpr std::size_t kReadBound = 8192;
constexpr Us kHeldLookUs = 100 * kMilliUs;
constexpr Us kIdleUs = kSecondUs;
constexpr Us kConfirmLimitUs = 300 * kMilliUs;
}  // namespace

void Replica::onRead(const Asked& asked) {
  auto message = unpack<Read>(asked.body);
  if (!std::holds_alternative<Read>(message)) return;
  Read& read = std::get<Read>(message);
  if (!tail() || read.revision != memory_.view.revision) return tell(asked, ChainOutcome::kNotMine);
  if (reads_.size() >= kReadBound) return tell(asked, ChainOutcome::kBusy);
  ++counts_.reads;
  if (read.holdUs > 0) followers_.note(asked.peer, ports_.clock.monoUs());
  reads_.push_back({asked, std::move(read.query), ports_.clock.monoUs() + read.holdUs});
  readEvent_.notify();
}

Task Replica::readBatches() {
  while (state_ != ReplicaState::kBroken) {
    EventWait hear(ports_.timers, readEvent_, held_.empty() ? kIdleUs : kHeldLookUs);
    co_await hear;
    std::vector<WaitingRead> batch(std::make_move_iterator(reads_.begin()), std::make_move_iterator(reads_.end()));
    reads_.clear();
    const Us nowUs = ports_.clock.monoUs();
    std::vector<WaitingRead> stillHeld;
    for (WaitingRead& waiting : held_) {
      if (waiting.untilUs <= nowUs || !tail())
        batch.push_back(std::move(waiting));
      else
        stillHeld.push_back(std::move(waiting));
    }
    held_ = std::move(stillHeld);
    if (!tail()) followers_.reset();
    if (batch.empty()) continue;
    const View view = memory_.view;
    bool confirmed = false;
    if (tail() && verified_ && acknowledges(view)) {
      ++counts_.confirms;
      SeatPoll<VoterReply> poll(rpc_, Confirm{view.revision}, view.voters, view.majority(), kConfirmLimitUs);
      co_await poll;
      confirmed = poll.enough();
    }
    if (!confirmed || !tail() || memory_.view.revision != view.revision) {
      for (const WaitingRead& waiting : batch) tell(waiting.asked, ChainOutcome::kNotMine);
      continue;
    }
    releaseReads(std::move(batch));
  }
}

void Replica::releaseReads(std::vector<WaitingRead> batch) {
  const Us nowUs = ports_.clock.monoUs();
  followers_.refresh(nowUs);
  for (WaitingRead& waiting : batch) {
    machine_.setFollowers(followers_.sight(waiting.asked.peer));
    QueryVerdict verdict = machine_.answer(waiting.query, waiting.untilUs <= nowUs);
    if (std::holds_alternative<Hold>(verdict)) {
      held_.push_back(std::move(waiting));
      continue;
    }
    rpc_.reply(waiting.asked,
               ChainReply{ChainOutcome::kDone, memory_.view.revision, std::get<Bytes>(std::move(verdict))});
  }
}

// Something was applied: whoever waits for news is asked again, in one confirmed batch.
void Replica::wakeHeld() {
  std::vector<WaitingRead> stillHeld;
  for (WaitingRead& waiting : held_) {
    if (tail() && std::holds_alternative<Hold>(machine_.answer(waiting.query, false)))
      stillHeld.push_back(std::move(waiting));
    else
      reads_.push_back(std::move(waiting));
  }
  held_ = std::move(stillHeld);
  if (!reads_.empty()) readEvent_.notify();
}

}  // namespace stonemount
