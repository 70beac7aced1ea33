// The callers' front: what is asked is checked before anything is done (docs/api.md).
#include <absl/strings/str_cat.h>

#include "jig/json.h"
#include "node/node.h"

namespace stonemount {

namespace {
constexpr char kPromptSchema[] = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["prompt"],
  "properties": {"prompt": {"type": "string", "minLength": 1}}
})";

const char* pathOf(RouteKind kind) {
  switch (kind) {
    case RouteKind::kStream: return "streams";
    case RouteKind::kLookup: return "lookups";
    case RouteKind::kWhole: return "answers";
  }
  return "unknown";
}
}  // namespace

void Node::frontCaller(const HttpAsk& ask, const Parts& parts, ReplyPtr reply) {
  const bool live = parts.size() == 3;
  if (live && parts[1] == "streams") return enterLive(ask, RouteKind::kStream, parts[2], reply);
  if (live && parts[1] == "answers") return enterLive(ask, RouteKind::kWhole, parts[2], reply);
  if (live && parts[1] == "lookups") return enterLive(ask, RouteKind::kLookup, parts[2], reply);
  frontLots(ask, parts, reply);
}

void Node::enterLive(const HttpAsk& ask, RouteKind kind, const std::string& name, ReplyPtr reply) {
  const bool lookup = kind == RouteKind::kLookup;
  if (ask.method != (lookup ? "GET" : "POST")) return methodRefused(*reply, lookup ? "GET" : "POST");
  if (!almanac_.ready()) return sendVerdict(*reply, 503, "no_configuration_yet", {{"ran", "no"}}, 1);
  auto route = almanac_.state().routes().find(name);
  if (route == almanac_.state().routes().end()) return sendVerdict(*reply, 404, "unknown_route", {{"route", name}});
  if (route->second.kind != kind)
    return sendVerdict(*reply, 404, "other_kind_of_route", {{"route", name}, {"path", pathOf(route->second.kind)}});
  if (lookup) {
    auto key = ask.query.find("key");
    if (key == ask.query.end() || key->second.empty())
      return sendVerdict(*reply, 400, "bad_request", {{"field", "key"}, {"why", "is missing"}});
    return lathe_.enter(route->second, ask, Bytes(), reply);
  }
  JsonVerdict read = parseJson(ask.body);
  if (auto* bad = std::get_if<BadJson>(&read))
    return sendVerdict(*reply, 400, "bad_json", {{"at", absl::StrCat(bad->offset)}});
  const JsonDocument& document = std::get<JsonDocument>(read);
  if (std::optional<SchemaFault> fault = checkSchema(kPromptSchema, document))
    return sendVerdict(*reply, 400, "bad_request", {{"field", fault->field}, {"why", fault->keyword}});
  lathe_.enter(route->second, ask, jsonString(document, "prompt"), reply);
}

void Node::showMetrics(ReplyPtr reply) {
  const LatheCounts& live = lathe_.counts();
  const SchedulerCounts& lots = scheduler_.counts();
  JsonOut out;
  out.object().field("taken", live.taken).field("sealed", live.sealed).field("turnedAway", live.turnedAway);
  out.field("lapsed", live.lapsed).field("broken", live.broken).field("left", live.left);
  out.field("retried", live.retried).field("declined", live.declined);
  out.field("waiting", lathe_.waiting()).field("relaying", lathe_.relaying());
  out.field("lotGranted", lots.granted).field("lotSealed", lots.sealed).field("lotDropped", lots.dropped);
  out.field("lotRefused", lots.refused).field("lotNotGranted", lots.notGranted);
  out.field("lotRunning", scheduler_.running());
  out.field("frames", desk_.sentFrames).field("frameBytes", desk_.sentBytes).field("controlAsks", almanac_.asks);
  out.field("config", almanac_.state().configRevision());
  out.field("controlRevision", almanac_.state().revision()).closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

}  // namespace stonemount
