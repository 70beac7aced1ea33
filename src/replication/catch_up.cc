// Refill: a member outside the chain copies the tail, state first and then the log (design.md 6.7).
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "replication/replica.h"

namespace stonemount {

namespace {
constexpr Us kFollowUs = 50 * kMilliUs;
constexpr Us kIdleUs = kSecondUs;
constexpr Us kInvitedUs = 2 * kSecondUs;
constexpr Us kFetchLimitUs = 600 * kMilliUs;
constexpr std::size_t kLeastBytes = 8 << 10;
constexpr int kSilentParts = 12;
constexpr std::size_t kCheckpointParts = 16;   // with each sync
constexpr Us kSnapshotUs = 6 * kSecondUs;      // a snapshot that nobody asks for goes
constexpr std::uint64_t kNearEnough = 64;      // entries
constexpr Us kNearUs = 300 * kMilliUs;         // that the rest may take to copy: the chain is fenced meanwhile
constexpr std::size_t kNearBytes = 128 << 10;  // so much is near whatever the pace
constexpr Us kNearPatienceUs = 5 * kSecondUs;  // after so long within kNearEnough, the chain waits for the rest
}  // namespace

bool Replica::invited() const { return ports_.clock.monoUs() < invitedUntilUs_; }

// Without a seat it copies only while somebody wants it in: a machine to spare costs nobody anything.
void Replica::onInvite(const Asked&) {
  if (!invited()) catchUpEvent_.notify();
  invitedUntilUs_ = ports_.clock.monoUs() + kInvitedUs;
}

Task Replica::followTail() {
  while (state_ != ReplicaState::kBroken) {
    const bool follows = state_ == ReplicaState::kOutside && (findMember(memory_.view, self_) != nullptr || invited());
    if (!follows) caughtUp_ &= state_ != ReplicaState::kOutside;
    EventWait hear(ports_.timers, catchUpEvent_, follows ? kFollowUs : kIdleUs);
    co_await hear;
    const Us nowUs = ports_.clock.monoUs();
    if (snapshotToken_ != 0 && nowUs - snapshotUsedUs_ > kSnapshotUs) {
      snapshotToken_ = 0;
      snapshot_ = StateImage();
      snapshotStream_ = StateStream();
    }
    if (fetchBytes_ == 0) fetchBytes_ = kCatchUpPartBytes;
    if (state_ != ReplicaState::kOutside || fetching_ || (findMember(memory_.view, self_) == nullptr && !invited()) ||
        appended_ > end_ || nowUs < heldUntilUs_)
      continue;
    if (memory_.view.chain.empty()) continue;
    const Address source = memory_.view.chain.back().address;
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

// To the end of the one that is open, if any; false: the ring cannot take it.
Job<bool> Replica::writeCheckpoint() {
  while (wal_.checkpointing()) {
    if (!wal_.pumpCheckpoint(kCheckpointParts)) {
      logOverflowed();
      co_return false;
    }
    GroupCommit::Wait wait(groupCommit_);
    co_await wait;
  }
  co_return true;
}

// One snapshot at the source serves all who copy from it, and a part that does not come in time is asked
// for again, smaller: neither another joiner nor a slow link starts the copy anew (design.md 6.7).
Job<bool> Replica::fetchState(Address source) {
  // One that is being written is finished first: dropped, its parts would take room that the next one needs. Not
  // later: between the look at what it holds, below, and the loading it must not wait for anything.
  Job<bool> writing = writeCheckpoint();
  const bool written = co_await writing;
  if (!written || state_ != ReplicaState::kOutside) co_return false;
  std::optional<StateAssembly> assembly;
  FetchState request;
  int silent = 0;
  while (true) {
    request.most = static_cast<std::uint32_t>(fetchBytes_);
    Job<std::variant<StatePart, PeerSilent>> job = ask<StatePart>(rpc_, source, request, kFetchLimitUs);
    std::variant<StatePart, PeerSilent> verdict = co_await job;
    if (state_ != ReplicaState::kOutside) co_return false;
    auto* part = std::get_if<StatePart>(&verdict);
    fetchBytes_ =
        part != nullptr ? std::min(fetchBytes_ * 2, kCatchUpPartBytes) : std::max(fetchBytes_ / 2, kLeastBytes);
    if (part == nullptr && ++silent < kSilentParts) continue;
    if (part == nullptr || part->token == 0) co_return false;
    // A holder does not give up what it holds for a snapshot that may hold less (design.md 6.5).
    if (holds() && part->revision != memory_.view.revision) co_return false;
    silent = 0;
    if (!assembly) assembly.emplace(part->stateBytes, wal_.values());
    assembly->add(part->bytes);
    request.token = part->token;
    request.offset = assembly->received();
    if (assembly->received() >= part->total) break;
    if (part->bytes.empty()) co_return false;
  }
  const std::size_t copiedBytes = assembly->received();
  std::optional<SavedState> state = assembly->take();
  assembly.reset();
  imageLoose_ = true;
  if (!state || !loadImage(*state, false)) co_return false;
  state.reset();  // not held beside the next one
  beginCheckpoint();
  Job<bool> keeping = writeCheckpoint();
  const bool kept = co_await keeping;
  if (!kept) co_return false;
  imageLoose_ = false;
  checkpointImage_ = StateImage();
  logEvent("caught_up",
           {{"from", addressText(source)}, {"bytes", absl::StrCat(copiedBytes)}, {"end", absl::StrCat(end_)}});
  co_return true;
}

// Is what is missing soon copied, at the pace of this part of the log? A chain that is fenced for a joiner waits for
// it. One whose link is slower than the chain's never comes near under load: it is waited for after a while.
bool Replica::nearEnd(const LogPart& part, Us askedUs) {
  const Us nowUs = ports_.clock.monoUs();
  if (end_ + kNearEnough < part.end) {
    nearSinceUs_ = -1;
    return false;
  }
  if (nearSinceUs_ < 0) nearSinceUs_ = nowUs;
  std::size_t bytes = 0;
  for (const Entry& entry : part.entries) bytes += entry.command.size();
  const double share = static_cast<double>(kNearUs) / static_cast<double>(std::max<Us>(nowUs - askedUs, 1));
  const std::size_t soonBytes = std::max(kNearBytes, static_cast<std::size_t>(static_cast<double>(bytes) * share));
  return part.bytesLeft <= soonBytes || nowUs - nearSinceUs_ > kNearPatienceUs;
}

// Follows the source's log. True once near its end, or past `upTo` where that is given.
Job<bool> Replica::fetchLog(Address source, std::uint64_t upTo) {
  fetchRefused_ = false;
  while (state_ == ReplicaState::kOutside) {
    FetchLog request{memory_.view.revision, end_, endRevision_, static_cast<std::uint32_t>(fetchBytes_)};
    const Us askedUs = ports_.clock.monoUs();
    Job<std::variant<LogPart, PeerSilent>> job = ask<LogPart>(rpc_, source, request, kFetchLimitUs);
    std::variant<LogPart, PeerSilent> verdict = co_await job;
    auto* part = std::get_if<LogPart>(&verdict);
    if (state_ != ReplicaState::kOutside) co_return false;
    fetchBytes_ =
        part != nullptr ? std::min(fetchBytes_ * 2, kCatchUpPartBytes) : std::max(fetchBytes_ / 2, kLeastBytes);
    if (part == nullptr) co_return false;
    if (!part->granted) {
      fetchRefused_ = part->parted;
      co_return false;
    }
    for (const Entry& entry : part->entries) {
      STONEMOUNT_INVARIANT(entry.index == std::max(appended_, end_) + 1);
      AppendResult kept = wal_.append(RecordKind::kEntry, pack(entry));
      if (!std::holds_alternative<std::uint64_t>(kept)) {
        logOverflowed();
        co_return false;
      }
      appended_ = entry.index;
    }
    if (!part->entries.empty()) {
      GroupCommit::Wait wait(groupCommit_);
      co_await wait;
      for (const Entry& entry : part->entries) applyEntry(entry, false);
      maybeCheckpoint();  // never between handing entries to the disk and applying them: it would miss them
    }
    const std::uint64_t goal = upTo != 0 ? upTo : part->end;
    if (upTo == 0) caughtUp_ |= nearEnd(*part, askedUs);
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
