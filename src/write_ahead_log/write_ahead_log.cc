#include "write_ahead_log/write_ahead_log.h"

#include <algorithm>

namespace stonemount {

namespace {
constexpr std::size_t kPartBytes = 64 * 1024;
constexpr Us kRetryUs = 100 * kMilliUs;  // after a sync that failed
}  // namespace

WriteAheadLog::WriteAheadLog(Disk& disk, Timers& timers, Clock& clock)
    : disk_(disk), timers_(timers), clock_(clock), values_(disk), spans_(disk.fileCount()), writer_(disk) {
  writer_.goOn(0, 0, 0);
}

void WriteAheadLog::wipe() {
  for (std::size_t i = 0; i < disk_.fileCount(); ++i) disk_.write(i, 0, Bytes(disk_.fileBytes(), '\0'));
  spans_.assign(disk_.fileCount(), FileSpan());
  writer_.goOn(0, 0, 0);
  keepFrom_ = nextSequence_ = 1;
  synced_ = 0;
  checkpointOpen_ = false;
  values_.wipe();
}

bool WriteAheadLog::freeFile(std::size_t file) const {
  const bool needed = spans_[file].last >= keepFrom_ && spans_[file].last != 0;
  return !needed && !values_.uses(file);
}

std::optional<std::size_t> WriteAheadLog::nextFreeFile() const {
  for (std::size_t step = 1; step < spans_.size(); ++step)
    if (const std::size_t file = (writer_.file() + step) % spans_.size(); freeFile(file)) return file;
  return std::nullopt;
}

std::size_t WriteAheadLog::freeFiles() const {
  std::size_t count = 0;
  for (std::size_t file = 0; file < spans_.size(); ++file) count += file != writer_.file() && freeFile(file) ? 1 : 0;
  return count;
}

std::size_t WriteAheadLog::valueRoomBytes(std::size_t owedBytes, std::size_t spareFiles) const {
  const std::size_t files = values_.filesUsed();
  if (files == 0 && owedBytes == 0) return 0;
  const std::size_t newBytes = owedBytes - std::min(owedBytes, values_.roomInFile());
  return (files + spareFiles) * disk_.fileBytes() + newBytes;
}

std::variant<Done, RingFull> WriteAheadLog::turnFile() {
  const std::optional<std::size_t> next = nextFreeFile();
  if (!next) return RingFull{};
  spans_[*next] = FileSpan();
  writer_.take(*next);
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
  if (kRecordHeaderBytes + body.size() > disk_.fileBytes()) return RecordTooLong{};
  if (!writer_.fits(body.size())) {
    auto turned = turnFile();
    if (std::holds_alternative<RingFull>(turned)) return RingFull{};
  }
  const std::uint64_t sequence = nextSequence_++;
  const std::size_t length = writer_.write(kind, sequence, synced_, body);
  // Its own parts are not what came since it: counted, they would ask for the next one at once, for ever,
  // where the state is above an eighth of the ring, and refuse all commands at a sixth.
  const bool part = kind == RecordKind::kCheckpointPart || kind == RecordKind::kCheckpointEnd;
  sinceCheckpoint_ += part ? 0 : length;
  lastKind_ = kind;
  FileSpan& span = spans_[writer_.file()];
  if (span.first == 0) span.first = sequence;
  span.last = sequence;
  return sequence;
}

bool WriteAheadLog::wantsCheckpoint(std::size_t stateBytes, std::size_t boundBytes) const {
  const std::size_t ring = ringBytes();
  const std::size_t room = boundBytes > stateBytes ? (boundBytes - stateBytes) / 2 : 0;
  return sinceCheckpoint_ > std::clamp(room, ring / 64, ring / 8);
}

void WriteAheadLog::beginCheckpoint(std::shared_ptr<const SavedState> state) {
  STONEMOUNT_INVARIANT(!checkpointOpen_);
  checkpointOpen_ = true;
  checkpointEnded_ = false;
  checkpointFrom_ = nextSequence_;
  checkpointState_ = std::move(state);
  checkpointTable_.clear();
  checkpointAt_ = 0;
  checkpointSum_ = checksum("");
  sinceCheckpoint_ = 0;
  values_.begin(checkpointState_->values, freeFiles());
}

bool WriteAheadLog::writeValue() {
  ValueLog::Step step = values_.writeNext(synced_);
  if (step == ValueLog::Step::kNeedsFile) {
    const std::optional<std::size_t> file = nextFreeFile();
    if (!file) return false;
    spans_[*file] = FileSpan();
    values_.takeFile(*file);
    step = values_.writeNext(synced_);
  }
  return step == ValueLog::Step::kWritten;
}

// The state, and behind it the table of its values.
bool WriteAheadLog::writeStatePart() {
  const Bytes& state = checkpointState_->bytes;
  const bool inState = checkpointAt_ < state.size();
  const Bytes& source = inState ? state : checkpointTable_;
  const std::size_t at = inState ? checkpointAt_ : checkpointAt_ - state.size();
  Bytes body;
  putNumber(body, checkpointFrom_);
  const std::string_view part = std::string_view(source).substr(at, std::min(kPartBytes, disk_.fileBytes() / 4));
  body += part;
  if (!std::holds_alternative<std::uint64_t>(append(RecordKind::kCheckpointPart, body))) return false;
  checkpointAt_ += part.size();
  checkpointSum_ = checksum(part, checkpointSum_);
  return true;
}

// A state without values is ended as it was before there were any.
bool WriteAheadLog::writeCheckpointEnd() {
  Bytes body;
  putNumber(body, checkpointFrom_);
  putNumber(body, checkpointSum_);
  const std::size_t values = checkpointState_->values.size();
  if (values > 0) putNumber(body, static_cast<std::uint32_t>(values));
  const AppendResult ended = append(RecordKind::kCheckpointEnd, body);
  if (!std::holds_alternative<std::uint64_t>(ended)) return false;
  checkpointLast_ = std::get<std::uint64_t>(ended);
  checkpointEnded_ = true;
  return true;
}

bool WriteAheadLog::pumpCheckpoint(std::size_t parts) {
  if (!checkpointOpen_ || checkpointEnded_) return true;
  std::size_t valueBytes = 0;
  while (!values_.allWritten() && valueBytes < parts * kPartBytes) {
    valueBytes += values_.nextBytes();
    if (!writeValue()) return false;
  }
  if (!values_.allWritten()) return true;
  if (checkpointTable_.empty()) checkpointTable_ = values_.table();
  const std::size_t total = checkpointState_->bytes.size() + checkpointTable_.size();
  for (std::size_t i = valueBytes / kPartBytes; i < parts && checkpointAt_ < total; ++i)
    if (!writeStatePart()) return false;
  if (checkpointAt_ < total) return true;
  return writeCheckpointEnd();
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
    checkpointTable_.clear();
    values_.keepBegun();
  }
  co_return Done{};
}

}  // namespace stonemount
