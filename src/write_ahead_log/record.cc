// The bytes of one record (design.md 5.1).
#include "write_ahead_log/record.h"

#include <algorithm>

namespace stonemount {

namespace {
// magic and format revision | body length | sequence | what was synced when it was written | checksum of
// the record before it | kind | checksum of all else. Revision 2 does not tell of the record before, and
// revision 1 not of what was synced; both are read still.
constexpr std::uint32_t kMagic = kRecordMagic;
constexpr std::uint32_t kMagicTwo = 0x53444D02;
constexpr std::uint32_t kMagicOne = 0x53444D01;
constexpr std::size_t kHeaderBytesTwo = 4 + 4 + 8 + 8 + 1 + 4;
constexpr std::size_t kHeaderBytesOne = 4 + 4 + 8 + 1 + 4;

}  // namespace

Bytes encodeRecord(RecordKind kind, std::uint64_t sequence, std::uint64_t synced, std::uint32_t before,
                   const Bytes& body) {
  Bytes out;
  out.reserve(kRecordHeaderBytes + body.size());
  putNumber(out, kMagic);
  putNumber(out, static_cast<std::uint32_t>(body.size()));
  putNumber(out, sequence);
  putNumber(out, synced);
  putNumber(out, before);
  putNumber(out, static_cast<std::uint8_t>(kind));
  putNumber(out, checksum(body, checksum(out)));
  out += body;
  return out;
}
std::optional<FoundRecord> recordAt(std::string_view view, std::size_t at) {
  if (at + kHeaderBytesOne > view.size()) return std::nullopt;
  const std::uint32_t magic = getNumber<std::uint32_t>(view, at);
  if (magic != kMagic && magic != kMagicTwo && magic != kMagicOne) return std::nullopt;
  const std::size_t header = magic == kMagic      ? kRecordHeaderBytes
                             : magic == kMagicTwo ? kHeaderBytesTwo
                                                  : kHeaderBytesOne;
  const std::size_t length = getNumber<std::uint32_t>(view, at + 4);
  if (length > view.size() || at + header + length > view.size()) return std::nullopt;
  const std::string_view body = view.substr(at + header, length);
  FoundRecord found;
  found.sum = getNumber<std::uint32_t>(view, at + header - 4);
  if (found.sum != checksum(body, checksum(view.substr(at, header - 4)))) return std::nullopt;
  found.record.sequence = getNumber<std::uint64_t>(view, at + 8);
  found.synced = magic != kMagicOne ? getNumber<std::uint64_t>(view, at + 16) : 0;
  if (magic == kMagic) found.before = getNumber<std::uint32_t>(view, at + 24);
  found.record.kind = static_cast<RecordKind>(getNumber<std::uint8_t>(view, at + header - 5));
  found.record.body = Bytes(body);
  found.length = header + length;
  return found;
}

// Behind a damaged record others may stand: they are not read, but they tell what had been synced (design.md 5.5). Nor
// is one read that does not name the one before it: a loss of power may have kept what was written behind a write that
// was lost, and when that place is written anew, what an earlier life left behind it must not come back to life.
FileScan scanRecords(std::string_view bytes, std::uint64_t& synced) {
  FileScan scan;
  while (std::optional<FoundRecord> found = recordAt(bytes, scan.end)) {
    if (!scan.records.empty() && found->record.sequence != scan.records.back().sequence + 1) break;
    if (found->before && *found->before != scan.sum) break;
    synced = std::max(synced, found->synced);
    scan.end += found->length;
    scan.sum = found->sum;
    scan.records.push_back(std::move(found->record));
  }
  const char low = static_cast<char>(kRecordMagic >> 8 & 255);
  for (std::size_t from = bytes.find(low, scan.end + 1); from != std::string_view::npos;
       from = bytes.find(low, from + 1))
    if (std::optional<FoundRecord> found = recordAt(bytes, from - 1)) synced = std::max(synced, found->synced);
  return scan;
}

}  // namespace stonemount
