// Lots, as callers hand them in and read them back (docs/api.md, design.md 7.4).
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "config/json.h"
#include "node/node.h"
#include "store/stored_text.h"

namespace stonemount {

namespace {
constexpr char kLotSchema[] = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["key", "route", "items"],
  "properties": {
    "key": {"type": "string", "minLength": 1, "maxLength": 200},
    "route": {"type": "string", "minLength": 1},
    "items": {
      "type": "array", "minItems": 1, "maxItems": 2000,
      "items": {
        "type": "object",
        "additionalProperties": false,
        "required": ["id", "prompt"],
        "properties": {
          "id": {"type": "string", "minLength": 1, "maxLength": 200},
          "prompt": {"type": "string", "minLength": 1}
        }
      }
    }
  }
})";
constexpr std::uint32_t kPage = 100;
constexpr std::uint32_t kMostPage = 1000;

const char* stateText(ItemState state) {
  switch (state) {
    case ItemState::kWaiting:
      return "waiting";
    case ItemState::kRunning:
      return "running";
    case ItemState::kSealed:
      return "sealed";
    case ItemState::kRefused:
      return "refused";
  }
  return "unknown";
}

void writeLot(JsonOut& out, const LotVerdict& lot) {
  const bool done = lot.sealed + lot.refused == lot.items || (lot.ended && lot.running == 0);
  out.field("lot", lot.lot).field("event", lot.event).field("route", lot.route);
  out.field("state", done ? (lot.ended ? "ended" : "complete") : lot.ended ? "ending" : "open");
  out.field("items", lot.items).field("sealed", lot.sealed).field("refused", lot.refused).field("running", lot.running);
}

std::uint32_t numberIn(const HeaderMap& query, const char* name, std::uint32_t otherwise) {
  std::uint32_t number = otherwise;
  auto found = query.find(name);
  if (found != query.end() && !absl::SimpleAtoi(found->second, &number)) number = otherwise;
  return number;
}
}  // namespace

void Node::frontLots(const HttpAsk& ask, const Parts& parts, ReplyPtr reply) {
  const CallerTenant caller = tenantOfCaller(configCache_.state().tenantTable(), false, ask.headers);
  if (std::holds_alternative<KeyRefused>(caller)) return sendVerdict(*reply, 401, "unknown_key", {{"ran", "no"}});
  if (parts.size() >= 2 && parts[1] == "events") {
    if (parts.size() == 4 && parts[3] == "lots") {
      if (ask.method != "POST") return methodRefused(*reply, "POST");
      return room_.start(submitLot(ask, parts[2], reply));
    }
    if (parts.size() <= 3) {
      if (ask.method != "GET") return methodRefused(*reply, "GET");
      return room_.start(showEvents(parts.size() == 3 ? parts[2] : "", reply));
    }
  }
  if (parts.size() >= 3 && parts[1] == "lots") {
    const std::string part = parts.size() == 4 ? parts[3] : "";
    if (parts.size() == 4 && part == "end") {
      if (ask.method != "POST") return methodRefused(*reply, "POST");
      return room_.start(endLot(parts[2], reply));
    }
    if (part.empty() || part == "results" || part == "bodies") {
      if (ask.method != "GET") return methodRefused(*reply, "GET");
      return room_.start(showLot(ask, parts[2], part, reply));
    }
  }
  sendVerdict(*reply, 404, "unknown_path", {{"path", ask.path}});
}

Task Node::submitLot(HttpAsk ask, std::string event, ReplyPtr reply) {
  JsonVerdict read = parseJson(ask.body);
  if (auto* bad = std::get_if<BadJson>(&read)) {
    sendVerdict(*reply, 400, "bad_json", {{"at", absl::StrCat(bad->offset)}});
    co_return;
  }
  const JsonDocument& document = std::get<JsonDocument>(read);
  if (std::optional<SchemaFault> fault = checkSchema(kLotSchema, document)) {
    sendVerdict(*reply, 400, "bad_request", {{"field", fault->field}, {"why", fault->keyword}});
    co_return;
  }
  SubmitLot command;
  command.event = event;
  command.key = jsonString(document, "key");
  command.route = jsonString(document, "route");
  command.digest = spread(canonicalJson(document));
  absl::btree_set<std::string> ids;
  for (const JsonValue& given : document["items"].GetArray()) {
    LotItem item{jsonString(given, "id"), jsonString(given, "prompt")};
    if (!ids.insert(item.id).second) {
      const std::string field = absl::StrCat("/items/", command.items.size(), "/id");
      sendVerdict(*reply, 400, "bad_request", {{"field", field}, {"why", "names an item twice"}});
      co_return;
    }
    command.items.push_back(std::move(item));
  }
  auto route = configCache_.state().routes().find(command.route);
  if (configCache_.ready() && (route == configCache_.state().routes().end() || !route->second.lots)) {
    sendVerdict(*reply, 404, "unknown_route", {{"route", command.route}, {"why", "no route of that name takes lots"}});
    co_return;
  }
  Job<std::optional<StoreVerdict>> sending = commandStore(std::move(command), reply);
  const std::optional<StoreVerdict> verdict = co_await sending;
  if (!verdict) co_return;
  if (verdict->outcome == StoreOutcome::kDone || verdict->outcome == StoreOutcome::kAgain) {
    JsonOut out;
    out.object().field("lot", verdict->name).field("again", verdict->outcome == StoreOutcome::kAgain).closeObject();
    reply->whole(verdict->outcome == StoreOutcome::kDone ? 201 : 200, {}, out.take() + "\n");
  } else if (verdict->outcome == StoreOutcome::kConflict) {
    sendVerdict(*reply, 409, "key_has_other_body", {{"lot", verdict->name}});
  } else if (verdict->outcome == StoreOutcome::kUnknownEvent) {
    sendVerdict(*reply, 404, "unknown_event", {{"event", event}});
  } else if (verdict->outcome == StoreOutcome::kNotOpen) {
    sendVerdict(*reply, 409, "event_not_open_yet", {{"event", event}}, 5);
  } else {
    sendVerdict(*reply, 409, "event_closed", {{"event", event}});
  }
}

Task Node::showLot(HttpAsk ask, std::string lot, std::string part, ReplyPtr reply) {
  LotAsk wish;
  wish.lot = lot;
  wish.results = part == "results";
  wish.bodies = part == "bodies";
  wish.from = numberIn(ask.query, "from", 0);
  wish.count = std::min(numberIn(ask.query, "count", kPage), kMostPage);
  Job<ChainAnswer> asking = store_.read(pack(StoreQuery(wish)), 0, 3 * kSecondUs);
  ChainAnswer answer = co_await asking;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) {
    chainFailed(*reply, *failure, false);
    co_return;
  }
  auto read = unpack<LotVerdict>(std::get<Bytes>(answer));
  auto* verdict = std::get_if<LotVerdict>(&read);
  if (verdict == nullptr || verdict->outcome == StoreOutcome::kUnknownLot) {
    sendVerdict(*reply, 404, "unknown_lot", {{"lot", lot}});
    co_return;
  }
  JsonOut out;
  out.object();
  writeLot(out, *verdict);
  if (!part.empty()) {
    out.key(part).array();
    for (const ItemSight& sight : verdict->sights) {
      const bool final = sight.state == ItemState::kSealed || sight.state == ItemState::kRefused;
      if (wish.results && !final) continue;  // each sealed item once, in the order handed in
      out.object().field("id", sight.id);
      if (wish.results) {
        std::variant<Bytes, BadStoredText> text = readStoredText(sight.answer);
        if (std::holds_alternative<BadStoredText>(text)) {
          sendVerdict(*reply, 503, "result_unreadable", {{"lot", lot}});
          co_return;
        }
        const Bytes answerText = std::get<Bytes>(std::move(text));
        out.field("state", stateText(sight.state)).field("run", sight.run);
        out.field("answer", answerText).field("digest", hexText(checksum(answerText)));
      } else {
        out.field("prompt", sight.body).field("state", stateText(sight.state));
      }
      out.closeObject();
    }
    out.closeArray();
    if (verdict->next != 0) out.field("next", verdict->next);
  }
  out.closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

Task Node::endLot(std::string lot, ReplyPtr reply) {
  Job<std::optional<StoreVerdict>> sending = commandStore(EndLot{lot}, reply);
  const std::optional<StoreVerdict> verdict = co_await sending;
  if (!verdict) co_return;
  if (verdict->outcome == StoreOutcome::kUnknownLot) {
    sendVerdict(*reply, 404, "unknown_lot", {{"lot", lot}});
    co_return;
  }
  JsonOut out;
  out.object().field("lot", lot).field("ended", true).field("again", verdict->outcome == StoreOutcome::kAgain);
  out.closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

}  // namespace stonemount
