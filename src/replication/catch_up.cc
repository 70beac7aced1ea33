// Catch-up: a replica outside the chain follows the log of the tail, and copies its state first where it has to
// (design.md 6.7).
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "replication/replica.h"

namespace stonemount {

namespace {
constexpr Us kFollowUs = 50 * kMilliUs;
constexpr Us kIdleUs = kSecondUs;
constexpr Us kInvitedUs = 5 * kSecondUs;  // another manager may take over meanwhile
constexpr Us kFetchLimitUs = 600 * kMilliUs;
constexpr std::size_t kShortOfWindowBytes = 4 << 10;  // a part ends with a whole entry or value
constexpr Us kTellAgainUs = kSecondUs;
constexpr Us kSnapshotUs = 6 * kSecondUs;      // a snapshot that nobody asks for goes
constexpr std::uint64_t kNearEnough = 64;      // entries
constexpr Us kNearUs = 300 * kMilliUs;         // that the rest may take to copy: the chain is fenced meanwhile
constexpr std::size_t kNearBytes = 128 << 10;  // so much is near whatever the pace
constexpr Us kNearPatienceUs = 5 * kSecondUs;  // after so long within kNearEnough, the chain waits for the rest

std::size_t commandBytes(const std::vector<Entry>& entries) {
  std::size_t bytes = 0;
  for (const Entry& entry : entries) bytes += entry.command.size();
  return bytes;
}
}  // namespace

bool Replica::invited() const { return ports_.clock.monoUs() < invitedUntilUs_; }

bool Replica::wanted() const { return findMember(memory_.view, self_) != nullptr || invited(); }

// Without a seat it copies only while somebody wants it in: a machine to spare costs nobody anything.
void Replica::onInvite(const Asked&) {
  if (!invited()) catchUpEvent_.notify();
  invitedUntilUs_ = ports_.clock.monoUs() + kInvitedUs;
}

Task Replica::followTail() {
  Address lastSource;
  while (state_ != ReplicaState::kBroken) {
    const bool follows = state_ == ReplicaState::kOutside && wanted();
    if (!follows) caughtUp_ &= state_ != ReplicaState::kOutside;
    EventWait hear(ports_.timers, catchUpEvent_, follows ? kFollowUs : kIdleUs);
    co_await hear;
    const Us nowUs = ports_.clock.monoUs();
    if (snapshotToken_ != 0 && nowUs - snapshotUsedUs_ > kSnapshotUs) {
      snapshotToken_ = 0;
      snapshot_ = StateImage();
      snapshotStream_ = StateStream();
    }
    if (state_ != ReplicaState::kOutside || fetching_ || !wanted() || appended_ > end_ || nowUs < heldUntilUs_)
      continue;
    if (memory_.view.chain.empty()) continue;
    const Address source = memory_.view.chain.back().address;
    if (source != std::exchange(lastSource, source)) catchUpWindow_ = CongestionWindow(kCatchUpWindow);  // another path
    fetching_ = true;
    Job<bool> following = fetchLog(source, 0);
    bool near = co_await following;
    // Who caught up to join the next view, which may be chosen at any time, keeps what it holds until then.
    const bool keeps = memory_.heldRevision == memory_.view.revision;
    if (!near && state_ == ReplicaState::kOutside && fetchRefused_ && !keeps) {
      caughtUp_ = false;
      Job<bool> copying = fetchState(source);
      near = co_await copying;
    }
    fetching_ = false;
  }
}

// A part came, as long as it was asked for (`full`) or shorter.
void Replica::noteCatchUp(std::size_t bytes, bool full, const PendingCall& call) {
  if (bytes == 0) return;
  if (full) catchUpWindow_.limited();
  catchUpWindow_.delivered(bytes, call.sentUs(), call.repliedUs());
}

// Is what is missing soon copied, at the pace of this part of the log? A chain that is fenced for a joiner waits for
// it. One whose link is slower than the chain's never comes near under load: it is waited for after a while.
bool Replica::nearEnd(const LogPart& part, Us tookUs) {
  const Us nowUs = ports_.clock.monoUs();
  if (end_ + kNearEnough < part.end) {
    nearSinceUs_ = -1;
    return false;
  }
  if (nearSinceUs_ < 0) nearSinceUs_ = nowUs;
  const std::size_t bytes = commandBytes(part.entries);
  const double share = static_cast<double>(kNearUs) / static_cast<double>(std::max<Us>(tookUs, 1));
  const std::size_t soonBytes = std::max(kNearBytes, static_cast<std::size_t>(static_cast<double>(bytes) * share));
  return part.bytesLeft <= soonBytes || nowUs - nearSinceUs_ > kNearPatienceUs;
}

// Once a second while it is behind: how far, and what the last part took until it was applied.
void Replica::logFollowing(const LogPart& part, Us tookUs) {
  const Us nowUs = ports_.clock.monoUs();
  if (part.bytesLeft == 0 || nowUs - followingToldUs_ < kTellAgainUs) return;
  followingToldUs_ = nowUs;
  logEvent("following", {{"end", absl::StrCat(end_)},
                         {"source_end", absl::StrCat(part.end)},
                         {"bytes_left", absl::StrCat(part.bytesLeft)},
                         {"part_bytes", absl::StrCat(commandBytes(part.entries))},
                         {"part_ms", absl::StrCat(tookUs / kMilliUs)}});
}

std::unique_ptr<PendingCall> Replica::askForLog(const Address& source, std::uint64_t after, Revision afterRevision) {
  const FetchLog request{memory_.view.revision, after, afterRevision,
                         static_cast<std::uint32_t>(catchUpWindow_.bytes())};
  return std::make_unique<PendingCall>(rpc_, ports_.clock, source, FetchLog::kKind, pack(request), kFetchLimitUs);
}

// Hands them to the disk. False: the ring cannot take them.
bool Replica::keepEntries(const std::vector<Entry>& entries) {
  for (const Entry& entry : entries) {
    STONEMOUNT_INVARIANT(entry.index == std::max(appended_, end_) + 1);
    AppendResult kept = wal_.append(RecordKind::kEntry, pack(entry));
    if (!std::holds_alternative<std::uint64_t>(kept)) {
      logOverflowed();
      return false;
    }
    appended_ = entry.index;
  }
  return true;
}

// Follows the source's log; the next part comes while one is kept and applied. True once near its end, or past `upTo`
// where that is given.
Job<bool> Replica::fetchLog(Address source, std::uint64_t upTo) {
  fetchRefused_ = false;
  std::unique_ptr<PendingCall> call;
  Us fromUs = ports_.clock.monoUs();
  while (state_ == ReplicaState::kOutside && (upTo != 0 || wanted())) {
    if (!call) call = askForLog(source, end_, endRevision_);
    PendingCall& asked = *call;
    const std::variant<Bytes, PeerSilent> reply = co_await asked;
    if (state_ != ReplicaState::kOutside) co_return false;
    const std::optional<LogPart> part = replyOf<LogPart>(reply);
    if (!part) {
      catchUpWindow_.lost(ports_.clock.monoUs());
      co_return false;
    }
    const std::size_t bytes = commandBytes(part->entries);
    noteCatchUp(bytes, bytes + kShortOfWindowBytes >= catchUpWindow_.bytes(), asked);
    if (!part->granted) {
      fetchRefused_ = part->parted;
      co_return false;
    }
    call.reset();
    if (part->bytesLeft > 0) call = askForLog(source, part->entries.back().index, part->entries.back().revision);
    if (!keepEntries(part->entries)) co_return false;
    if (!part->entries.empty()) {
      GroupCommit::Wait wait(groupCommit_);
      co_await wait;
      for (const Entry& entry : part->entries) applyEntry(entry, false);
      maybeCheckpoint();  // never between handing entries to the disk and applying them: it would miss them
    }
    const Us nowUs = ports_.clock.monoUs();
    const Us tookUs = nowUs - std::exchange(fromUs, nowUs);
    logFollowing(*part, tookUs);
    const std::uint64_t goal = upTo != 0 ? upTo : part->end;
    if (upTo == 0) caughtUp_ |= nearEnd(*part, tookUs);
    if (end_ >= goal) co_return true;
  }
  co_return false;
}

void Replica::onCatchUp(const Asked& asked) {
  auto message = unpack<CatchUp>(asked.body);
  if (std::holds_alternative<CatchUp>(message)) room_.start(catchUp(asked, std::get<CatchUp>(message)));
}

Task Replica::catchUp(Asked asked, CatchUp request) {
  FenceReply verdict;
  verdict.incarnation = memory_.incarnation;
  while (fetching_) {
    Pause pause(ports_.timers, 5 * kMilliUs);
    co_await pause;
  }
  if (state_ == ReplicaState::kOutside && caughtUp_ && memory_.view.revision == request.revision && appended_ <= end_) {
    fetching_ = true;
    Job<bool> following = fetchLog(request.source, request.end);
    verdict.granted = co_await following;
    fetching_ = false;
  }
  if (verdict.granted && memory_.heldRevision != request.revision) {
    memory_.heldRevision = request.revision;
    Job<bool> keeping = keepMemory();
    const bool durable = co_await keeping;
    verdict.granted = durable;
  }
  verdict.granted &= memory_.view.revision == request.revision && state_ == ReplicaState::kOutside;
  verdict.end = end_;
  rpc_.reply(asked, verdict);
}

}  // namespace stonemount
