// What becomes of a live request after each try, and what its caller is told (design.md 9.6).
#include <absl/strings/str_format.h>

#include <algorithm>

#include "config/json.h"
#include "proxy/channel_headers.h"
#include "proxy/gateway_caller.h"

namespace stonemount {

HeaderMap passedOn(const HeaderMap& given) {
  HeaderMap kept = withoutChannelHeaders(given);
  kept.erase("date");                    // the server sets its own
  kept.try_emplace("content-type", "");  // none came, none goes on
  return kept;
}

void sendRefusal(HttpReply& reply, int status, const char* why, Us againUs) {
  HeaderMap headers{{"content-type", "application/json"}};
  if (againUs > 0) headers["retry-after"] = absl::StrFormat("%.3f", static_cast<double>(againUs) / kSecondUs);
  JsonOut out;
  out.object().field("verdict", why).closeObject();
  reply.whole(status, headers, out.take() + "\n");
}

bool Gateway::mayTryAgain(const Caller& caller) const {
  const std::uint32_t tries = caller.request.route.attempts > 0 ? caller.request.route.attempts : plan_.tries;
  return caller.sends < tries && !caller.gone && ports_.clock.monoUs() + kLeastLeftUs < caller.limitAtUs;
}

// What became of a try, and what of the request for it. Only what is proven unrun, or may be repeated, is
// tried again; a stream that may be resumed goes on inside the same answer.
bool Gateway::handleEnding(Caller& caller, const PassEnding& ending) {
  const Route& route = caller.request.route;
  const bool stream = route.kind == RouteKind::kStream;
  const bool repeats = route.kind == RouteKind::kLookup || (stream && route.resumable);
  if (std::holds_alternative<PassWhole>(ending)) {
    ++counts_.whole;
    const Us nowUs = ports_.clock.monoUs();
    paceUs_ = (paceUs_ * 7 + std::min<Us>(nowUs - lastWholeUs_, kSecondUs)) / 8;
    lastWholeUs_ = nowUs;
    stageTimes_.note(route.name, RequestStage::kWhole, nowUs - caller.enteredUs);
    lateAnswers_.note(route, caller.times, nowUs - caller.enteredUs);
    if (caller.begun)
      caller.reply->end();
    else
      caller.reply->whole(caller.head_.status, passedOn(caller.head_.headers), caller.gathered);
    return false;
  }
  if (caller.gone) {
    ++counts_.left;
    return false;
  }
  if (std::holds_alternative<PassNotRun>(ending)) {
    if (mayTryAgain(caller)) return true;
    if (caller.begun || caller.mayHaveRun)
      fail(caller, 502, "not_whole");
    else
      refuse(caller, "no_capacity");
    return false;
  }
  caller.mayHaveRun = true;
  if (auto* failed = std::get_if<PassFailed>(&ending)) {
    if (caller.begun)
      fail(caller, 502, "not_whole");
    else if (repeats && failed->status >= 500 && mayTryAgain(caller))
      return true;
    else
      caller.reply->whole(failed->status, passedOn(failed->head.headers), failed->body);
    return false;
  }
  if (auto* declined = std::get_if<PassDeclined>(&ending)) {
    if (caller.begun)
      fail(caller, 502, "not_whole");
    else
      caller.reply->whole(declined->head.status, passedOn(declined->head.headers), declined->body);
    return false;
  }
  if (std::holds_alternative<PassLapsed>(ending)) {
    ++counts_.lapsed;
    fail(caller, 504, "limit_passed");
    return false;
  }
  const bool goesOn = repeats && (!caller.begun || (stream && caller.series)) && !caller.left() && mayTryAgain(caller);
  if (goesOn && caller.begun) ++counts_.resumed;
  if (goesOn) return true;
  ++counts_.broken;
  fail(caller, 502, "not_whole");
  return false;
}

void Gateway::refuse(Caller& caller, const char* why) {
  ++counts_.refused;
  sendRefusal(*caller.reply, 503, why, againUs());
}

Us Gateway::againUs() const {
  return draining_ ? 20 * kMilliUs
                   : std::clamp<Us>(paceUs_ * static_cast<Us>(2 + held_), 50 * kMilliUs, 400 * kMilliUs);
}

// It may have run: nothing is promised. What was begun must not look complete.
void Gateway::fail(Caller& caller, int status, const char* why) {
  if (caller.begun)
    caller.reply->abort();
  else
    sendRefusal(*caller.reply, status, why, 0);
}

}  // namespace stonemount
