// Up to which moment the list of workers that a node goes by tells the truth (docs/design-notes/cold-workers.md).
#pragma once

#include "stonemount.h"

namespace stonemount {

// Control numbers the lists that it takes; each is asked for after the one before it was taken. A node that was told
// number n in answer to a question knows that list n + 2 was asked for after that question. All times are the node's
// own monotonic ones. Runs on the loop's thread.
class ListFreshness {
 public:
  // `lagUs`: by how much the platform's list lags behind.
  explicit ListFreshness(Us lagUs) : lagUs_(lagUs) {}
  // Control answered a question that was asked then: its newest list has that number.
  void controlAnswered(Us askedUs, std::uint64_t listNumber);
  // The platform itself answered a question that was asked then.
  void platformAnswered(Us askedUs);
  // -1: nothing is known yet.
  Us asOfUs() const { return asOfUs_; }

 private:
  struct Told {
    Us askedUs = 0;
    std::uint64_t listNumber = 0;
  };
  static constexpr std::size_t kToldBound = 64;
  static constexpr Us kSlackUs = 100 * kMilliUs;  // between a list's being taken and all replicas' knowing it
  Us lagUs_;
  Us asOfUs_ = -1;
  std::deque<Told> told_;  // oldest first; one for each number, as it was first told
};

}  // namespace stonemount
