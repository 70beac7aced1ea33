// Commands as they come in at the head: what is taken, and what is refused for want of room (design.md 5.2, 6.3).
#include <absl/strings/str_cat.h>

#include "replication/replica.h"

namespace stonemount {

namespace {
constexpr std::size_t kInboxBound = 4096;
constexpr Us kTellAgainUs = 2 * kSecondUs;  // of refusals for want of room
}  // namespace

void Replica::tell(const Asked& asked, ChainOutcome outcome) {
  rpc_.reply(asked, ChainReply{outcome, memory_.view.revision, Bytes()});
}

// Would a command that long be taken now? The ring must hold the values, the old checkpoint, the new one and the
// entries between (design.md 5.2, 5.6), and what the chain has not committed is bounded (6.3).
ChainOutcome Replica::admission(std::size_t commandBytes, bool enlarges) {
  const std::size_t backlog = uncommittedBytes();
  if (inbox_.size() >= kInboxBound || backlog >= kUncommittedBytes || (backlog >= commitWindow_.bytes() && enlarges)) {
    if (enlarges) commitWindow_.limited();
    logBacklogFull(backlog);
    return ChainOutcome::kBusy;
  }
  const std::size_t longest = machine_.takesLong() ? wal_.longestInPieces() : wal_.longestRecord();
  if (commandBytes > longest) return ChainOutcome::kTooLong;
  const std::size_t entryBytes = wal_.bytesSinceCheckpoint() + inboxBytes_ + commandBytes;
  const std::size_t bytes = imageBytes_ + entryBytes;
  const std::size_t owedValues = machine_.owedValueBytes();
  const std::size_t owed = machine_.owedBytes() - owedValues;
  // Any of the entries since the checkpoint may turn out to be values.
  const std::size_t comingValues = machine_.keepsValues() ? owedValues + entryBytes : 0;
  const bool full = bytes > bounds(0).command || (enlarges && bytes + owed > bounds(comingValues).growth);
  if (!full) return ChainOutcome::kDone;
  logRingFull(bytes);
  roomWanted_ = true;
  inboxEvent_.notify();
  return ChainOutcome::kRingFull;
}

// Who may take commands: the head of a chain that acknowledges, in the view that the client names.
std::optional<ChainOutcome> Replica::notHead(Revision revision) const {
  if (!head() || revision != memory_.view.revision) return ChainOutcome::kNotMine;
  if (!acknowledges(memory_.view)) return ChainOutcome::kTooFewCopies;
  return std::nullopt;
}

// A command that is pending is answered with its first try, one that is committed at once: the first answer may have
// come too late for its client.
bool Replica::knows(const CommandId& id, const Asked& asked) {
  if (pending_.joins(id, asked)) {
    ++counts_.repeats;
    return true;
  }
  auto known = pending_.committed(id) ? verdicts_.find(id) : verdicts_.end();
  if (known == verdicts_.end()) return false;
  ++counts_.repeats;
  rpc_.reply(asked, ChainReply{ChainOutcome::kDone, memory_.view.revision, known->second});
  return true;
}

void Replica::onSubmit(const Asked& asked) {
  auto message = unpack<Submit>(asked.body);
  if (!std::holds_alternative<Submit>(message)) return;
  Submit& submit = std::get<Submit>(message);
  incomingRoom_.came(asked.peer, submit.command.size(), ports_.clock.monoUs());
  takeCommand(asked, submit);
  answerRoomRequests();
}

void Replica::takeCommand(const Asked& asked, Submit& submit) {
  if (std::optional<ChainOutcome> refusal = notHead(submit.revision)) return tell(asked, *refusal);
  if (knows(submit.id, asked)) return;
  const ChainOutcome outcome = admission(submit.command.size(), machine_.enlarges(submit.command));
  if (outcome != ChainOutcome::kDone) return tell(asked, outcome);
  StampVerdict stamped = machine_.stamp(submit.command, sight());
  if (auto* refused = std::get_if<StampRefused>(&stamped)) {
    rpc_.reply(asked, ChainReply{ChainOutcome::kDone, memory_.view.revision, refused->verdict});
    return;
  }
  Entry entry;
  entry.index = received() + 1;
  entry.revision = memory_.view.revision;
  entry.id = submit.id;
  entry.client = asked.peer;
  entry.exchange = asked.exchange;
  entry.command = std::move(std::get<Stamped>(stamped).command);
  inboxBytes_ += entry.command.size();
  pending_.took(entry.id, entry.index);
  commitWindow_.took(entry.index, entry.command.size(), ports_.clock.monoUs());
  taken.emit(entry);
  inbox_.push_back(std::move(entry));
  inboxEvent_.notify();
}

// Once for so many refusals in a row; the first one of a spell tells that it began.
void Replica::logRingFull(std::size_t bytes) {
  const Us nowUs = ports_.clock.monoUs();
  ++counts_.ringFull;
  if (ringFullToldUs_ >= 0 && nowUs - ringFullToldUs_ < kTellAgainUs) return;
  ringFullToldUs_ = nowUs;
  logDoubt("ring_full", {{"refused", absl::StrCat(counts_.ringFull)},
                         {"state_bytes", absl::StrCat(imageBytes_)},
                         {"entry_bytes", absl::StrCat(bytes - imageBytes_)},
                         {"value_bytes", absl::StrCat(valueBytes_)},
                         {"value_files", absl::StrCat(wal_.valueFiles())},
                         {"owed_bytes", absl::StrCat(machine_.owedBytes())},
                         {"growth_bytes", absl::StrCat(bounds(machine_.owedValueBytes()).growth)}});
}

void Replica::logBacklogFull(std::size_t bytes) {
  const Us nowUs = ports_.clock.monoUs();
  ++counts_.backlogFull;
  if (backlogToldUs_ >= 0 && nowUs - backlogToldUs_ < kTellAgainUs) return;
  backlogToldUs_ = nowUs;
  logDoubt("backlog_full", {{"refused", absl::StrCat(counts_.backlogFull)},
                            {"bytes", absl::StrCat(bytes)},
                            {"inbox_bytes", absl::StrCat(inboxBytes_)},
                            {"end", absl::StrCat(end_)},
                            {"successor_end", absl::StrCat(successorPeak_)},
                            {"committed", absl::StrCat(committed_)},
                            {"commit_window", absl::StrCat(commitWindow_.bytes())},
                            {"append_window", absl::StrCat(appendWindow_.bytes())}});
}

// What the head took in this view and does not know to be committed.
std::size_t Replica::uncommittedBytes() const {
  return inboxBytes_ + recent_.bytesAfter(std::max(committed_, verifiedEnd_));
}

void Replica::onCommitted(const Asked& asked) {
  auto message = unpack<Committed>(asked.body);
  auto* told = std::get_if<Committed>(&message);
  if (told != nullptr && active() && told->revision == memory_.view.revision) noteCommitted(told->end);
}

// Committed in this view, so it may be acknowledged to whoever asked for it again (design.md 6.4).
void Replica::noteCommitted(std::uint64_t index) {
  committed_ = std::max(committed_, index);
  commitWindow_.committed(committed_, ports_.clock.monoUs());
  for (const PendingCommands::Repeat& repeat : pending_.commit(committed_)) {
    auto known = verdicts_.find(repeat.id);
    if (known != verdicts_.end())
      rpc_.reply(repeat.request, ChainReply{ChainOutcome::kDone, memory_.view.revision, known->second});
  }
  answerRoomRequests();
}

}  // namespace stonemount
