// The operators' rpc: the same answers from whichever node is asked (docs/operators/commands.md).
#include <absl/strings/str_cat.h>

#include "config/json.h"
#include "node/node.h"

namespace stonemount {

namespace {
constexpr char kEventSchema[] = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["name", "startUs", "closeUs"],
  "properties": {
    "name": {"type": "string", "pattern": "^[a-z0-9][a-z0-9._-]*$", "maxLength": 80},
    "startUs": {"type": "integer", "minimum": 0},
    "closeUs": {"type": "integer", "minimum": 1},
    "quota": {"type": "integer", "minimum": 0, "maximum": 1000000},
    "windowUs": {"type": "integer", "minimum": 0}
  }
})";
constexpr char kReturnSchema[] = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["base", "to"],
  "properties": {"base": {"type": "integer", "minimum": 0}, "to": {"type": "integer", "minimum": 0}}
})";

// Parses and checks a body; answers the caller itself if it will not do.
std::optional<JsonDocument> checkedBody(const HttpAsk& ask, const char* schema, HttpReply& reply) {
  JsonVerdict read = parseJson(ask.body);
  if (auto* bad = std::get_if<BadJson>(&read)) {
    sendVerdict(reply, 400, "bad_json", {{"at", absl::StrCat(bad->offset)}});
    return std::nullopt;
  }
  auto& document = std::get<JsonDocument>(read);
  if (schema != nullptr) {
    if (std::optional<SchemaFault> fault = checkSchema(schema, document)) {
      sendVerdict(reply, 400, "bad_request", {{"field", fault->field}, {"why", fault->keyword}});
      return std::nullopt;
    }
  }
  return std::move(document);
}

void sendConfigVerdict(HttpReply& reply, const ControlVerdict& verdict) {
  int status = 200;
  const char* text = "taken";
  if (verdict.outcome == ControlOutcome::kConflict) status = 409, text = "conflict";
  if (verdict.outcome == ControlOutcome::kUnknownRevision) status = 404, text = "unknown_revision";
  if (verdict.outcome == ControlOutcome::kNotAbove) status = 400, text = "not_above";
  if (verdict.outcome == ControlOutcome::kInvalid) status = 400, text = "invalid_config";
  if (verdict.outcome == ControlOutcome::kUnclear) status = 503, text = "unclear";
  JsonOut out;
  out.object().field("verdict", text).field("config", verdict.configRevision);
  if (verdict.flaw != ConfigFlaw::kNone) out.field("why", configFlawText(verdict.flaw)).field("route", verdict.flawed);
  out.closeObject();
  reply.whole(status, {}, out.take() + "\n");
}
}  // namespace

void Node::frontOperator(const HttpAsk& ask, const Parts& parts, ReplyPtr reply) {
  const std::string what = parts.size() > 1 ? parts[1] : "";
  const std::string which = parts.size() > 2 ? parts[2] : "";
  const std::string verb = parts.size() > 3 ? parts[3] : "";
  const bool get = ask.method == "GET";
  const bool post = ask.method == "POST";
  if (what == "config" && which.empty()) {
    if (get) return room_.start(showConfig(reply));
    if (ask.method == "PUT" || ask.method == "PATCH") return room_.start(putConfig(ask, ask.method == "PUT", reply));
    return methodRefused(*reply, "GET, PUT, PATCH");
  }
  if (what == "config" && which == "history" && get) return room_.start(showHistory(reply));
  if (what == "config" && which == "return" && post) return room_.start(returnConfig(ask, reply));
  if (what == "events" && which.empty() && post) return room_.start(createEvent(ask, reply));
  if (what == "events" && verb.empty() && get) return room_.start(showEvents(which, reply));
  if (what == "events" && verb == "close" && post) return room_.start(closeEvent(which, reply));
  if (what == "zones" && post && (verb == "evacuate" || verb == "restore"))
    return room_.start(setZone(which, verb == "evacuate", reply));
  if (what == "workers" && get) return room_.start(showWorkers(reply));
  if (what == "store" && which.empty() && get) return room_.start(showStore(reply));
  if (what == "store" && post) return room_.start(changeVoters(ask, false, which, reply));
  if (what == "core" && post) return room_.start(changeVoters(ask, true, which, reply));
  if (what == "status" && get) return room_.start(showStatus(reply));
  if (what == "clock" && get) return room_.start(showClock(reply));
  if (what == "doctor" && get) return room_.start(doctor(reply));
  sendVerdict(*reply, 404, "unknown_path", {{"path", ask.path}, {"method", ask.method}});
}

Task Node::putConfig(HttpAsk ask, bool whole, ReplyPtr reply) {
  const std::optional<JsonDocument> document = checkedBody(ask, nullptr, *reply);
  if (!document) co_return;
  ConfigVerdict checked = readConfig(*document, whole);
  if (auto* fault = std::get_if<ConfigFault>(&checked)) {
    sendVerdict(*reply, 400, "bad_config", {{"field", fault->field}, {"why", fault->why}});
    co_return;
  }
  ConfigRequest& request = std::get<ConfigRequest>(checked);
  request.digest = std::max<std::uint64_t>(1, spread(absl::StrCat(ask.method, "\n", ask.body)));  // sent again: known
  Job<std::optional<ControlVerdict>> sending = commandCore(PutConfig{std::move(request)}, reply);
  const std::optional<ControlVerdict> verdict = co_await sending;
  if (verdict) sendConfigVerdict(*reply, *verdict);
}

Task Node::showConfig(ReplyPtr reply) {
  Job<ChainAnswer> asking = askCore(NewsAsk{0});
  ChainAnswer answer = co_await asking;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) {
    chainFailed(*reply, *failure, false);
    co_return;
  }
  auto read = unpack<ControlNews>(std::get<Bytes>(answer));
  JsonOut out;
  out.object();
  if (auto* news = std::get_if<ControlNews>(&read)) {
    out.field("base", news->configRevision).key("routes").array();
    for (const Route& route : news->routes) writeRoute(out, route);
    out.closeArray();
    if (!news->pools.empty()) {
      out.key("pools").array();
      for (const Pool& pool : news->pools) writePool(out, pool);
      out.closeArray().key("limits");
      writeLimits(out, news->limits);
    }
    if (news->keysNeeded) {
      out.key("tenants").array();
      for (const Tenant& tenant : news->tenants) writeTenant(out, tenant);
      out.closeArray();
    }
  }
  out.closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

Task Node::showHistory(ReplyPtr reply) {
  Job<ChainAnswer> asking = askCore(HistoryAsk{});
  ChainAnswer answer = co_await asking;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) {
    chainFailed(*reply, *failure, false);
    co_return;
  }
  auto read = unpack<HistoryVerdict>(std::get<Bytes>(answer));
  JsonOut out;
  out.object().key("history").array();
  if (auto* history = std::get_if<HistoryVerdict>(&read)) {
    for (const ConfigStep& step : history->steps) {
      out.object().field("config", step.revision).field("note", step.note).key("changes").array();
      for (const RouteChange& change : step.changes) {
        const char* what = !change.before ? "added" : !change.after ? "removed" : "changed";
        out.object().field("route", change.after ? change.after->name : change.before->name).field("what", what);
        out.closeObject();
      }
      out.closeArray().closeObject();
    }
  }
  out.closeArray().closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

Task Node::returnConfig(HttpAsk ask, ReplyPtr reply) {
  const std::optional<JsonDocument> document = checkedBody(ask, kReturnSchema, *reply);
  if (!document) co_return;
  ReturnConfig command{static_cast<Revision>(jsonNumber(*document, "base")),
                       static_cast<Revision>(jsonNumber(*document, "to"))};
  Job<std::optional<ControlVerdict>> sending = commandCore(command, reply);
  const std::optional<ControlVerdict> verdict = co_await sending;
  if (verdict) sendConfigVerdict(*reply, *verdict);
}

Task Node::createEvent(HttpAsk ask, ReplyPtr reply) {
  const std::optional<JsonDocument> document = checkedBody(ask, kEventSchema, *reply);
  if (!document) co_return;
  CreateEvent command;
  command.name = jsonString(*document, "name");
  command.startUs = jsonNumber(*document, "startUs");
  command.closeUs = jsonNumber(*document, "closeUs");
  command.quota = static_cast<std::uint32_t>(jsonNumber(*document, "quota"));
  command.windowUs = jsonNumber(*document, "windowUs");
  if (command.closeUs <= command.startUs) {
    sendVerdict(*reply, 400, "bad_request", {{"field", "/closeUs"}, {"why", "is not after startUs"}});
    co_return;
  }
  if (command.quota > 0 && command.windowUs <= 0) {
    sendVerdict(*reply, 400, "bad_request", {{"field", "/windowUs"}, {"why", "a quota needs a window"}});
    co_return;
  }
  Job<std::optional<StoreVerdict>> sending = commandStore(command, reply);
  const std::optional<StoreVerdict> verdict = co_await sending;
  if (!verdict) co_return;
  if (verdict->outcome == StoreOutcome::kConflict) {
    sendVerdict(*reply, 409, "event_differs", {{"event", command.name}});
    co_return;
  }
  JsonOut out;
  out.object().field("event", command.name).field("again", verdict->outcome == StoreOutcome::kAgain).closeObject();
  reply->whole(verdict->outcome == StoreOutcome::kAgain ? 200 : 201, {}, out.take() + "\n");
}

Task Node::closeEvent(std::string name, ReplyPtr reply) {
  Job<std::optional<StoreVerdict>> sending = commandStore(CloseEvent{name}, reply);
  const std::optional<StoreVerdict> verdict = co_await sending;
  if (!verdict) co_return;
  if (verdict->outcome == StoreOutcome::kUnknownEvent) {
    sendVerdict(*reply, 404, "unknown_event", {{"event", name}});
    co_return;
  }
  JsonOut out;
  out.object().field("event", name).field("closed", true).closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

}  // namespace stonemount
