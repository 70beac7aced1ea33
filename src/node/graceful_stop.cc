#include "node/graceful_stop.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

namespace {
constexpr Us kLookUs = 50 * kMilliUs;
// Of the grace, kept for the end itself; of a short one no more than a tenth.
constexpr Us kLastUs = 700 * kMilliUs;
Us lastUs(Us graceUs) { return std::min(kLastUs, graceUs / 10); }

const char* reasonText(StopReason reason) { return reason == StopReason::kIdle ? "idle" : "grace_spent"; }
}  // namespace

GracefulStop::GracefulStop(Clock& clock, Timers& timers, DrainingServer& server, GracefulStopPlan plan)
    : clock_(clock), timers_(timers), server_(server), plan_(plan) {}

GracefulStop::~GracefulStop() { timers_.disarm(*this); }

void GracefulStop::proceed() {
  const Us nowUs = clock_.monoUs();
  if (!begunUs_) begin(nowUs);
  const Us sinceUs = nowUs - *begunUs_;
  if (!refusing_ && sinceUs >= std::min(plan_.noticeUs, plan_.graceUs / 2)) {
    refusing_ = true;
    server_.refuseNew();
  }
  if (refusing_ && server_.idle()) return stop(StopReason::kIdle, nowUs);
  if (sinceUs >= plan_.graceUs - lastUs(plan_.graceUs)) return stop(StopReason::kGraceSpent, nowUs);
  timers_.arm(kLookUs, *this);
}

void GracefulStop::begin(Us nowUs) {
  begunUs_ = nowUs;
  logEvent("draining", {});
  server_.drain();
}

void GracefulStop::stop(StopReason reason, Us nowUs) {
  logEvent("drained", {{"why", reasonText(reason)},
                       {"afterMs", absl::StrCat((nowUs - *begunUs_) / kMilliUs)},
                       {"open", absl::StrCat(server_.openRequests())},
                       {"takenWhileDraining", absl::StrCat(server_.takenWhileDraining())}});
  server_.stop();
}

}  // namespace stonemount
