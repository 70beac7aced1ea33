// The wal: records in a ring of preallocated files (design.md 5).
#pragma once

#include "runtime/await.h"
#include "runtime/pack.h"
#include "write_ahead_log/record.h"
#include "write_ahead_log/value_log.h"

namespace stonemount {

struct RingFull {};
struct RecordTooLong {};
using AppendResult = std::variant<std::uint64_t, RingFull, RecordTooLong>;

struct LogEmpty {};  // a fresh or wiped disk
struct LogDamaged {
  std::uint64_t atSequence = 0;
};  // synced records are missing or altered
struct LogContent {
  Bytes checkpoint;                 // empty: none yet
  std::vector<SharedBytes> values;  // that it names
  bool hasCheckpoint = false;
  std::vector<Record> records;  // entries and metas after the checkpoint began
};
using OpenResult = std::variant<LogContent, LogEmpty, LogDamaged, DiskFailure>;

class WriteAheadLog {
 public:
  WriteAheadLog(Disk& disk, Timers& timers, Clock& clock);
  OpenResult open();
  void wipe();  // starts anew after damage; what was there is gone
  // One that no single record should hold is written in pieces, at once and in a row; it is read back as one.
  AppendResult append(RecordKind kind, const Bytes& body);
  // All that was appended before the call is durable when it returns. A disk that fails, or takes no more bytes,
  // is asked again until it obeys: nothing is lost meanwhile, and `stalledUs` tells others of it (design.md 5.4).
  Job<Done> sync();
  // Writes state in parts, its values first; what lies before it may be written over once it is synced. A value that
  // an earlier checkpoint wrote is not written again.
  void beginCheckpoint(Bytes state) { beginCheckpoint(std::make_shared<const SavedState>(SavedState{state, {}})); }
  void beginCheckpoint(std::shared_ptr<const SavedState> state);
  bool pumpCheckpoint(std::size_t parts);  // false: the ring is too small for the state
  // Nothing that was synced last is told of by a later record yet: a mark would do it.
  bool wantsMark() const { return lastKind_ != RecordKind::kMark && synced_ + 1 == nextSequence_; }
  bool checkpointing() const { return checkpointOpen_; }
  std::size_t bytesSinceCheckpoint() const { return sinceCheckpoint_; }
  // Is it time for one, for a state that took so many bytes when it was last written? At an eighth of the ring in
  // entries; sooner where state and entries would reach `boundBytes`, at which the head refuses (design.md 5.2).
  bool wantsCheckpoint(std::size_t stateBytes, std::size_t boundBytes) const;
  // The longest body that is written as one record, and the longest that should be written at all.
  std::size_t longestRecord() const { return disk_.fileBytes() / 2; }
  std::size_t longestInPieces() const { return std::max(longestRecord(), ringBytes() / 8); }
  std::size_t ringBytes() const { return disk_.fileCount() * disk_.fileBytes(); }
  // Of the ring, what values take and keep from the log, where so many bytes of them are yet to be written and so many
  // files are to spare; 0 where there are none.
  std::size_t valueRoomBytes(std::size_t owedBytes, std::size_t spareFiles) const;
  // The values that the newest durable checkpoint names.
  std::vector<SharedBytes> values() const { return values_.values(); }
  std::size_t valueFiles() const { return values_.filesUsed(); }
  // How long the sync now under way has taken: a stalled disk shows here (design.md 5.4).
  Us stalledUs() const;
  Us worstSyncUs() const { return slowUs_; }
  std::uint64_t syncs = 0;
  std::uint64_t failedSyncs = 0;

 private:
  struct FileSpan {
    std::uint64_t first = 0;  // 0: nothing needed in it
    std::uint64_t last = 0;
  };
  struct Head {
    std::size_t file = 0;
    std::uint64_t first = 0;  // sequence of its first record
  };
  struct FoundFiles {
    std::vector<Head> log;  // by first sequence
    std::vector<ValueLog::FoundFile> values;
  };
  std::variant<FoundFiles, DiskFailure> readHeads(std::uint64_t& synced);
  bool freeFile(std::size_t file) const;
  std::optional<std::size_t> nextFreeFile() const;
  std::size_t freeFiles() const;
  std::variant<Done, RingFull> turnFile();
  bool writeValue();
  bool writeStatePart();
  bool writeCheckpointEnd();
  Job<Done> syncUntilDurable();
  AppendResult appendOne(RecordKind kind, const Bytes& body);
  Disk& disk_;
  Timers& timers_;
  Clock& clock_;
  ValueLog values_;
  std::vector<FileSpan> spans_;  // of the log
  RecordWriter writer_;          // of the log
  std::uint64_t nextSequence_ = 1;
  std::uint64_t synced_ = 0;  // the newest sequence that is
  RecordKind lastKind_ = RecordKind::kMark;
  std::uint64_t keepFrom_ = 1;  // oldest sequence still needed
  bool checkpointOpen_ = false;
  bool checkpointEnded_ = false;
  std::uint64_t checkpointFrom_ = 0;
  std::uint64_t checkpointLast_ = 0;
  std::shared_ptr<const SavedState> checkpointState_;
  Bytes checkpointTable_;  // of its values, once all of them are written; stands behind the state
  std::size_t checkpointAt_ = 0;
  std::uint32_t checkpointSum_ = 0;  // of the parts so far
  std::size_t sinceCheckpoint_ = 0;
  bool syncing_ = false;
  Us syncBeganUs_ = 0;
  Us slowUs_ = 0;
  Event syncedEvent_;
};

}  // namespace stonemount
