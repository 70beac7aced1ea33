// Writes records one behind the other into one file of a ring at a time, each vouching for the one before it.
#pragma once

#include "write_ahead_log/record.h"

namespace stonemount {

// Runs on the loop's thread; the disk port does the writing.
class RecordWriter {
 public:
  static constexpr std::size_t kNoFile = SIZE_MAX;

  explicit RecordWriter(Disk& disk) : disk_(disk) {}
  std::size_t file() const { return file_; }
  std::size_t offset() const { return offset_; }  // bytes of the file that are written
  // Goes on in that file, behind what a scan found in it. `sum`: checksum of its last record.
  void goOn(std::size_t file, std::size_t offset, std::uint32_t sum);
  // Begins that file anew.
  void take(std::size_t file);
  bool fits(std::size_t bodyBytes) const;
  // `synced`: the newest sequence of the log that is durable. Returns the bytes that the record takes.
  std::size_t write(RecordKind kind, std::uint64_t sequence, std::uint64_t synced, const Bytes& body);

 private:
  Disk& disk_;
  std::size_t file_ = kNoFile;
  std::size_t offset_ = 0;
  std::uint32_t lastSum_ = 0;  // checksum of the record before, in this file
};

}  // namespace stonemount
