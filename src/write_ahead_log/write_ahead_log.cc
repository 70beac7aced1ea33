#include "write_ahead_log/write_ahead_log.h"

#include <algorithm>

namespace stonemount {

namespace {
constexpr std::size_t kHeaderBytes = kRecordHeaderBytes;
constexpr std::size_t kPartBytes = 64 * 1024;
constexpr Us kRetryUs = 100 * kMilliUs;  // after a sync that failed
}  // namespace

WriteAheadLog::WriteAheadLog(Disk& disk, Timers& timers, Clock& clock)
    : disk_(disk), timers_(timers), clock_(clock), spans_(disk.fileCount()) {}

void WriteAheadLog::wipe() {
  for (std::size_t i = 0; i < disk_.fileCount(); ++i) disk_.write(i, 0, Bytes(disk_.fileBytes(), '\0'));
  spans_.assign(disk_.fileCount(), FileSpan());
  file_ = offset_ = 0;
  keepFrom_ = nextSequence_ = 1;
  synced_ = lastSum_ = 0;
  checkpointOpen_ = false;
}

std::variant<Done, RingFull> WriteAheadLog::turnFile() {
  const std::size_t next = (file_ + 1) % spans_.size();
  const bool needed = spans_[next].last >= keepFrom_ && spans_[next].last != 0;
  if (needed) return RingFull{};
  file_ = next;
  offset_ = 0;
  lastSum_ = 0;
  spans_[file_] = FileSpan();
  // The old first header goes, so that a scan never takes old records for new ones.
  disk_.write(file_, 0, Bytes(kHeaderBytes, '\0'));
  return Done{};
}

AppendResult WriteAheadLog::append(RecordKind kind, const Bytes& body) {
  if (body.size() <= disk_.fileBytes() / 2) return appendOne(kind, body);
  if (body.size() > ringBytes() / 4) return RecordTooLong{};
  const std::uint64_t first = nextSequence_;
  const std::size_t pieceBytes = std::min(kPartBytes, disk_.fileBytes() / 4);
  std::size_t at = 0;
  for (; body.size() - at > pieceBytes; at += pieceBytes) {
    AppendResult put = appendOne(RecordKind::kPiece, body.substr(at, pieceBytes));
    if (!std::holds_alternative<std::uint64_t>(put)) return put;
  }
  Bytes last;
  putNumber(last, first);
  putNumber(last, static_cast<std::uint8_t>(kind));
  return appendOne(RecordKind::kJoined, last + body.substr(at));
}

AppendResult WriteAheadLog::appendOne(RecordKind kind, const Bytes& body) {
  const std::size_t length = kHeaderBytes + body.size();
  if (length > disk_.fileBytes()) return RecordTooLong{};
  if (offset_ + length > disk_.fileBytes()) {
    auto turned = turnFile();
    if (std::holds_alternative<RingFull>(turned)) return RingFull{};
  }
  const std::uint64_t sequence = nextSequence_++;
  Bytes record = encodeRecord(kind, sequence, synced_, lastSum_, body);
  lastSum_ = getNumber<std::uint32_t>(record, kHeaderBytes - 4);
  disk_.write(file_, offset_, std::move(record));
  offset_ += length;
  // Its own parts are not what came since it: counted, they would ask for the next one at once, for ever,
  // where the state is above an eighth of the ring, and refuse all commands at a sixth.
  const bool part = kind == RecordKind::kCheckpointPart || kind == RecordKind::kCheckpointEnd;
  sinceCheckpoint_ += part ? 0 : length;
  lastKind_ = kind;
  if (spans_[file_].first == 0) spans_[file_].first = sequence;
  spans_[file_].last = sequence;
  return sequence;
}

bool WriteAheadLog::wantsCheckpoint(std::size_t stateBytes, std::size_t boundBytes) const {
  const std::size_t ring = ringBytes();
  const std::size_t room = boundBytes > stateBytes ? (boundBytes - stateBytes) / 2 : 0;
  return sinceCheckpoint_ > std::clamp(room, ring / 64, ring / 8);
}

void WriteAheadLog::beginCheckpoint(std::shared_ptr<const Bytes> state) {
  STONEMOUNT_INVARIANT(!checkpointOpen_);
  checkpointOpen_ = true;
  checkpointEnded_ = false;
  checkpointFrom_ = nextSequence_;
  checkpointState_ = std::move(state);
  checkpointAt_ = 0;
  checkpointSum_ = checksum("");
  sinceCheckpoint_ = 0;
}

bool WriteAheadLog::pumpCheckpoint(std::size_t parts) {
  if (!checkpointOpen_ || checkpointEnded_) return true;
  for (std::size_t i = 0; i < parts; ++i) {
    Bytes body;
    putNumber(body, checkpointFrom_);
    if (checkpointAt_ < checkpointState_->size()) {
      body += checkpointState_->substr(checkpointAt_, std::min(kPartBytes, disk_.fileBytes() / 4));
      const std::size_t taken = body.size() - 8;
      if (!std::holds_alternative<std::uint64_t>(append(RecordKind::kCheckpointPart, body))) return false;
      checkpointAt_ += taken;
      checkpointSum_ = checksum(std::string_view(body).substr(8), checkpointSum_);
      continue;
    }
    putNumber(body, checkpointSum_);
    AppendResult ended = append(RecordKind::kCheckpointEnd, body);
    if (!std::holds_alternative<std::uint64_t>(ended)) return false;
    checkpointLast_ = std::get<std::uint64_t>(ended);
    checkpointEnded_ = true;
    return true;
  }
  return true;
}

Us WriteAheadLog::stalledUs() const { return syncing_ ? clock_.monoUs() - syncBeganUs_ : 0; }

namespace {
class SyncWait : public SyncDone {
 public:
  SyncWait(Disk& disk) : disk_(disk) {}
  ~SyncWait() override { disk_.forget(*this); }
  bool await_ready() const { return false; }
  void await_suspend(std::coroutine_handle<> handle) {
    handle_ = handle;
    disk_.sync(*this);
  }
  bool await_resume() const { return !failed; }
  void proceed() override { handle_.resume(); }

 private:
  Disk& disk_;
  std::coroutine_handle<> handle_;
};
}  // namespace

Job<Done> WriteAheadLog::syncUntilDurable() {
  bool failedBefore = false;
  while (true) {
    SyncWait wait(disk_);
    const bool durable = co_await wait;
    if (durable) break;
    ++failedSyncs;
    if (!std::exchange(failedBefore, true)) logDoubt("disk_fails", {});
    Pause pause(timers_, kRetryUs);
    co_await pause;
  }
  if (failedBefore) logEvent("disk_works_again", {});
  co_return Done{};
}

Job<Done> WriteAheadLog::sync() {
  STONEMOUNT_INVARIANT(!syncing_);
  const std::uint64_t upTo = nextSequence_ - 1;
  syncing_ = true;
  syncBeganUs_ = clock_.monoUs();
  ++syncs;
  Job<Done> syncing = syncUntilDurable();
  co_await syncing;
  syncing_ = false;
  const Us tookUs = clock_.monoUs() - syncBeganUs_;
  slowUs_ = std::max(tookUs, slowUs_ - slowUs_ / 8);  // a slow sync is remembered a while
  synced_ = upTo;
  if (checkpointOpen_ && checkpointEnded_ && checkpointLast_ <= upTo) {
    checkpointOpen_ = false;
    keepFrom_ = checkpointFrom_;
    checkpointState_.reset();
  }
  co_return Done{};
}

}  // namespace stonemount
