#include "replication/recent_log.h"

#include <algorithm>

namespace stonemount {

std::size_t RecentLog::bytesAfter(std::uint64_t index) const {
  if (empty() || index >= kept_.back().entry.index) return 0;
  const std::size_t place = index < firstIndex() ? 0 : index + 1 - firstIndex();
  const Kept& next = kept_[place];
  return pushedBytes_ - next.pushedBytes + next.entry.command.size();
}

void RecentLog::push(const Entry& entry, Revision before) {
  STONEMOUNT_INVARIANT(empty() || entry.index == kept_.back().entry.index + 1);
  if (empty()) revisionBefore_ = before;
  pushedBytes_ += entry.command.size();
  kept_.push_back({entry, pushedBytes_});
}

void RecentLog::trim(std::size_t mostEntries, std::size_t mostBytes, std::uint64_t needed) {
  while (!empty() && (size() > mostEntries || bytes() > mostBytes) && firstIndex() <= needed) {
    revisionBefore_ = kept_.front().entry.revision;
    kept_.pop_front();
  }
}

void RecentLog::trimBehind(std::uint64_t snapshotEnd, std::size_t times, std::size_t mostEntries, std::size_t mostBytes,
                           std::uint64_t needed) {
  trim(mostEntries, mostBytes, std::min(needed, snapshotEnd));
  trim(mostEntries * times, mostBytes * times, needed);
}

void RecentLog::clear(Revision before) {
  kept_.clear();
  revisionBefore_ = before;
}

}  // namespace stonemount
