// Operator commands: each is one HTTP ask to any node (docs/operators/commands.md).
#include <absl/flags/flag.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "adapters/http.h"
#include "cli/flags.h"
#include "config/json.h"
#include "runtime/http_call.h"

namespace stonemount {

namespace {
struct BadWords {
  std::string why;
};
using AskVerdict = std::variant<HttpAsk, BadWords>;

HttpAsk plainAsk(const char* method, const std::string& path) {
  HttpAsk ask;
  ask.method = method;
  ask.path = path;
  return ask;
}

AskVerdict fileAsk(const char* method, const std::string& path, const std::string& file) {
  HttpAsk ask = plainAsk(method, path);
  std::optional<std::string> text = readWholeFile(file);
  if (!text) return BadWords{"cannot read " + file};
  ask.body = std::move(*text);
  return ask;
}

HttpAsk bodyAsk(const char* method, const std::string& path, const JsonOut& body) {
  HttpAsk ask = plainAsk(method, path);
  ask.body = body.take();
  return ask;
}

AskVerdict numbersAsk(const std::string& path, const std::vector<std::pair<std::string, std::string>>& numbers,
                      const std::string& name) {
  JsonOut out;
  out.object();
  if (!name.empty()) out.field("name", name);
  for (const auto& [key, text] : numbers) {
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(text, &number)) return BadWords{"'" + text + "' is not a whole number"};
    out.field(key, number);
  }
  out.closeObject();
  return bodyAsk("POST", path, out);
}

HttpAsk seatsAsk(const std::string& path, const std::string& add, const std::string& remove) {
  JsonOut out;
  out.object();
  if (!add.empty()) out.field("add", add);
  if (!remove.empty()) out.field("remove", remove);
  out.closeObject();
  return bodyAsk("POST", path, out);
}

AskVerdict configAsk(const std::vector<std::string>& w) {
  if (w.size() == 2 && w[1] == "show") return plainAsk("GET", "/op/config");
  if (w.size() == 2 && w[1] == "history") return plainAsk("GET", "/op/config/history");
  if (w.size() == 3 && w[1] == "push") return fileAsk("PUT", "/op/config", w[2]);
  if (w.size() == 3 && w[1] == "patch") return fileAsk("PATCH", "/op/config", w[2]);
  if (w.size() == 4 && w[1] == "return") return numbersAsk("/op/config/return", {{"base", w[2]}, {"to", w[3]}}, "");
  return BadWords{"config show | history | push FILE | patch FILE | return BASE TO"};
}

AskVerdict eventAsk(const std::vector<std::string>& w) {
  if (w.size() == 2 && w[1] == "list") return plainAsk("GET", "/op/events");
  if (w.size() == 3 && w[1] == "show") return plainAsk("GET", "/op/events/" + w[2]);
  if (w.size() == 3 && w[1] == "close") return plainAsk("POST", "/op/events/" + w[2] + "/close");
  if (w.size() == 5 && w[1] == "create") return numbersAsk("/op/events", {{"startUs", w[3]}, {"closeUs", w[4]}}, w[2]);
  if (w.size() == 7 && w[1] == "create")
    return numbersAsk("/op/events", {{"startUs", w[3]}, {"closeUs", w[4]}, {"quota", w[5]}, {"windowUs", w[6]}}, w[2]);
  return BadWords{"event create NAME START_US CLOSE_US [QUOTA WINDOW_US] | show NAME | list | close NAME"};
}

AskVerdict lotAsk(const std::vector<std::string>& w) {
  if (w.size() == 4 && w[1] == "submit") return fileAsk("POST", "/v1/events/" + w[2] + "/lots", w[3]);
  if (w.size() == 3 && w[1] == "show") return plainAsk("GET", "/v1/lots/" + w[2]);
  if (w.size() == 3 && w[1] == "end") return plainAsk("POST", "/v1/lots/" + w[2] + "/end");
  if ((w.size() == 3 || w.size() == 4) && (w[1] == "results" || w[1] == "bodies")) {
    HttpAsk ask = plainAsk("GET", "/v1/lots/" + w[2] + "/" + w[1]);
    if (w.size() == 4) ask.query["from"] = w[3];
    return ask;
  }
  return BadWords{"lot submit EVENT FILE | show LOT | results LOT [FROM] | bodies LOT [FROM] | end LOT"};
}

AskVerdict readWords(const std::vector<std::string>& w) {
  const std::string verb = w.size() > 1 ? w[1] : "";
  if (w[0] == "config") return configAsk(w);
  if (w[0] == "event") return eventAsk(w);
  if (w[0] == "lot") return lotAsk(w);
  if (w[0] == "zone" && w.size() == 3 && (verb == "evacuate" || verb == "restore"))
    return plainAsk("POST", "/op/zones/" + w[2] + "/" + verb);
  if (w[0] == "store" && verb == "list") return plainAsk("GET", "/op/store");
  if ((w[0] == "store" || w[0] == "core") && verb == "replace" && w.size() == 4)
    return seatsAsk("/op/" + w[0] + "/replace", w[3], w[2]);
  if (w[0] == "store" && verb == "add" && w.size() == 3) return seatsAsk("/op/store/add", w[2], "");
  if (w[0] == "store" && verb == "retire" && w.size() == 3) return seatsAsk("/op/store/retire", "", w[2]);
  if (w[0] == "worker" && verb == "list") return plainAsk("GET", "/op/workers");
  if (w[0] == "status" && w.size() == 1) return plainAsk("GET", "/op/status");
  if (w[0] == "clock" && verb == "show") return plainAsk("GET", "/op/clock");
  if (w[0] == "metrics" && w.size() == 1) return plainAsk("GET", "/metrics");
  if (w[0] == "metrics" && w.size() == 2 && verb == "latency") return plainAsk("GET", "/metrics/latency");
  if (w[0] == "doctor" && w.size() == 1) return plainAsk("GET", "/op/doctor");
  return BadWords{"unknown command; see stonemount help"};
}

void writePlain(const JsonValue& value, const std::string& indent, std::string& out) {
  if (value.IsObject()) {
    for (const auto& member : value.GetObject()) {
      const bool nested = member.value.IsObject() || (member.value.IsArray() && !member.value.Empty());
      absl::StrAppend(&out, indent, member.name.GetString(), nested ? ":\n" : ": ");
      if (nested)
        writePlain(member.value, indent + "  ", out);
      else
        absl::StrAppend(&out, member.value.IsString() ? member.value.GetString() : jsonText(member.value), "\n");
    }
  } else if (value.IsArray()) {
    for (const JsonValue& element : value.GetArray()) {
      if (element.IsObject()) {
        std::string inner;
        writePlain(element, indent + "  ", inner);
        if (inner.size() > indent.size()) inner[indent.size()] = '-';
        out += inner;
      } else {
        absl::StrAppend(&out, indent, "- ", element.IsString() ? element.GetString() : jsonText(element), "\n");
      }
    }
  } else {
    absl::StrAppend(&out, indent, jsonText(value), "\n");
  }
}

std::string shownBody(const Bytes& body) {
  if (absl::GetFlag(FLAGS_json)) return body;
  JsonVerdict read = parseJson(body);
  auto* document = std::get_if<JsonDocument>(&read);
  if (document == nullptr) return body;
  std::string out;
  writePlain(*document, "", out);
  return out;
}

Exit exitOf(const HttpWhole& whole, const std::string& command) {
  if (whole.status == 409) return whole.headers.contains("retry-after") ? Exit::kUnreachable : Exit::kConflict;
  if (whole.status >= 500 || whole.status == 429) return Exit::kUnreachable;
  if (whole.status >= 400) return Exit::kRefused;
  const bool findings = command == "doctor" && whole.body.find("\"healthy\":false") != Bytes::npos;
  return findings ? Exit::kFindings : Exit::kDone;
}

struct Errand {
  Exit exit = Exit::kUnreachable;
  std::string shown = "no node answered";
};

Task run(Ports& ports, Loop& loop, HttpAsk ask, std::vector<Address> nodes, std::string command, Errand& errand) {
  for (const Address& node : nodes) {
    HttpCall call(ports, node, ask, 15 * kSecondUs);
    const HttpVerdict verdict = co_await call;
    auto* whole = std::get_if<HttpWhole>(&verdict);
    if (whole == nullptr) continue;  // the next node gives the same answer
    errand.exit = exitOf(*whole, command);
    errand.shown = shownBody(whole->body);
    break;
  }
  loop.stop();
}

class SilentWire : public Wire {
 public:
  Address self() const override { return {}; }
  void post(const Address&, Bytes) override {}
};
}  // namespace

NodesVerdict nodesGiven() {
  std::vector<Address> nodes;
  for (const std::string& text : absl::GetFlag(FLAGS_node)) {
    auto address = parseAddress(text);
    if (!std::holds_alternative<Address>(address)) return BadNodes{"node: '" + text + "' is not IP:PORT"};
    nodes.push_back(std::get<Address>(address));
  }
  if (nodes.empty()) return BadNodes{"node: give --node=IP:PORT of any node"};
  return nodes;
}

int runOperator(const std::vector<std::string>& words) {
  AskVerdict read = readWords(words);
  if (auto* bad = std::get_if<BadWords>(&read)) return say(Exit::kUsage, bad->why);
  NodesVerdict nodes = nodesGiven();
  if (auto* bad = std::get_if<BadNodes>(&nodes)) return say(Exit::kUsage, bad->why);
  Loop loop;
  SilentWire wire;
  HttpInEv httpIn(loop, Address());
  HttpOutEv httpOut(loop);
  Chance chance(1);
  Ports ports{loop, loop, wire, httpIn, httpOut, nullptr, chance};
  Errand errand;
  TaskRoom room;
  room.start(run(ports, loop, std::get<HttpAsk>(read), std::get<std::vector<Address>>(nodes), words[0], errand));
  loop.run();
  return say(errand.exit, errand.shown);
}

}  // namespace stonemount
