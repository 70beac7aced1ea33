// Long values of checkpoints, written once and named by every later checkpoint that holds them (design.md 5.6). Their
// files come from the same ring as the log's. Runs on the loop of the write-ahead log that owns it.
#pragma once

#include <absl/container/flat_hash_map.h>

#include "runtime/shared_bytes.h"
#include "write_ahead_log/record_writer.h"

namespace stonemount {

class ValueLog {
 public:
  explicit ValueLog(Disk& disk);
  void wipe();

  // Does the file hold values that a checkpoint names, or is it written to? Any other is free to the log.
  bool uses(std::size_t file) const;
  std::size_t filesUsed() const;
  // Left in the file that is being filled.
  std::size_t roomInFile() const { return writer_.file() == kNoFile ? 0 : disk_.fileBytes() - writer_.offset(); }
  // Of those that the newest durable checkpoint names.
  std::vector<SharedBytes> values() const;

  // A checkpoint begins: what it names and no file holds yet is to be written, and also what lies in files that are
  // mostly dead, so that those become free with it. `freeFiles`: that neither the log nor this one uses.
  void begin(const std::vector<SharedBytes>& values, std::size_t freeFiles);
  bool allWritten() const { return pending_.empty(); }
  enum class Step : std::uint8_t { kWritten, kNeedsFile, kTooLong };
  // Writes the next value. `synced`: the log's newest sequence that is durable.
  Step writeNext(std::uint64_t synced);
  std::size_t nextBytes() const { return pending_.back().size(); }
  void takeFile(std::size_t file) { writer_.take(file); }
  // The sequences of the checkpoint's values, in its order; all are written.
  Bytes table() const;
  // The checkpoint that was begun is durable.
  void keepBegun();

  // Opening: files whose first record is a value, by the sequence of that record.
  struct FoundFile {
    std::size_t file = 0;
    std::uint64_t first = 0;
  };
  // A file cannot be read now; it is asked for again later.
  enum class Recovery : std::uint8_t { kWhole, kMissing, kDiskFailure };
  // The values that a table names; kMissing: not all of them are there.
  Recovery recover(std::vector<FoundFile> found, std::string_view table, std::vector<SharedBytes>& values,
                   std::uint64_t& synced);
  static constexpr std::size_t kTableEntryBytes = 8;

 private:
  struct Place {
    SharedBytes value;  // kept, so that its identity stays its own
    std::uint64_t sequence = 0;
    std::size_t file = 0;
  };
  using Places = absl::flat_hash_map<const Bytes*, Place>;
  static constexpr std::size_t kNoFile = RecordWriter::kNoFile;
  std::vector<bool> filesToEmpty(const std::vector<SharedBytes>& values, std::size_t freeFiles) const;
  void countFiles();
  Disk& disk_;
  Places durable_;                       // of the newest durable checkpoint
  Places begun_;                         // of the one that is being written
  std::vector<std::uint32_t> placesIn_;  // of both, by file
  std::vector<SharedBytes> order_;       // of the one that is being written
  std::vector<SharedBytes> pending_;     // to be written, the last first
  RecordWriter writer_;
  std::uint64_t nextSequence_ = 1;
};

}  // namespace stonemount
