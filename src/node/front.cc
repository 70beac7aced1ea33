// The callers' front: what is asked is checked before anything is done (docs/api.md).
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "config/json.h"
#include "node/node.h"

namespace stonemount {

namespace {
constexpr int kMostHops = 4;
constexpr char kPromptSchema[] = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["prompt"],
  "properties": {"prompt": {"type": "string", "minLength": 1}}
})";

const char* pathOf(RouteKind kind) {
  switch (kind) {
    case RouteKind::kStream:
      return "streams";
    case RouteKind::kLookup:
      return "lookups";
    case RouteKind::kWhole:
      return "answers";
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

// Where a route's rule does not hold, the next is asked, so many times at the most. A rule that fails at
// work does not hold.
const Route* Node::chooseRoute(const Route& asked, const HttpAsk& ask, std::size_t bytes) {
  const Route* route = &asked;
  for (int hop = 0; hop <= kMostHops; ++hop) {
    if (route->when.empty()) return route;
    RuleSight sight{static_cast<std::int64_t>(bytes), route->limitUs, settings_.zone};
    std::int64_t wishedUs = 0;
    if (ask.headers.contains("x-limit-us") && absl::SimpleAtoi(ask.headers.at("x-limit-us"), &wishedUs))
      sight.limitUs = std::min(sight.limitUs, wishedUs);
    const RuleVerdict verdict = rules_.judge(route->when, sight);
    auto* holds = std::get_if<bool>(&verdict);
    if (holds != nullptr && *holds) return route;
    auto next = configCache_.state().routes().find(route->otherwise);
    if (next == configCache_.state().routes().end() || next->second.kind != asked.kind) return nullptr;
    route = &next->second;
  }
  return nullptr;
}

void Node::enterLive(const HttpAsk& ask, RouteKind kind, const std::string& name, ReplyPtr reply) {
  const bool lookup = kind == RouteKind::kLookup;
  if (ask.method != (lookup ? "GET" : "POST")) return methodRefused(*reply, lookup ? "GET" : "POST");
  if (!configCache_.ready()) return sendVerdict(*reply, 503, "no_configuration_yet", {{"ran", "no"}}, 1);
  auto route = configCache_.state().routes().find(name);
  if (route == configCache_.state().routes().end()) return sendVerdict(*reply, 404, "unknown_route", {{"route", name}});
  if (route->second.kind != kind)
    return sendVerdict(*reply, 404, "other_kind_of_route", {{"route", name}, {"path", pathOf(route->second.kind)}});
  const CallerTenant caller = tenantOfCaller(configCache_.state().tenantTable(), route->second.open, ask.headers);
  if (std::holds_alternative<KeyRefused>(caller)) return sendVerdict(*reply, 401, "unknown_key", {{"ran", "no"}});
  if (lookup) {
    auto key = ask.query.find("key");
    if (key == ask.query.end() || key->second.empty())
      return sendVerdict(*reply, 400, "bad_request", {{"field", "key"}, {"why", "is missing"}});
    const Route* chosenRoute = chooseRoute(route->second, ask, key->second.size());
    if (chosenRoute == nullptr) return sendVerdict(*reply, 404, "no_route_matches", {{"route", name}, {"ran", "no"}});
    return proxy_.enter(*chosenRoute, ask, Bytes(), reply);
  }
  JsonVerdict read = parseJson(ask.body);
  if (auto* bad = std::get_if<BadJson>(&read))
    return sendVerdict(*reply, 400, "bad_json", {{"at", absl::StrCat(bad->offset)}});
  const JsonDocument& document = std::get<JsonDocument>(read);
  if (std::optional<SchemaFault> fault = checkSchema(kPromptSchema, document))
    return sendVerdict(*reply, 400, "bad_request", {{"field", fault->field}, {"why", fault->keyword}});
  const Bytes prompt = jsonString(document, "prompt");
  const Route* chosenRoute = chooseRoute(route->second, ask, prompt.size());
  if (chosenRoute == nullptr) return sendVerdict(*reply, 404, "no_route_matches", {{"route", name}, {"ran", "no"}});
  proxy_.enter(*chosenRoute, ask, prompt, reply);
}

// Requests that are passed through, and this node's share of what all nodes may have at workers.
void Node::showPassed(JsonOut& out) const {
  const GatewayCounts& passed = gateway_->counts();
  out.field("passTaken", passed.taken).field("passWhole", passed.whole).field("passRefused", passed.refused);
  out.field("passLapsed", passed.lapsed).field("passBroken", passed.broken).field("passLeft", passed.left);
  out.field("passRetried", passed.retried).field("passResumed", passed.resumed);
  out.field("passHolding", gateway_->holding()).field("passRelaying", gateway_->relaying());
  const FleetPlace& place = pools_->place();
  out.field("fleetPlace", place.place).field("fleetPlaces", place.places);
}

// Where the time of live requests went, a line for each route and stage.
void Node::showLatency(ReplyPtr reply) const {
  JsonOut out;
  out.object().key("stages").array();
  if (gateway_ != nullptr) {
    for (const StageSummary& summary : gateway_->stageTimes().summaries()) {
      out.object().field("route", summary.route).field("stage", stageText(summary.stage));
      out.field("count", summary.count).field("meanUs", summary.meanUs).field("p50Us", summary.p50Us);
      out.field("p95Us", summary.p95Us).field("p99Us", summary.p99Us).closeObject();
    }
  }
  out.closeArray().closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

void Node::showHistograms(ReplyPtr reply) const {
  const std::string text = gateway_ != nullptr ? gateway_->stageTimes().text() : std::string();
  reply->whole(200, {{"content-type", "text/plain; version=0.0.4"}}, text);
}

// Of items of standing lots, by stage: how many, and the sum and longest of their times.
void Node::showItemTimes(JsonOut& out) const {
  static constexpr std::pair<ItemStage, const char*> kNames[] = {{ItemStage::kGrant, "itemGrant"},
                                                                 {ItemStage::kHold, "itemHold"},
                                                                 {ItemStage::kWorker, "itemWorker"},
                                                                 {ItemStage::kDelivery, "itemDelivery"}};
  for (const auto& [stage, name] : kNames) {
    const ItemTimes::Sum& sum = scheduler_.itemTimes().total(stage);
    out.field(absl::StrCat(name, "Count"), sum.count).field(absl::StrCat(name, "Us"), sum.totalUs);
    out.field(absl::StrCat(name, "LongestUs"), sum.longestUs);
  }
}

void Node::showMetrics(ReplyPtr reply) {
  const ProxyCounts& live = proxy_.counts();
  const SchedulerCounts& lots = scheduler_.counts();
  JsonOut out;
  out.object().field("taken", live.taken).field("sealed", live.sealed).field("turnedAway", live.turnedAway);
  out.field("lapsed", live.lapsed).field("broken", live.broken).field("left", live.left);
  out.field("retried", live.retried).field("declined", live.declined);
  out.field("waiting", proxy_.waiting()).field("relaying", proxy_.relaying());
  out.field("lotGranted", lots.granted).field("lotSealed", lots.sealed).field("lotDropped", lots.dropped);
  out.field("lotRefused", lots.refused).field("lotNotGranted", lots.notGranted);
  out.field("lotRunning", scheduler_.running());
  if (warmthProbe_ != nullptr) {
    const WarmthProbeCounts& probes = warmthProbe_->counts();
    out.field("probes", probes.sent).field("probesWarm", probes.warm).field("probesCold", probes.cold);
    out.field("probesUnanswered", probes.unanswered);
  }
  if (gateway_ != nullptr) showPassed(out);
  if (scheduler_.runner() != nullptr) showItemTimes(out);
  if (quotas_ != nullptr) showQuotas(out);
  out.field("frames", rpc_.sentFrames).field("frameBytes", rpc_.sentBytes).field("controlAsks", configCache_.asks);
  out.field("config", configCache_.state().configRevision());
  out.field("controlRevision", configCache_.state().revision()).closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

}  // namespace stonemount
