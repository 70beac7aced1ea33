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
  // True once a whole checkpoint, and all after it, is there.
  bool add(std::vector<Record> records) {
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
      if (record->kind == RecordKind::kCheckpointEnd && !ended_) {
        ended_ = true;
        from_ = getNumber<std::uint64_t>(record->body, 0);
        sum_ = getNumber<std::uint32_t>(record->body, 8);
      } else if (record->kind == RecordKind::kCheckpointPart) {
        if (ended_ && getNumber<std::uint64_t>(record->body, 0) == from_) parts_.push_back(std::move(record->body));
      } else if (record->kind != RecordKind::kMark) {
        kept_.push_back(std::move(*record));
      }
    }
    if (!ended_ || records.front().sequence > from_) return false;
    for (auto part = parts_.rbegin(); part != parts_.rend(); ++part) checkpoint_ += part->substr(8);
    parts_.clear();
    whole_ = sum_ == checksum(checkpoint_);
    if (whole_) return true;
    ended_ = false;  // an older one may be whole
    checkpoint_.clear();
    return false;
  }
  bool whole() const { return whole_; }
  std::uint64_t from() const { return whole_ ? from_ : 0; }
  LogContent take() {
    LogContent content;
    content.hasCheckpoint = whole_;
    content.checkpoint = std::move(checkpoint_);
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
  std::vector<Record> kept_;  // newest first
  std::vector<Bytes> parts_;
  Bytes checkpoint_;
  bool ended_ = false;
  bool whole_ = false;
  std::uint64_t from_ = 0;
  std::uint32_t sum_ = 0;
};
}  // namespace

// The records of one file, from its first on. Behind a damaged one others may stand: they are not read,
// but they tell what had been synced (design.md 5.5). Nor is one read that does not name the one before it:
// a loss of power may have kept what was written behind a write that was lost, and when that place is
// written anew, what an earlier life left behind it must not come back to life.
WriteAheadLog::Scan WriteAheadLog::scanFile(const Bytes& bytes, std::uint64_t& synced) const {
  Scan scan;
  const std::string_view view(bytes);
  while (std::optional<FoundRecord> found = recordAt(view, scan.end)) {
    if (!scan.records.empty() && found->record.sequence != scan.records.back().sequence + 1) break;
    if (found->before && *found->before != scan.sum) break;
    synced = std::max(synced, found->synced);
    scan.end += found->length;
    scan.sum = found->sum;
    scan.records.push_back(std::move(found->record));
  }
  const char low = static_cast<char>(kRecordMagic >> 8 & 255);
  for (std::size_t from = bytes.find(low, scan.end + 1); from != Bytes::npos; from = bytes.find(low, from + 1))
    if (std::optional<FoundRecord> found = recordAt(view, from - 1)) synced = std::max(synced, found->synced);
  return scan;
}

// Which files hold records, by the sequence of their first. Why a head tells:
// - A file is filled from its beginning, and a sync covers all that was written before it. If any record
//   of a file was ever synced, its first one was, and that is no zero. So a head that is all zero belongs
//   to a file in which nothing was synced: it is new, or its first write was lost or torn away with the
//   power, and what may stand behind was never sworn to. It need not be read.
// - A first record whose checksum holds tells its sequence truly. Sequences run on over the files, so one
//   that begins before another holds nothing newer than that one's first.
// - Any other head may be a torn write, an old file that was just turned, or damage: that file is read
//   whole, for records that did not fit into the head and for what they say was synced.
std::variant<std::vector<WriteAheadLog::Head>, DiskFailure> WriteAheadLog::readHeads(std::uint64_t& synced) {
  std::vector<Head> heads;
  for (std::size_t i = 0; i < disk_.fileCount(); ++i) {
    auto read = disk_.readHead(i, std::min(kHeadBytes, disk_.fileBytes()));
    if (std::holds_alternative<DiskFailure>(read)) return DiskFailure{};
    const Bytes& bytes = std::get<Bytes>(read);
    if (bytes.find_first_not_of('\0') == Bytes::npos) continue;
    if (std::optional<FoundRecord> found = recordAt(bytes, 0); found && found->before.value_or(0) == 0) {
      heads.push_back({i, found->record.sequence});
      continue;
    }
    auto whole = disk_.read(i);
    if (std::holds_alternative<DiskFailure>(whole)) return DiskFailure{};
    const Scan scan = scanFile(std::get<Bytes>(whole), synced);
    if (!scan.records.empty()) heads.push_back({i, scan.records.front().sequence});
  }
  std::sort(heads.begin(), heads.end(), ByFirst());
  return heads;
}

OpenResult WriteAheadLog::open() {
  spans_.assign(disk_.fileCount(), FileSpan());
  std::uint64_t synced = 0;  // the newest sequence that any record says was synced
  auto read = readHeads(synced);
  if (std::holds_alternative<DiskFailure>(read)) return DiskFailure{};
  const std::vector<Head>& heads = std::get<std::vector<Head>>(read);
  if (heads.empty() && synced > 0) return LogDamaged{synced};
  if (heads.empty()) return LogEmpty{};
  for (std::size_t i = 0; i + 1 < heads.size(); ++i) spans_[heads[i].file] = {heads[i].first, heads[i + 1].first - 1};
  Gathering gathering;
  std::uint64_t last = 0, next = 0;  // the newest record, and the first of the file read before
  for (auto head = heads.rbegin(); head != heads.rend(); ++head) {
    auto bytes = disk_.read(head->file);
    if (std::holds_alternative<DiskFailure>(bytes)) return DiskFailure{};
    Scan scan = scanFile(std::get<Bytes>(bytes), synced);
    if (scan.records.empty()) return DiskFailure{};  // it read otherwise a moment ago
    if (last == 0) {
      file_ = head->file;
      offset_ = scan.end;
      lastSum_ = scan.sum;
      last = scan.records.back().sequence;
      spans_[file_] = {head->first, last};
    } else if (scan.records.back().sequence + 1 != next) {
      break;  // a gap: synced records are gone, and those before it are of no use
    }
    next = head->first;
    if (gathering.add(std::move(scan.records))) break;
  }
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
