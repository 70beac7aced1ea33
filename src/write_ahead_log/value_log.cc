#include "write_ahead_log/value_log.h"

#include <algorithm>

namespace stonemount {

namespace {
// Files are emptied for their dead part once that comes to so many files, and as many at the most at a time.
constexpr std::size_t kFilesToEmpty = 2;
// A file is not worth emptying while more than three quarters of it live.
constexpr std::size_t kLiveQuarters = 3;
// Left to the log when values are moved.
constexpr std::size_t kFilesLeftFree = 2;

std::size_t recordBytes(const SharedBytes& value) { return kRecordHeaderBytes + value.size(); }
}  // namespace

ValueLog::ValueLog(Disk& disk) : disk_(disk), placesIn_(disk.fileCount()), writer_(disk) {}

void ValueLog::wipe() {
  durable_.clear();
  begun_.clear();
  order_.clear();
  pending_.clear();
  placesIn_.assign(disk_.fileCount(), 0);
  writer_.goOn(kNoFile, 0, 0);
  nextSequence_ = 1;
}

bool ValueLog::uses(std::size_t file) const { return file == writer_.file() || placesIn_[file] > 0; }

std::size_t ValueLog::filesUsed() const {
  std::size_t used = 0;
  for (std::size_t file = 0; file < placesIn_.size(); ++file) used += uses(file) ? 1 : 0;
  return used;
}

std::vector<SharedBytes> ValueLog::values() const {
  std::vector<SharedBytes> values;
  values.reserve(durable_.size());
  for (const auto& [identity, place] : durable_) values.push_back(place.value);
  return values;
}

// The files with the least that lives, if what is dead in all would fill some, and what must move finds room.
std::vector<bool> ValueLog::filesToEmpty(const std::vector<SharedBytes>& values, std::size_t freeFiles) const {
  const std::size_t fileBytes = disk_.fileBytes();
  std::vector<bool> chosen(placesIn_.size(), false);
  std::vector<std::size_t> liveBytes(placesIn_.size(), 0);
  std::size_t newBytes = 0;
  for (const SharedBytes& value : values) {
    auto place = durable_.find(value.identity());
    (place != durable_.end() ? liveBytes[place->second.file] : newBytes) += recordBytes(value);
  }
  std::vector<std::size_t> files;
  std::size_t deadBytes = 0;
  for (std::size_t file = 0; file < liveBytes.size(); ++file) {
    if (file == writer_.file() || liveBytes[file] == 0) continue;
    deadBytes += fileBytes - std::min(fileBytes, liveBytes[file]);
    if (liveBytes[file] * 4 <= fileBytes * kLiveQuarters) files.push_back(file);
  }
  if (deadBytes < kFilesToEmpty * fileBytes || freeFiles <= kFilesLeftFree) return chosen;
  std::sort(files.begin(), files.end(), [&](std::size_t left, std::size_t right) {
    return std::pair(liveBytes[left], left) < std::pair(liveBytes[right], right);
  });
  std::size_t movedBytes = newBytes;
  for (std::size_t i = 0; i < std::min(files.size(), kFilesToEmpty); ++i) {
    movedBytes += liveBytes[files[i]];
    if (movedBytes > (freeFiles - kFilesLeftFree) * fileBytes) break;
    chosen[files[i]] = true;
  }
  return chosen;
}

void ValueLog::begin(const std::vector<SharedBytes>& values, std::size_t freeFiles) {
  const std::vector<bool> emptied = filesToEmpty(values, freeFiles);
  order_ = values;
  begun_.clear();
  begun_.reserve(values.size());
  pending_.clear();
  for (const SharedBytes& value : values) {
    auto place = durable_.find(value.identity());
    const bool stays = place != durable_.end() && !emptied[place->second.file];
    const bool first = begun_.emplace(value.identity(), stays ? place->second : Place{value}).second;
    if (first && !stays) pending_.push_back(value);
  }
  std::reverse(pending_.begin(), pending_.end());
  countFiles();
}

void ValueLog::countFiles() {
  placesIn_.assign(placesIn_.size(), 0);
  for (const Places* places : {&durable_, &begun_})
    for (const auto& [identity, place] : *places)
      if (place.sequence != 0) ++placesIn_[place.file];
}

ValueLog::Step ValueLog::writeNext(std::uint64_t synced) {
  const SharedBytes value = pending_.back();
  if (recordBytes(value) > disk_.fileBytes()) return Step::kTooLong;
  if (!writer_.fits(value.size())) return Step::kNeedsFile;
  pending_.pop_back();
  const std::uint64_t sequence = nextSequence_++;
  writer_.write(RecordKind::kValue, sequence, synced, value.get());
  begun_[value.identity()] = Place{value, sequence, writer_.file()};
  ++placesIn_[writer_.file()];
  return Step::kWritten;
}

Bytes ValueLog::table() const {
  Bytes table;
  table.reserve(order_.size() * kTableEntryBytes);
  for (const SharedBytes& value : order_) putNumber(table, begun_.at(value.identity()).sequence);
  return table;
}

void ValueLog::keepBegun() {
  durable_ = std::exchange(begun_, {});
  order_.clear();
  countFiles();
  // An empty one that was never filled is the log's again.
  if (durable_.empty()) writer_.goOn(kNoFile, 0, 0);
}

// Files are filled one after the other, so what a file holds lies between its first sequence and the next one's; only
// those with named values are read, and the newest, for the sequence to go on with.
ValueLog::Recovery ValueLog::recover(std::vector<FoundFile> found, std::string_view table,
                                     std::vector<SharedBytes>& values, std::uint64_t& synced) {
  wipe();
  values.clear();
  const auto byFirst = [](const FoundFile& left, const FoundFile& right) { return left.first < right.first; };
  std::sort(found.begin(), found.end(), byFirst);
  std::vector<std::uint64_t> named;
  for (std::size_t at = 0; at + kTableEntryBytes <= table.size(); at += kTableEntryBytes)
    named.push_back(getNumber<std::uint64_t>(table, at));
  std::vector<std::uint64_t> sorted(named);
  std::sort(sorted.begin(), sorted.end());
  absl::flat_hash_map<std::uint64_t, Place> places;
  for (std::size_t i = 0; i < found.size(); ++i) {
    const bool newest = i + 1 == found.size();
    auto from = std::lower_bound(sorted.begin(), sorted.end(), found[i].first);
    const bool isNamed = from != sorted.end() && (newest || *from < found[i + 1].first);
    if (!isNamed && !newest) continue;
    auto bytes = disk_.read(found[i].file);
    if (std::holds_alternative<DiskFailure>(bytes)) return Recovery::kDiskFailure;
    FileScan scan = scanRecords(std::get<Bytes>(bytes), synced);
    for (Record& record : scan.records) {
      if (!std::binary_search(sorted.begin(), sorted.end(), record.sequence)) continue;
      places.emplace(record.sequence, Place{SharedBytes(std::move(record.body)), record.sequence, found[i].file});
    }
    if (!newest || scan.records.empty()) continue;
    nextSequence_ = scan.records.back().sequence + 1;
    if (!isNamed) continue;  // all of it is dead
    writer_.goOn(found[i].file, scan.end, scan.sum);
  }
  for (const std::uint64_t sequence : named) {
    auto place = places.find(sequence);
    if (place == places.end()) return Recovery::kMissing;
    values.push_back(place->second.value);
    durable_.emplace(place->second.value.identity(), place->second);
  }
  countFiles();
  return Recovery::kWhole;
}

}  // namespace stonemount
