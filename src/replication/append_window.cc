// What may be under way to the successor, by the pace of the link (design.md 6.3).
#include <absl/strings/str_cat.h>

#include "replication/replica.h"

namespace stonemount {

namespace {
constexpr Us kTellAgainUs = 2 * kSecondUs;  // of a slow successor
}  // namespace

ReplicaWindows Replica::windows() const {
  return {commitWindow_.bytes(), incomingRoom_.windowBytes(), appendWindow_.bytes()};
}

// The link to the successor, by an attempt that carried entries.
void Replica::noteAppend(std::size_t bytes, Us sentUs, bool answered) {
  if (bytes == 0) return;
  const Us nowUs = ports_.clock.monoUs();
  if (answered)
    appendWindow_.delivered(bytes, sentUs, nowUs);
  else
    appendWindow_.lost(nowUs);
  logSlowSuccessor(nowUs - sentUs);
}

// The way to the successor and back is so slow that the window cannot follow it any further.
void Replica::logSlowSuccessor(Us delayUs) {
  const Us nowUs = ports_.clock.monoUs();
  if (appendWindow_.bytes() > kAppendWindow.leastBytes || nowUs - slowSuccessorToldUs_ < kTellAgainUs) return;
  slowSuccessorToldUs_ = nowUs;
  logDoubt("slow_successor", {{"delay_ms", absl::StrCat(delayUs / kMilliUs)},
                              {"end", absl::StrCat(end_)},
                              {"successor_end", absl::StrCat(successorPeak_)}});
}

}  // namespace stonemount
