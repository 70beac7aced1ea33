#include "proxy/list_freshness.h"

#include <algorithm>

namespace stonemount {

void ListFreshness::controlAnswered(Us askedUs, std::uint64_t listNumber) {
  // A control chain that was restored numbers anew.
  if (!told_.empty() && listNumber < told_.back().listNumber) told_.clear();
  // What a node is told first is taken for as old as a list may be between two polls of a control that works.
  if (asOfUs_ < 0) asOfUs_ = std::max<Us>(0, askedUs - lagUs_ - kSecondUs);
  while (!told_.empty() && told_.front().listNumber + 2 <= listNumber) {
    asOfUs_ = std::max(asOfUs_, told_.front().askedUs - lagUs_ - kSlackUs);
    told_.pop_front();
  }
  // The same number, told again: the later question is the better mark.
  if (!told_.empty() && told_.back().listNumber == listNumber)
    told_.back().askedUs = askedUs;
  else
    told_.push_back({askedUs, listNumber});
  if (told_.size() > kToldBound) told_.pop_front();
}

void ListFreshness::platformAnswered(Us askedUs) { asOfUs_ = std::max(asOfUs_, askedUs - lagUs_); }

}  // namespace stonemount
