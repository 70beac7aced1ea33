#include "proxy/late_answers.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

namespace {
std::string milliText(Us lengthUs) { return absl::StrCat(lengthUs / kMilliUs); }
}  // namespace

void AnswerTimes::addAttempt(const AttemptTimes& attempt) {
  connectUs += attempt.connectUs;
  firstUs += std::max<Us>(0, attempt.firstUs);
  pauseUs = std::max(pauseUs, attempt.pauseUs);
  ++tries;
}

bool answeredLate(const Route& route, const AnswerTimes& times, Us wholeUs) {
  if (route.targetUs <= 0) return false;
  if (route.kind != RouteKind::kStream) return wholeUs > route.targetUs;
  const bool pauses = route.gapTargetUs > 0 && times.pauseUs > route.gapTargetUs;
  return pauses || times.holdUs + times.connectUs + times.firstUs > route.targetUs;
}

void LateAnswers::note(const Route& route, const AnswerTimes& times, Us wholeUs) {
  if (!answeredLate(route, times, wholeUs)) return;
  Sum& sum = byRoute_[route.name];
  ++sum.count;
  sum.times.holdUs += times.holdUs;
  sum.times.connectUs += times.connectUs;
  sum.times.firstUs += times.firstUs;
  sum.times.pauseUs += times.pauseUs;
  sum.times.tries += times.tries;
  sum.wholeUs += wholeUs;
}

void LateAnswers::tell() {
  for (const auto& [route, sum] : byRoute_)
    logEvent("late_answers", {{"route", route},
                              {"count", absl::StrCat(sum.count)},
                              {"holdMs", milliText(sum.times.holdUs)},
                              {"connectMs", milliText(sum.times.connectUs)},
                              {"firstMs", milliText(sum.times.firstUs)},
                              {"pauseMs", milliText(sum.times.pauseUs)},
                              {"wholeMs", milliText(sum.wholeUs)},
                              {"tries", absl::StrCat(sum.times.tries)},
                              {"loopDelayMs", milliText(loopDelayUs_)}});
  byRoute_.clear();
  loopDelayUs_ = 0;
}

}  // namespace stonemount
