// What a live request's caller is told: the sealed answer, or a verdict that says whether it may have run
// (design.md 9.4).
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "config/json.h"
#include "proxy/proxy_caller.h"

namespace stonemount {

void sendVerdict(HttpReply& reply, int status, const std::string& verdict, std::initializer_list<LogPair> pairs,
                 int retryAfter) {
  JsonOut out;
  out.object().field("verdict", verdict);
  for (const LogPair& pair : pairs) out.field(std::string(pair.key), pair.value);
  HeaderMap headers;
  if (retryAfter > 0) {
    headers["retry-after"] = absl::StrCat(retryAfter);
    out.field("retryAfter", retryAfter);
  }
  out.closeObject();
  reply.whole(status, headers, out.take() + "\n");
}

// How long until those who wait now have been served, at the pace of late.
int Proxy::retryAfterSeconds() const {
  const Us aheadUs = static_cast<Us>(waiting_.size() + 1) * paceUs_;
  return static_cast<int>(std::clamp<Us>(1 + aheadUs / kSecondUs, 1, 10));
}

void Proxy::turnAway(Caller& caller, int status, const char* verdict, const char* ran) {
  ++counts_.turnedAway;
  if (caller.gone) return;
  sendVerdict(*caller.reply, status, verdict, {{"exchange", caller.order.exchange}, {"ran", ran}}, retryAfterSeconds());
}

void Proxy::finish(Caller& caller, const WorkEnding& ending) {
  if (auto* sealed = std::get_if<WorkSealed>(&ending)) {
    ++counts_.sealed;
    const Us nowUs = ports_.clock.monoUs();
    paceUs_ = (paceUs_ * 7 + std::min<Us>(nowUs - lastSealedUs_, kSecondUs)) / 8;
    lastSealedUs_ = nowUs;
    JsonOut out;
    out.object().field("exchange", caller.order.exchange);
    if (caller.order.route.kind != RouteKind::kStream) out.field("answer", caller.gathered);
    out.key("seal").object().field("count", sealed->count).field("digest", hexText(sealed->digest)).closeObject();
    out.closeObject();
    if (caller.order.route.kind != RouteKind::kStream) {
      caller.reply->whole(200, {{"x-exchange", caller.order.exchange}}, out.take() + "\n");
      return;
    }
    if (!caller.begun)
      caller.reply->begin(200, {{"content-type", "application/x-ndjson"}, {"x-exchange", caller.order.exchange}});
    caller.reply->chunk(out.take() + "\n");
    caller.reply->end();
    return;
  }
  if (std::holds_alternative<WorkLeft>(ending)) {
    ++counts_.left;
    if (caller.begun) caller.reply->end();
    return;
  }
  const bool unrun = std::holds_alternative<WorkUnsent>(ending) || std::holds_alternative<WorkRefused>(ending);
  const bool lapsed = std::holds_alternative<WorkLapsed>(ending);
  const char* verdict = unrun ? "no_capacity" : lapsed ? "limit_passed" : "not_whole";
  ++(lapsed ? counts_.lapsed : counts_.broken);
  if (caller.begun) {
    JsonOut out;
    out.object().field("verdict", verdict).field("exchange", caller.order.exchange).field("ran", "maybe");
    out.field("retryAfter", retryAfterSeconds()).closeObject();
    caller.reply->chunk(out.take() + "\n");
    caller.reply->end();  // without a seal: the caller must not take it for whole
    return;
  }
  if (auto* declined = std::get_if<WorkDeclined>(&ending)) {
    ++counts_.declined;
    sendVerdict(*caller.reply, 422, "declined", {{"exchange", caller.order.exchange}, {"worker", declined->verdict}});
    return;
  }
  turnAway(caller, lapsed ? 504 : 503, verdict, caller.mayHaveRun ? "maybe" : "no");
}

}  // namespace stonemount
