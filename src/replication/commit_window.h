// What the head has taken and does not know to be committed, and how much of it there may be (design.md 6.3).
#pragma once

#include <deque>

#include "replication/congestion_window.h"

namespace stonemount {

// The bound on new work follows what the slowest member drains: the window's delay is that from taking a command to
// its commit. Held by the head alone, for one view. Runs on the replica's loop.
class CommitWindow {
 public:
  explicit CommitWindow(const CongestionWindow::Limits& limits) : window_(limits) {}
  std::size_t bytes() const { return window_.bytes(); }
  void limited() { window_.limited(); }
  void took(std::uint64_t index, std::size_t bytes, Us nowUs) { pending_.push_back({index, bytes, nowUs}); }
  void committed(std::uint64_t index, Us nowUs) {
    for (; !pending_.empty() && pending_.front().index <= index; pending_.pop_front())
      window_.delivered(pending_.front().bytes, pending_.front().takenUs, nowUs);
  }
  // In another view; the pace of the path is still what is known of it.
  void clear() { pending_.clear(); }

 private:
  struct Pending {
    std::uint64_t index = 0;
    std::size_t bytes = 0;
    Us takenUs = 0;
  };
  CongestionWindow window_;
  std::deque<Pending> pending_;
};

}  // namespace stonemount
