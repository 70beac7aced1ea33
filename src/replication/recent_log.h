// The newest entries of a replica's log, kept in memory for whoever is behind: its successor, a joiner, a new view
// (design.md 6.3, 6.7).
#pragma once

#include "replication/messages.h"

namespace stonemount {

// Entries follow one another without a gap. Bytes are those of the commands.
class RecentLog {
 public:
  bool empty() const { return kept_.empty(); }
  std::size_t size() const { return kept_.size(); }
  std::uint64_t firstIndex() const { return kept_.front().entry.index; }
  const Entry& operator[](std::size_t place) const { return kept_[place].entry; }
  // Does it hold all that comes after `index`, and the name of the entry at it?
  bool reachesBackTo(std::uint64_t index) const { return !empty() && firstIndex() <= index + 1; }
  // Revision of the entry before the first.
  Revision revisionBefore() const { return revisionBefore_; }
  std::size_t bytes() const { return empty() ? 0 : bytesAfter(firstIndex() - 1); }
  // Of the entries behind `index`.
  std::size_t bytesAfter(std::uint64_t index) const;
  // `before`: revision of the entry before this one.
  void push(const Entry& entry, Revision before);
  // Drops the oldest until both bounds hold, but none behind `needed`.
  void trim(std::size_t mostEntries, std::size_t mostBytes, std::uint64_t needed);
  // The same, but all behind `snapshotEnd`, which somebody copies, is kept until it is `times` what the bounds say.
  void trimBehind(std::uint64_t snapshotEnd, std::size_t times, std::size_t mostEntries, std::size_t mostBytes,
                  std::uint64_t needed);
  // Nothing is kept; the log ends with an entry of that revision.
  void clear(Revision before);

 private:
  struct Kept {
    Entry entry;
    std::uint64_t pushedBytes = 0;  // of all that was ever pushed, up to this one
  };
  std::deque<Kept> kept_;
  std::uint64_t pushedBytes_ = 0;
  Revision revisionBefore_ = 0;
};

}  // namespace stonemount
