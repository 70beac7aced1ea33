// Opening a ring: what is on the disk, read from the newest file back to the newest whole checkpoint, so
// that neither time nor memory grow with the ring (design.md 5.6).
#include <algorithm>

#include "write_ahead_log/write_ahead_log.h"

namespace stonemount {

namespace {
// A checkpoint's part fits, and so most files are known by their head alone.
constexpr std::size_t kHeadBytes = 96 << 10;

struct ByFirst {
  template <class Head>
  bool operator()(const Head& left, const Head& right) const {
    return left.first < right.first;
  }
};

// What is gathered on the way back. Parts count only for the checkpoint whose end was found.
class Gathering {
 public:
  Gathering(ValueLog& valueLog, std::vector<ValueLog::FoundFile> valueFiles)
      : valueLog_(valueLog), valueFiles_(std::move(valueFiles)) {}
  // True once a whole checkpoint, with all values that it names, and all after it, is there.
  bool add(std::vector<Record> records) {
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
      if (record->kind == RecordKind::kCheckpointEnd && !ended_) {
        ended_ = true;
        from_ = getNumber<std::uint64_t>(record->body, 0);
        sum_ = getNumber<std::uint32_t>(record->body, 8);
        const bool names = record->body.size() >= kEndBytes + sizeof(std::uint32_t);
        values_ = names ? getNumber<std::uint32_t>(record->body, kEndBytes) : 0;
      } else if (record->kind == RecordKind::kCheckpointPart) {
        if (ended_ && getNumber<std::uint64_t>(record->body, 0) == from_) parts_.push_back(std::move(record->body));
      } else if (record->kind != RecordKind::kMark) {
        kept_.push_back(std::move(*record));
      }
    }
    if (!ended_ || records.front().sequence > from_) return false;
    for (auto part = parts_.rbegin(); part != parts_.rend(); ++part) checkpoint_ += part->substr(8);
    parts_.clear();
    whole_ = sum_ == checksum(checkpoint_) && takeValues();
    if (whole_ || diskFailed_) return true;
    ended_ = false;  // an older one may be whole
    checkpoint_.clear();
    return false;
  }
  bool whole() const { return whole_; }
  bool diskFailed() const { return diskFailed_; }
  std::uint64_t valuesSynced() const { return valuesSynced_; }
  std::uint64_t from() const { return whole_ ? from_ : 0; }
  LogContent take() {
    LogContent content;
    content.hasCheckpoint = whole_;
    content.checkpoint = std::move(checkpoint_);
    content.values = std::move(sharedValues_);
    std::vector<Record> pieces;  // since the last whole record
    for (auto record = kept_.rbegin(); record != kept_.rend(); ++record) {
      if (record->sequence < from()) continue;
      if (record->kind == RecordKind::kPiece) {
        pieces.push_back(std::move(*record));
        continue;
      }
      content.records.push_back(record->kind == RecordKind::kJoined ? join(*record, pieces) : std::move(*record));
      pieces.clear();
    }
    return content;
  }

 private:
  // Pieces of an earlier life, whose last record was lost, may stand before it: they are not of it.
  static Record join(const Record& last, const std::vector<Record>& pieces) {
    const auto first = getNumber<std::uint64_t>(last.body, 0);
    Record whole{static_cast<RecordKind>(getNumber<std::uint8_t>(last.body, 8)), last.sequence, Bytes()};
    for (const Record& piece : pieces)
      if (piece.sequence >= first) whole.body += piece.body;
    whole.body += last.body.substr(9);
    return whole;
  }
  // The table of values stands behind the state.
  bool takeValues() {
    const std::size_t tableBytes = values_ * ValueLog::kTableEntryBytes;
    if (tableBytes > checkpoint_.size()) return false;
    const std::size_t stateBytes = checkpoint_.size() - tableBytes;
    const std::string_view table = std::string_view(checkpoint_).substr(stateBytes);
    const ValueLog::Recovery recovery = valueLog_.recover(valueFiles_, table, sharedValues_, valuesSynced_);
    diskFailed_ = recovery == ValueLog::Recovery::kDiskFailure;
    if (recovery != ValueLog::Recovery::kWhole) return false;
    checkpoint_.resize(stateBytes);
    return true;
  }
  static constexpr std::size_t kEndBytes = sizeof(std::uint64_t) + sizeof(std::uint32_t);
  ValueLog& valueLog_;
  std::vector<ValueLog::FoundFile> valueFiles_;
  std::vector<SharedBytes> sharedValues_;
  std::size_t values_ = 0;  // that the checkpoint names
  std::uint64_t valuesSynced_ = 0;
  bool diskFailed_ = false;
  std::vector<Record> kept_;  // newest first
  std::vector<Bytes> parts_;
  Bytes checkpoint_;
  bool ended_ = false;
  bool whole_ = false;
  std::uint64_t from_ = 0;
  std::uint32_t sum_ = 0;
};
}  // namespace

// Which files hold records, by the sequence of their first. Why a head tells:
// - A file is filled from its beginning, and a sync covers all that was written before it. If any record
//   of a file was ever synced, its first one was, and that is no zero. So a head that is all zero belongs
//   to a file in which nothing was synced: it is new, or its first write was lost or torn away with the
//   power, and what may stand behind was never sworn to. It need not be read.
// - A first record whose checksum holds tells its sequence truly. Sequences run on over the files, so one
//   that begins before another holds nothing newer than that one's first.
// - Any other head may be a torn write, an old file that was just turned, or damage: that file is read
//   whole, for records that did not fit into the head and for what they say was synced.
// Files of values are told apart by the kind of their first record.
std::variant<WriteAheadLog::FoundFiles, DiskFailure> WriteAheadLog::readHeads(std::uint64_t& synced) {
  FoundFiles files;
  const auto note = [&files](std::size_t file, const Record& first) {
    if (first.kind == RecordKind::kValue)
      files.values.push_back({file, first.sequence});
    else
      files.log.push_back({file, first.sequence});
  };
  for (std::size_t i = 0; i < disk_.fileCount(); ++i) {
    auto read = disk_.readHead(i, std::min(kHeadBytes, disk_.fileBytes()));
    if (std::holds_alternative<DiskFailure>(read)) return DiskFailure{};
    const Bytes& bytes = std::get<Bytes>(read);
    if (bytes.find_first_not_of('\0') == Bytes::npos) continue;
    if (std::optional<FoundRecord> found = recordAt(bytes, 0); found && found->before.value_or(0) == 0) {
      note(i, found->record);
      continue;
    }
    auto whole = disk_.read(i);
    if (std::holds_alternative<DiskFailure>(whole)) return DiskFailure{};
    const FileScan scan = scanRecords(std::get<Bytes>(whole), synced);
    if (!scan.records.empty()) note(i, scan.records.front());
  }
  std::sort(files.log.begin(), files.log.end(), ByFirst());
  return files;
}

OpenResult WriteAheadLog::open() {
  spans_.assign(disk_.fileCount(), FileSpan());
  std::uint64_t synced = 0;  // the newest sequence that any record says was synced
  auto read = readHeads(synced);
  if (std::holds_alternative<DiskFailure>(read)) return DiskFailure{};
  FoundFiles& files = std::get<FoundFiles>(read);
  const std::vector<Head>& heads = files.log;
  // Values are written after the first records of the log.
  if (heads.empty() && (synced > 0 || !files.values.empty())) return LogDamaged{synced};
  if (heads.empty()) return LogEmpty{};
  for (std::size_t i = 0; i + 1 < heads.size(); ++i) spans_[heads[i].file] = {heads[i].first, heads[i + 1].first - 1};
  values_.wipe();
  Gathering gathering(values_, std::move(files.values));
  std::uint64_t last = 0, next = 0;  // the newest record, and the first of the file read before
  for (auto head = heads.rbegin(); head != heads.rend(); ++head) {
    auto bytes = disk_.read(head->file);
    if (std::holds_alternative<DiskFailure>(bytes)) return DiskFailure{};
    FileScan scan = scanRecords(std::get<Bytes>(bytes), synced);
    if (scan.records.empty()) return DiskFailure{};  // it read otherwise a moment ago
    if (last == 0) {
      writer_.goOn(head->file, scan.end, scan.sum);
      last = scan.records.back().sequence;
      spans_[head->file] = {head->first, last};
    } else if (scan.records.back().sequence + 1 != next) {
      break;  // a gap: synced records are gone, and those before it are of no use
    }
    next = head->first;
    if (gathering.add(std::move(scan.records))) break;
  }
  if (gathering.diskFailed()) return DiskFailure{};
  synced = std::max(synced, gathering.valuesSynced());
  // A torn end is what was never synced. Anything else that is missing was sworn to.
  if (last < synced) return LogDamaged{last};
  if (!gathering.whole() && next != 1) return LogDamaged{next};
  nextSequence_ = last + 1;
  keepFrom_ = gathering.whole() ? gathering.from() : 1;
  LogContent content = gathering.take();
  // What came since the checkpoint counts on: else a member that starts often never writes one, and its ring fills.
  sinceCheckpoint_ = 0;
  for (const Record& record : content.records) sinceCheckpoint_ += kRecordHeaderBytes + record.body.size();
  return content;
}

}  // namespace stonemount
