// One record of the wal, as bytes (design.md 5.1).
#pragma once

#include "stonemount.h"

namespace stonemount {

// A body too long for one record is written as pieces and a last record that joins them (joinedBody): read without
// that last one, they are nothing.
enum class RecordKind : std::uint8_t {
  kEntry = 1,
  kMeta = 2,
  kCheckpointPart = 3,
  kCheckpointEnd = 4,
  kMark = 5,
  kPiece = 6,
  kJoined = 7,
  kValue = 8  // of the value log, whose sequences are its own
};

struct Record {
  RecordKind kind = RecordKind::kEntry;
  std::uint64_t sequence = 0;
  Bytes body;
};

constexpr std::uint32_t kRecordMagic = 0x53444D03;
constexpr std::size_t kRecordHeaderBytes = 4 + 4 + 8 + 8 + 4 + 1 + 4;

template <class Number>
void putNumber(Bytes& out, Number number) {
  out.append(reinterpret_cast<const char*>(&number), sizeof(number));
}
template <class Number>
Number getNumber(std::string_view bytes, std::size_t at) {
  Number number;
  __builtin_memcpy(&number, bytes.data() + at, sizeof(number));
  return number;
}

// `before` is the checksum of the record before it in its file, 0 for the first.
Bytes encodeRecord(RecordKind kind, std::uint64_t sequence, std::uint64_t synced, std::uint32_t before,
                   const Bytes& body);
struct FoundRecord {
  Record record;
  std::uint64_t synced = 0;
  std::optional<std::uint32_t> before;  // absent: of a format that does not tell
  std::uint32_t sum = 0;
  std::size_t length = 0;
};
// One whole record at this place, if there is one.
std::optional<FoundRecord> recordAt(std::string_view view, std::size_t at);

// What a file holds from its beginning on.
struct FileScan {
  std::vector<Record> records;
  std::size_t end = 0;    // behind the last of them
  std::uint32_t sum = 0;  // its checksum
};
// `synced`: raised to the newest sequence that any record of the file says was synced.
FileScan scanRecords(std::string_view bytes, std::uint64_t& synced);

}  // namespace stonemount
