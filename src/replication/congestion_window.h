// How many bytes may be under way over a path whose pace is not known: congestion control by delay, as TCP Vegas and
// LEDBAT do it (design.md 6.3).
#pragma once

#include "stonemount.h"

namespace stonemount {

// The window is adjusted once a round, that is, when the first delivery comes of what was sent after the last
// adjustment. The shortest delay of a round tells the queue that stands on the path: one late delivery (a sync that
// stalled, a sender with a slow link of its own) shows in the longest alone. Runs on the replica's loop.
class CongestionWindow {
 public:
  struct Limits {
    std::size_t leastBytes = 0;
    std::size_t initialBytes = 0;
    std::size_t mostBytes = 0;
    Us targetUs = 0;  // delay at which the window neither grows nor shrinks
    // It counts from the shortest delay that was ever seen, as in LEDBAT: what is sent yields to all else on the path,
    // however long that is.
    bool yields = false;
  };
  explicit CongestionWindow(const Limits& limits) : limits_(limits), bytes_(limits.initialBytes) {}
  std::size_t bytes() const { return bytes_; }
  // Something was held back because the window was full: it may grow at the end of this round.
  void limited() { limited_ = true; }
  // That many bytes were sent then, and are known to have arrived now.
  void delivered(std::size_t bytes, Us sentUs, Us nowUs);
  // What was sent did not arrive within its time.
  void lost(Us nowUs);

 private:
  void adjust(Us nowUs);
  void beginRound(Us nowUs);
  void set(std::size_t bytes);
  Limits limits_;
  std::size_t bytes_;
  Us roundBeganUs_ = 0;
  Us deliveredUs_ = 0;          // newest delivery
  Us shortestUs_ = -1;          // delay in this round; -1: nothing delivered yet
  Us baseUs_ = -1;              // the shortest ever; -1: as above
  std::size_t roundBytes_ = 0;  // delivered in it
  bool limited_ = false;
};

}  // namespace stonemount
