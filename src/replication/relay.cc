// Commands: in at the head, durable at each member in turn, answered from the tail (design.md 6.3).
#include <absl/strings/str_cat.h>

#include "replication/replica.h"

namespace stonemount {

namespace {
constexpr std::size_t kBatchEntries = 512;
constexpr std::size_t kSnapshotKeeps = 4;  // times as much is kept while someone copies a snapshot
constexpr std::size_t kVerdictsKept = 16384;
constexpr std::size_t kVerdictBytesKept = 256 << 10;  // the same at every member, or they would differ
constexpr Us kPassLimitUs = 500 * kMilliUs;
constexpr Us kSlowTryUs = 200 * kMilliUs;
constexpr Us kIdleUs = kSecondUs;  // bells ring for all that is urgent
constexpr Us kPassAgainUs = 30 * kMilliUs;
}  // namespace

std::uint64_t Replica::received() const {
  if (!inbox_.empty()) return inbox_.back().index;
  return std::max(appended_, end_);
}

void Replica::answerAppend(const Asked& asked, bool granted) {
  rpc_.reply(asked, PassedOn{granted, active(), end_, endRevision_, tail() ? end_ : committed_});
}

// Is the successor's log the beginning of ours? A joiner may have followed another member since it
// was chosen; where the logs parted it must not serve (design.md 6.5).
bool Replica::begins(const PassedOn& successor) const {
  if (successor.end > end_) return false;
  if (successor.end == end_) return successor.endRevision == endRevision_;
  return logNames().revisionAt(successor.end) == std::optional<Revision>(successor.endRevision);
}

// What came in this view and is not known to be at the successor.
std::size_t Replica::unpassedBytes() const {
  if (!active() || tail()) return inboxBytes_;
  return inboxBytes_ + recent_.bytesAfter(std::max(successorPeak_, verifiedEnd_));
}

// A tail that is not verified may hold what the chain does not.
void Replica::tellCommitted() {
  if (!tail() || !verified_ || head()) return;
  rpc_.tell(memory_.view.chain.front().address, Committed{memory_.view.revision, end_});
}

void Replica::onAppend(const Asked& asked) {
  auto message = unpack<Append>(asked.body);
  if (!std::holds_alternative<Append>(message)) return;
  Append& append = std::get<Append>(message);
  if (!active() || append.revision != memory_.view.revision) {
    ++counts_.refusedOld;
    rpc_.reply(asked, PassedOn{false, false, end_, endRevision_, committed_});
    return;
  }
  if (append.verified && !std::exchange(verified_, true)) {
    verifiedEnd_ = end_;
    readEvent_.notify();
    passEvent_.notify();
  }
  const bool full = !append.entries.empty() && unpassedBytes() >= kUncommittedBytes;
  if (append.after > received() || full) return answerAppend(asked, false);
  for (Entry& entry : append.entries) {
    if (entry.index <= received()) continue;
    STONEMOUNT_INVARIANT(entry.index == received() + 1);
    inboxBytes_ += entry.command.size();
    inbox_.push_back(std::move(entry));
  }
  if (received() == end_) return answerAppend(asked, true);
  appendsWaiting_.push_back(asked);
  inboxEvent_.notify();
}

Task Replica::write() {
  while (state_ != ReplicaState::kBroken) {
    const bool slow = wal_.worstSyncUs() > plan_.slowDiskUs / 2;
    EventWait hear(ports_.timers, inboxEvent_, slow ? kSlowTryUs : kIdleUs);
    co_await hear;
    if (inbox_.empty() && slow) {
      // A disk that was slow and has nothing to do would be called slow for ever: try it.
      Job<bool> trying = keepMemory();
      co_await trying;
    }
    Job<bool> marking = markSynced();
    co_await marking;
    tellCommitted();
    do {
      std::vector<Entry> batch;
      while (!inbox_.empty() && batch.size() < kBatchEntries) {
        batch.push_back(std::move(inbox_.front()));
        inbox_.pop_front();
        inboxBytes_ -= batch.back().command.size();
      }
      std::vector<Asked> appends;
      if (inbox_.empty()) appends.swap(appendsWaiting_);
      const Revision revision = memory_.view.revision;
      if (!fetching_) maybeCheckpoint();
      if (batch.empty() && appends.empty() && !wal_.checkpointing()) break;
      if (!batch.empty()) appended_ = batch.back().index;
      for (const Entry& entry : batch) {
        AppendResult appended = wal_.append(RecordKind::kEntry, pack(entry));
        if (std::holds_alternative<std::uint64_t>(appended)) continue;
        logOverflowed();
        co_return;
      }
      GroupCommit::Wait wait(groupCommit_);
      co_await wait;
      // Acknowledged only in the view in which it was received (design.md 6.4).
      const bool release = tail() && memory_.view.revision == revision;
      for (const Entry& entry : batch) applyEntry(entry, release);
      const bool same = active() && memory_.view.revision == revision;
      for (const Asked& asked : appends) answerAppend(asked, same);
      if (!batch.empty()) {
        passEvent_.notify();
        tellCommitted();
      }
    } while (!inbox_.empty() || wal_.checkpointing());
  }
}

void Replica::applyEntry(const Entry& entry, bool release) {
  STONEMOUNT_INVARIANT(entry.index == end_ + 1);
  auto known = verdicts_.find(entry.id);
  if (known == verdicts_.end()) {  // a retry of what was applied finds its verdict and changes nothing
    known = verdicts_.emplace(entry.id, machine_.apply(entry.command)).first;
    verdictOrder_.push_back(entry.id);
    verdictBytes_ += known->second.size();
    while (verdictOrder_.size() > 1 && (verdictOrder_.size() > kVerdictsKept || verdictBytes_ > kVerdictBytesKept)) {
      verdictBytes_ -= verdicts_.at(verdictOrder_.front()).size();
      verdicts_.erase(verdictOrder_.front());
      verdictOrder_.pop_front();
    }
  }
  const Revision lastRevision = endRevision_;
  end_ = entry.index;
  endRevision_ = entry.revision;
  ++counts_.applied;
  keepRecent(entry, lastRevision);
  if (release) {
    committed_ = end_;
    // What was taken before the chain shrank is told by the next view that acknowledges, when it comes again.
    if (acknowledges(memory_.view))
      rpc_.replyTo(entry.client, Submit::kKind, entry.exchange,
                   pack(ChainReply{ChainOutcome::kDone, memory_.view.revision, known->second}));
    wakeHeld();
  }
  applied.emit(entry, release);
}

// What is not known to be at the tail yet is kept whatever its size: whoever lacks it needs it from here.
void Replica::keepRecent(const Entry& entry, Revision before) {
  recent_.push(entry, before);
  const bool neededByOthers = state_ == ReplicaState::kSealed || (active() && !tail());
  const std::uint64_t needed = neededByOthers ? committed_ : end_;
  if (snapshotToken_ != 0)
    return recent_.trimBehind(snapshot_.end, kSnapshotKeeps, plan_.keptEntries, plan_.keptBytes, needed);
  // Whoever is to fill an empty seat may have copied from another member: it needs as much of the log here.
  const std::size_t times = seatEmpty(memory_.view) ? kSnapshotKeeps : 1;
  recent_.trim(plan_.keptEntries * times, plan_.keptBytes * times, needed);
}

// Its log parted from ours, or it lacks more than we keep: a new view will have it caughtUp.
void Replica::leaveBehind(const Address& successor, std::uint64_t itsEnd) {
  logDoubt("successor_left_behind",
           {{"peer", addressText(successor)}, {"its_end", absl::StrCat(itsEnd)}, {"end", absl::StrCat(end_)}});
  ++counts_.leftBehind;
  changeState(ReplicaState::kSealed);
  tooFarBehind_ = successor;
}

Task Replica::passOn() {
  while (state_ != ReplicaState::kBroken) {
    EventWait hear(ports_.timers, passEvent_, kIdleUs);
    co_await hear;
    while (active() && !tail()) {
      if (successorEnd_ && (successorTold_ || !verified_) && *successorEnd_ >= end_) break;
      const std::vector<Seat>& chain = memory_.view.chain;
      std::size_t place = 0;
      while (chain[place].address != self_) ++place;
      const Address successor = chain[place + 1].address;
      std::size_t sentBytes = 0;
      Append append;
      append.revision = memory_.view.revision;
      append.after = successorEnd_.value_or(0);
      append.verified = verified_ && successorEnd_ && *successorEnd_ >= verifiedEnd_;
      if (successorEnd_ && *successorEnd_ < end_) {
        if (!recent_.reachesBackTo(*successorEnd_)) {
          leaveBehind(successor, *successorEnd_);
          break;
        }
        for (std::size_t i = *successorEnd_ + 1 - recent_.firstIndex(); i < recent_.size(); ++i) {
          if (append.entries.size() >= kBatchEntries || sentBytes > appendWindow_.bytes()) break;
          sentBytes += recent_[i].command.size();
          append.entries.push_back(recent_[i]);
        }
        if (sentBytes > appendWindow_.bytes()) appendWindow_.limited();
      }
      const Us sentUs = ports_.clock.monoUs();
      Call call(rpc_, successor, Append::kKind, pack(append), kPassLimitUs);
      auto raw = co_await call;
      noteAppend(sentBytes, sentUs, std::holds_alternative<Bytes>(raw));
      if (memory_.view.revision != append.revision || !active()) continue;
      auto read = std::holds_alternative<Bytes>(raw) ? unpack<PassedOn>(std::get<Bytes>(raw))
                                                     : std::variant<PassedOn, BadBytes>(BadBytes{});
      auto* passed = std::get_if<PassedOn>(&read);
      if (passed == nullptr || !passed->sameView) {
        successorEnd_.reset();
        Pause pause(ports_.timers, kPassAgainUs);
        co_await pause;
        continue;
      }
      // Who says that it holds less than it once said in this view has lost what it had synced.
      const bool lost = passed->end < std::exchange(successorPeak_, std::max(successorPeak_, passed->end));
      if (lost || (!successorEnd_ && !begins(*passed))) {
        leaveBehind(successor, passed->end);
        break;
      }
      successorTold_ |= append.verified && passed->granted;
      successorEnd_ = passed->end;
      noteCommitted(passed->committed);
      if (passed->granted) continue;
      Pause pause(ports_.timers, kPassAgainUs);  // it has no room, or parted from us meanwhile
      co_await pause;
    }
  }
}

}  // namespace stonemount
