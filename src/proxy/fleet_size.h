// How many nodes share what is bounded for the whole fleet (docs/design-notes/cold-workers.md).
#pragma once

#include "stonemount.h"

namespace stonemount {

// Rises at once and falls late: a node that is not heard of any more may still send. Whoever divides a bound by this
// count takes less than its share while the count is too large, and never more. Runs on the loop's thread.
class FleetSize {
 public:
  static constexpr Us kMemoryUs = 30 * kSecondUs;  // of time in which control was heard

  explicit FleetSize(const Clock& clock) : clock_(clock) {}
  // `nodes` were counted just now, by whoever. `controlHeard`: this node is in touch with control; while it is not,
  // nothing is forgotten, since those that it misses may be on the other side of a cut.
  void note(std::size_t nodes, bool controlHeard);
  std::size_t count() const;

 private:
  struct Counted {
    Us atUs = 0;  // by `heardUs_`
    std::size_t nodes = 0;
  };
  const Clock& clock_;
  Us heardUs_ = 0;  // time in which control was heard, so far
  Us lastUs_ = -1;
  std::deque<Counted> counted_;  // the largest first, each newer than the one before it
};

}  // namespace stonemount
