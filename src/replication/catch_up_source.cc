// The side from which others copy: a snapshot of the state, and the log behind it (design.md 6.7).
#include <algorithm>

#include "replication/replica.h"

namespace stonemount {

namespace {
constexpr std::size_t kFreshLogBytes = 1 << 20;
constexpr std::size_t kFreshShare = 4;  // of the snapshot, that the log behind it may be long
}  // namespace

// A snapshot is good as long as the log that follows it is kept, and is not long against it: who copies has to follow
// that log besides. And it must hold all that was acknowledged before this view.
bool Replica::snapshotServes() const {
  const bool follows = snapshot_.end == end_ || recent_.reachesBackTo(snapshot_.end);
  const std::size_t logBytes = recent_.bytesAfter(snapshot_.end);
  const bool fresh = logBytes < std::max(kFreshLogBytes, snapshotStream_.size() / kFreshShare);
  return snapshotToken_ != 0 && follows && fresh && snapshot_.revision == memory_.view.revision;
}

// While a checkpoint is being written, its image serves joiners too: a second copy of the whole state beside it is
// never made. False: that one is of an earlier view, so the joiner has to come again once it is written.
bool Replica::takeSnapshot() {
  const bool shares = wal_.checkpointing() && checkpointImage_.state != nullptr;
  if (shares && checkpointImage_.revision != memory_.view.revision) return false;
  if (shares && checkpointImage_.end != end_ && !recent_.reachesBackTo(checkpointImage_.end)) return false;
  snapshot_ =
      shares ? checkpointImage_ : StateImage{std::make_shared<const SavedState>(image()), end_, memory_.view.revision};
  snapshotStream_ = StateStream(snapshot_.state);
  snapshotToken_ = ports_.chance.next() | 1;
  ++counts_.snapshots;
  return true;
}

void Replica::onFetchState(const Asked& asked) {
  auto message = unpack<FetchState>(asked.body);
  if (!std::holds_alternative<FetchState>(message)) return;
  const FetchState& request = std::get<FetchState>(message);
  StatePart part;
  const bool seated = holdsSeat(memory_.view.chain, self_, memory_.incarnation);
  const bool last = seated && memory_.view.chain.back().address == self_;
  const Us nowUs = ports_.clock.monoUs();
  // A copy under way goes on where another has become the tail: what it holds is the beginning of all later logs.
  const bool goesOn = seated && snapshotToken_ != 0 && request.token == snapshotToken_;
  const bool mine = last || goesOn;
  part.later = mine && !copyQueue_.admits(asked.peer, findMember(memory_.view, asked.peer) != nullptr, nowUs);
  if (part.later) return rpc_.reply(asked, part);
  const bool serves = goesOn || (last && request.token == 0 && (snapshotServes() || takeSnapshot()));
  if (serves && request.offset <= snapshotStream_.size()) {
    snapshotUsedUs_ = nowUs;
    part.token = snapshotToken_;
    part.total = snapshotStream_.size();
    part.stateBytes = snapshotStream_.stateBytes();
    part.end = snapshot_.end;
    part.revision = snapshot_.revision;
    part.bytes = snapshotStream_.part(request.offset, std::min<std::size_t>(request.most, kCatchUpPartBytes));
  }
  rpc_.reply(asked, part);
}

void Replica::onFetchLog(const Asked& asked) {
  auto message = unpack<FetchLog>(asked.body);
  if (!std::holds_alternative<FetchLog>(message)) return;
  const FetchLog& request = std::get<FetchLog>(message);
  LogPart part;
  part.end = end_;
  const bool mine =
      holdsSeat(memory_.view.chain, self_, memory_.incarnation) && request.revision == memory_.view.revision;
  const bool holds = mine && (tail() || state_ == ReplicaState::kSealed);
  if (!holds) {
    part.end = 0;  // ask again later; nothing is said about the log
  } else if (request.after == end_) {
    part.granted = request.afterRevision == endRevision_;
  } else if (request.after < end_ && recent_.reachesBackTo(request.after)) {
    const std::size_t next = request.after + 1 - recent_.firstIndex();
    part.granted = (next == 0 ? recent_.revisionBefore() : recent_[next - 1].revision) == request.afterRevision;
    std::size_t bytes = 0;
    for (std::size_t i = next;
         part.granted && i < recent_.size() && bytes < std::min<std::size_t>(request.most, kCatchUpPartBytes); ++i) {
      bytes += recent_[i].command.size();
      part.entries.push_back(recent_[i]);
    }
    part.bytesLeft = recent_.bytesAfter(part.entries.empty() ? request.after : part.entries.back().index);
    // Who copied the snapshot and is still behind it needs the log that is kept for it.
    if (snapshotToken_ != 0 && request.after >= snapshot_.end) snapshotUsedUs_ = ports_.clock.monoUs();
  }
  if (part.granted) copyQueue_.follows(asked.peer, recent_.bytesAfter(request.after), ports_.clock.monoUs());
  part.parted = holds && !part.granted;
  rpc_.reply(asked, part);
}

}  // namespace stonemount
