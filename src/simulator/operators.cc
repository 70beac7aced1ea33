#include "simulator/operators.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

namespace {
constexpr std::size_t kExtraRoutes = 40;
constexpr std::size_t kTries = 4;
constexpr char kConfiguration[] = "configuration";

void usualRoutes(JsonOut& out) {
  out.object().field("name", "digest").field("kind", "stream").field("pool", "models").closeObject();
  out.object().field("name", "review").field("kind", "whole").field("pool", "models").field("lots", true).closeObject();
  out.object()
      .field("name", "card")
      .field("kind", "lookup")
      .field("pool", "apps")
      .field("limitUs", 5000000)
      .closeObject();
}
}  // namespace

SimOperator::SimOperator(Fleet& fleet, SimHost& host, OperatorLedger& ledger)
    : fleet_(fleet), host_(host), ports_(host.ports()), ledger_(ledger) {}

Job<HttpVerdict> SimOperator::ask(std::string method, std::string path, Bytes body, Us limitUs) {
  HttpAsk wish;
  wish.method = std::move(method);
  wish.path = std::move(path);
  wish.body = std::move(body);
  const std::vector<Part*> nodes = fleet_.standing(PartKind::kNode);
  const Address node = nodes[ports_.chance.below(nodes.size())]->host->http();
  HttpCall call(ports_, node, wish, limitUs);
  HttpVerdict verdict = co_await call;
  auto* whole = std::get_if<HttpWhole>(&verdict);
  lastStatus = whole != nullptr ? whole->status : 0;
  co_return verdict;
}

Job<SimOperator::Told> SimOperator::order(std::string method, std::string path, Bytes body, std::size_t most) {
  for (std::size_t tries = 0; tries < most; ++tries) {
    const Us sentUs = fleet_.world().nowUs();
    Job<HttpVerdict> asking = ask(method, path, body, 6 * kSecondUs);
    const HttpVerdict verdict = co_await asking;
    auto* whole = std::get_if<HttpWhole>(&verdict);
    const bool lost = whole != nullptr && ledger_.lostOneIn > 0 && ports_.chance.oneIn(ledger_.lostOneIn);
    ledger_.lost += lost ? 1 : 0;
    if (whole != nullptr && !lost && whole->status < 500) co_return Told{whole->status, whole->body, sentUs};
    Pause pause(ports_.timers, 300 * kMilliUs);
    co_await pause;
  }
  co_return Told{};
}

void SimOperator::pushRoutes(bool first, std::size_t routes) { room_.start(push(first, routes)); }
void SimOperator::createEvent(const std::string& name, Us openForUs) { room_.start(event(name, openForUs)); }
void SimOperator::setZone(const std::string& name, bool evacuated) { room_.start(zone(name, evacuated)); }
void SimOperator::endLot(const std::string& lot) { room_.start(end(lot)); }
void SimOperator::changeVoters(const std::string& path, const Address& add, const Address& remove) {
  room_.start(voters(path, add, remove));
}

// A read begun after an acknowledgement shows at least what was acknowledged, whichever replica answers.
void SimOperator::judgeRead(Revision base, Revision acked) {
  if (base < acked) ledger_.faults.push_back(absl::StrCat("read ", base, " after ", acked, " was acknowledged"));
}

Task SimOperator::push(bool first, std::size_t routes) {
  Revision base = 0;
  if (!first) {
    const Revision acked = ledger_.configAcked.empty() ? 0 : ledger_.configAcked.rbegin()->first;
    const Us sentUs = fleet_.world().nowUs();
    Job<HttpVerdict> showing = ask("GET", "/op/config", "", 5 * kSecondUs);
    const HttpVerdict shown = co_await showing;
    auto* whole = std::get_if<HttpWhole>(&shown);
    if (whole == nullptr || whole->status != 200) co_return;
    JsonVerdict read = parseJson(whole->body);
    if (auto* document = std::get_if<JsonDocument>(&read)) base = static_cast<Revision>(jsonNumber(*document, "base"));
    judgeRead(base, acked);
    ledger_.history.read(kConfiguration, base, 0, sentUs, fleet_.world().nowUs());
  }
  ++ledger_.pushes;
  JsonOut out;
  out.object().field("base", base).key("routes").array();
  if (first) usualRoutes(out);
  const std::size_t begin = ports_.chance.below(kExtraRoutes);
  for (std::size_t i = 0; i < routes; ++i) {
    out.object().field("name", absl::StrCat("extra-", begin + i)).field("kind", "lookup");
    out.field("pool", "apps").field("limitUs", 1000000 + static_cast<Us>(ports_.chance.below(1000))).closeObject();
    if (first) break;
  }
  out.closeArray().closeObject();
  OrderNote note{OrderKind::kSwap, base, base + 1, 0, fleet_.world().nowUs()};
  note.who = absl::StrCat("push ", ledger_.pushes);
  const OrderHistory::Id id = ledger_.history.begin(kConfiguration, std::move(note));
  Job<Told> pushing = order(first ? "PUT" : "PATCH", "/op/config", out.take(), kTries);
  const Told told = co_await pushing;
  const Us nowUs = fleet_.world().nowUs();
  if (told.status == 0) {
    ++ledger_.unsure;
  } else if (told.status == 409) {
    ++ledger_.conflicts;
    ledger_.history.refused(kConfiguration, id, told.sentUs, nowUs);
  } else if (told.status != 200) {
    ++ledger_.refused;
    ledger_.faults.push_back(absl::StrCat("a proper order was refused with ", told.status, ": ", told.body));
  } else {
    ledger_.history.acknowledged(kConfiguration, id, nowUs);
    JsonVerdict read = parseJson(told.body);
    if (auto* document = std::get_if<JsonDocument>(&read))
      ledger_.configAcked.emplace(static_cast<Revision>(jsonNumber(*document, "config")), nowUs);
  }
}

Task SimOperator::event(std::string name, Us openForUs) {
  JsonOut out;
  const Us startUs = ports_.clock.wallUs() - kSecondUs;
  out.object().field("name", name).field("startUs", startUs).field("closeUs", startUs + openForUs).closeObject();
  const Bytes body = out.take();
  for (int i = 0; i < 20; ++i) {
    Job<HttpVerdict> asking = ask("POST", "/op/events", body, 5 * kSecondUs);
    const HttpVerdict verdict = co_await asking;
    auto* whole = std::get_if<HttpWhole>(&verdict);
    if (whole != nullptr && whole->status < 300) co_return;
    Pause pause(ports_.timers, 300 * kMilliUs);
    co_await pause;
  }
}

Task SimOperator::zone(std::string name, bool evacuated) {
  if (evacuated) {
    ledger_.zoneRestoreAsked.erase(name);
  } else {  // from the asking on it may be restored
    ledger_.zoneEvacuated.erase(name);
    ledger_.zoneRestoreAsked.insert(name);
  }
  const std::string path = "/op/zones/" + name + (evacuated ? "/evacuate" : "/restore");
  OrderNote note{OrderKind::kWrite, 0, 0, evacuated ? 2u : 1u, fleet_.world().nowUs()};
  note.who = path;
  const OrderHistory::Id id = ledger_.history.begin(name, std::move(note));
  // An evacuation is asked for once: it may be withdrawn before a second try comes to its end.
  Job<Told> asking = order("POST", path, "", evacuated ? 1 : kTries);
  const Told told = co_await asking;
  if (told.status != 200) co_return;
  ledger_.history.acknowledged(name, id, fleet_.world().nowUs());
  if (evacuated && !ledger_.zoneRestoreAsked.contains(name)) ledger_.zoneEvacuated[name] = fleet_.world().nowUs();
}

Task SimOperator::end(std::string lot) {
  ledger_.lotEndAsked.insert(lot);
  Job<HttpVerdict> asking = ask("POST", "/v1/lots/" + lot + "/end", "", 6 * kSecondUs);
  const HttpVerdict verdict = co_await asking;
  auto* whole = std::get_if<HttpWhole>(&verdict);
  if (whole != nullptr && whole->status == 200) ledger_.lotEnded[lot] = fleet_.world().nowUs();
}

Task SimOperator::voters(std::string path, Address add, Address remove) {
  JsonOut out;
  out.object();
  if (add.set()) out.field("add", addressText(add));
  if (remove.set()) out.field("remove", addressText(remove));
  out.closeObject();
  Job<HttpVerdict> asking = ask("POST", path, out.take(), 12 * kSecondUs);
  co_await asking;
}

}  // namespace stonemount
