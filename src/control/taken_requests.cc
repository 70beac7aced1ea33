#include "control/taken_requests.h"

#include <algorithm>

namespace stonemount {

void TakenRequests::note(Revision revision, std::uint64_t digest) {
  if (digest == 0) return;
  kept_.push_back({revision, digest});
  of_[revision] = digest;
  while (kept_.size() > most_) {
    forgotten_ = std::max(forgotten_, kept_.front().revision);
    of_.erase(kept_.front().revision);
    kept_.pop_front();
  }
}

bool TakenRequests::knows(Revision revision, std::uint64_t digest) const {
  const auto found = of_.find(revision);
  return digest != 0 && found != of_.end() && found->second == digest;
}

// A change always has a number above its base, so one that has not was never taken. One whose base is above all
// that was restored was acknowledged before the loss, and lost with it.
bool TakenRequests::mayHaveTaken(Revision base, Revision next) const {
  if (next <= base || of_.contains(next)) return false;
  return next <= forgotten_;
}

void TakenRequests::restoredAt(Revision revision) {
  kept_.clear();
  of_.clear();
  forgotten_ = revision;
  restored_ = revision;
}

void TakenRequests::load(std::deque<TakenRequest> kept, Revision forgotten, Revision restored) {
  kept_ = std::move(kept);
  forgotten_ = forgotten;
  restored_ = restored;
  of_.clear();
  for (const TakenRequest& taken : kept_) of_[taken.revision] = taken.digest;
}

}  // namespace stonemount
