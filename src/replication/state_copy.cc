// Copying of another replica's state, part by part (design.md 6.7).
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "replication/replica.h"

namespace stonemount {

const char* copyOutcomeText(CopyOutcome outcome) {
  switch (outcome) {
    case CopyOutcome::kWhole:
      return "whole";
    case CopyOutcome::kSourceSilent:
      return "source_silent";
    case CopyOutcome::kNotWanted:
      return "not_wanted";
    case CopyOutcome::kRefused:
      return "refused";
    case CopyOutcome::kHolds:
      return "holds";
    case CopyOutcome::kStateChanged:
      return "state_changed";
    case CopyOutcome::kUnreadable:
      return "unreadable";
    case CopyOutcome::kDiskFull:
      return "disk_full";
  }
  return "unknown";
}

namespace {
constexpr Us kPartLimitUs = 600 * kMilliUs;
constexpr int kSilentParts = 12;
constexpr Us kTurnUs = 250 * kMilliUs;  // after which who waits for its turn asks again
// The link carries one while the next is asked for.
constexpr std::size_t kPartsUnderWay = 2;
constexpr std::size_t kCheckpointParts = 16;  // with each sync

// The parts that were asked for and have not come, in order.
class PartRequests {
 public:
  PartRequests(RpcEndpoint& rpc, Clock& clock, const Address& source) : rpc_(rpc), clock_(clock), source_(source) {}
  // The length is not known before the first part: until then one is asked for.
  void fill(std::size_t partBytes) {
    while (parts_.size() < kPartsUnderWay && (token_ != 0 ? offset_ < total_ : parts_.empty())) {
      const FetchState request{token_, offset_, static_cast<std::uint32_t>(partBytes)};
      auto call = std::make_unique<PendingCall>(rpc_, clock_, source_, FetchState::kKind, pack(request), kPartLimitUs);
      parts_.push_back({std::move(call), offset_});
      offset_ += partBytes;
    }
  }
  PendingCall& first() { return *parts_.front().call; }
  // The first has come, and with it all up to `received`.
  void took(const StatePart& part, std::uint64_t received) {
    token_ = part.token;
    total_ = part.total;
    parts_.pop_front();
    if (!parts_.empty() && parts_.front().offset != received) return restart(received);
    if (parts_.empty()) offset_ = received;
  }
  // What is under way is given up; it goes on behind what was received.
  void restart(std::uint64_t received) {
    parts_.clear();
    offset_ = received;
  }

 private:
  struct Part {
    std::unique_ptr<PendingCall> call;
    std::uint64_t offset = 0;
  };
  RpcEndpoint& rpc_;
  Clock& clock_;
  Address source_;
  std::deque<Part> parts_;
  std::uint64_t token_ = 0;   // 0: not known yet
  std::uint64_t offset_ = 0;  // of the next to ask for
  std::uint64_t total_ = 0;
};
}  // namespace

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

Job<bool> Replica::fetchState(Address source) {
  const Us beganUs = ports_.clock.monoUs();
  Job<CopyOutcome> copying = copyState(source);
  const CopyOutcome outcome = co_await copying;
  if (std::exchange(copying_, false))
    logEvent("copy_ended", {{"from", addressText(source)},
                            {"outcome", copyOutcomeText(outcome)},
                            {"ms", absl::StrCat((ports_.clock.monoUs() - beganUs) / kMilliUs)},
                            {"end", absl::StrCat(end_)}});
  co_return outcome == CopyOutcome::kWhole;
}

void Replica::noteCopyBegan(const Address& source) {
  if (std::exchange(copying_, true)) return;
  logEvent("copy_began", {{"from", addressText(source)},
                          {"end", absl::StrCat(end_)},
                          {"end_revision", absl::StrCat(endRevision_)},
                          {"seated", findMember(memory_.view, self_) != nullptr ? "yes" : "no"}});
}

// One snapshot at the source serves all who copy from it, one after the other, and a part that does not come in time is
// asked for again, smaller: neither another joiner nor a slow link starts the copy anew (design.md 6.7).
Job<CopyOutcome> Replica::copyState(Address source) {
  // One that is being written is finished first: dropped, its parts would take room that the next one needs. Not
  // later: between the look at what it holds, below, and the loading it must not wait for anything.
  Job<bool> writing = writeCheckpoint();
  const bool written = co_await writing;
  if (!written) co_return CopyOutcome::kDiskFull;
  if (state_ != ReplicaState::kOutside) co_return CopyOutcome::kStateChanged;
  std::optional<StateAssembly> assembly;
  PartRequests requests(rpc_, ports_.clock, source);
  int silent = 0;
  while (true) {
    if (!wanted()) co_return CopyOutcome::kNotWanted;
    const std::uint64_t received = assembly ? assembly->received() : 0;
    const std::size_t partBytes = catchUpWindow_.bytes() / kPartsUnderWay;
    requests.fill(partBytes);
    PendingCall& first = requests.first();
    const std::variant<Bytes, PeerSilent> reply = co_await first;
    if (state_ != ReplicaState::kOutside) co_return CopyOutcome::kStateChanged;
    std::optional<StatePart> part = replyOf<StatePart>(reply);
    if (!part) catchUpWindow_.lost(ports_.clock.monoUs());
    const bool sourceLeft = findSeat(memory_.view.chain, source) == nullptr;
    if (!part && (sourceLeft || ++silent >= kSilentParts)) co_return CopyOutcome::kSourceSilent;
    if (!part || part->later) {
      requests.restart(received);
      Pause pause(ports_.timers, part ? kTurnUs : 0);
      co_await pause;
      if (state_ != ReplicaState::kOutside) co_return CopyOutcome::kStateChanged;
      continue;
    }
    if (part->token == 0) co_return CopyOutcome::kRefused;
    // A holder does not give up what it holds for a snapshot that may hold less (design.md 6.5).
    if (holds() && part->revision != memory_.view.revision) co_return CopyOutcome::kHolds;
    silent = 0;
    noteCatchUp(part->bytes.size(), part->bytes.size() >= partBytes, first);
    noteCopyBegan(source);
    if (!assembly) assembly.emplace(part->stateBytes, wal_.values());
    assembly->add(part->bytes);
    requests.took(*part, assembly->received());
    if (assembly->received() >= part->total) break;
    if (part->bytes.empty()) co_return CopyOutcome::kUnreadable;
  }
  const std::size_t copiedBytes = assembly->received();
  std::optional<SavedState> state = assembly->take();
  assembly.reset();
  imageLoose_ = true;
  if (!state || !loadImage(*state, false)) co_return CopyOutcome::kUnreadable;
  state.reset();  // not held beside the next one
  beginCheckpoint();
  Job<bool> keeping = writeCheckpoint();
  const bool kept = co_await keeping;
  if (!kept) co_return CopyOutcome::kDiskFull;
  imageLoose_ = false;
  checkpointImage_ = StateImage();
  logEvent("caught_up",
           {{"from", addressText(source)}, {"bytes", absl::StrCat(copiedBytes)}, {"end", absl::StrCat(end_)}});
  co_return CopyOutcome::kWhole;
}

}  // namespace stonemount
