#include "write_ahead_log/record_writer.h"

#include "runtime/pack.h"

namespace stonemount {

void RecordWriter::goOn(std::size_t file, std::size_t offset, std::uint32_t sum) {
  file_ = file;
  offset_ = offset;
  lastSum_ = sum;
}

void RecordWriter::take(std::size_t file) {
  goOn(file, 0, 0);
  // The old first header goes, so that a scan never takes old records for new ones.
  disk_.write(file_, 0, Bytes(kRecordHeaderBytes, '\0'));
}

bool RecordWriter::fits(std::size_t bodyBytes) const {
  return file_ != kNoFile && offset_ + kRecordHeaderBytes + bodyBytes <= disk_.fileBytes();
}

std::size_t RecordWriter::write(RecordKind kind, std::uint64_t sequence, std::uint64_t synced, const Bytes& body) {
  Bytes record = encodeRecord(kind, sequence, synced, lastSum_, body);
  lastSum_ = getNumber<std::uint32_t>(record, kRecordHeaderBytes - 4);
  const std::size_t length = record.size();
  disk_.write(file_, offset_, std::move(record));
  offset_ += length;
  return length;
}

}  // namespace stonemount
