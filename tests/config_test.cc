// The users' configuration in the state behind the control chain: what is invalid changes nothing, what is
// taken is told back as it was sent, sent again it is the same, and nobody's bytes stop the process.
#include <rapidcheck.h>

#include <cstdio>

#include "config_told.h"
#include "control/control_machine.h"
#include "platform_texts.h"

using namespace stonemount;

namespace {
ControlVerdict give(ControlMachine& machine, const ConfigRequest& wish) {
  ControlCommand command = PutConfig{wish};
  auto read = unpack<ControlVerdict>(machine.apply(pack(command)));
  RC_ASSERT(std::holds_alternative<ControlVerdict>(read));
  return std::get<ControlVerdict>(read);
}
// Nothing, where the body itself will not do.
std::optional<ControlVerdict> send(ControlMachine& machine, const HttpAsk& ask) {
  ConfigReading reading = readConfiguration(ask);
  if (std::holds_alternative<BadConfig>(reading)) return std::nullopt;
  return give(machine, std::get<ConfigRequest>(reading));
}
bool taken(const std::optional<ControlVerdict>& verdict) {
  return verdict && verdict->outcome == ControlOutcome::kDone;
}

void invalidChangesNothing() {
  ControlMachine machine;
  RC_ASSERT(taken(send(machine, configAsk("PUT", "0", plainPut(5)))));
  const Bytes before = machine.save();
  std::vector<std::pair<std::string, HttpAsk>> asks;
  for (const auto& [what, body] : invalidPuts()) asks.emplace_back(what, configAsk("PUT", "5", body));
  for (const auto& [what, body] : invalidPatches()) asks.emplace_back(what, configAsk("PATCH", "5", body));
  for (const char* match : {"", "x", "-5", "5x", "*", "1.5", "99999999999999999999999"})
    asks.emplace_back(match, configAsk("PUT", match, plainPut(7)));
  asks.emplace_back("no match", configAsk("PUT", "", plainPut(7))).second.headers.clear();
  for (const auto& [what, ask] : asks) {
    if (taken(send(machine, ask))) RC_FAIL(what + " was taken");
    if (machine.save() != before) RC_FAIL(what + " changed something");
  }
  RC_ASSERT(send(machine, configAsk("PUT", "4", plainPut(7)))->outcome == ControlOutcome::kConflict);
  RC_ASSERT(machine.save() == before);
  RC_ASSERT(taken(send(machine, configAsk("PUT", " \"5\" ", plainPut(7)))));
}

void sentAgainIsTheSame() {
  ControlMachine machine;
  const HttpAsk first = configAsk("PUT", "0", plainPut(5));
  RC_ASSERT(taken(send(machine, first)));
  const Bytes afterFirst = machine.save();
  RC_ASSERT(send(machine, first)->outcome == ControlOutcome::kUnchanged);
  RC_ASSERT(machine.save() == afterFirst);
  // Two on one base: one of them prevails; sent again, each is answered as before, also after later ones.
  const HttpAsk left = configAsk("PATCH", "5", patchText(8, {routeText({.prefix = "/left/"})}, {}));
  const HttpAsk right = configAsk("PATCH", "5", patchText(9, {routeText({.prefix = "/right/"})}, {}));
  RC_ASSERT(taken(send(machine, left)));
  RC_ASSERT(send(machine, right)->outcome == ControlOutcome::kConflict);
  ControlMachine loaded;
  RC_ASSERT(loaded.load(machine.save()));
  for (std::uint64_t revision = 20; revision < 270; ++revision)
    RC_ASSERT(
        taken(send(loaded, configAsk("PUT", std::to_string(loaded.state().configRevision()), plainPut(revision)))));
  RC_ASSERT(send(loaded, left)->outcome == ControlOutcome::kUnchanged);
  RC_ASSERT(send(loaded, right)->outcome == ControlOutcome::kConflict);
  // The same number with other content, or on another base, is another wish.
  RC_ASSERT(send(loaded, configAsk("PATCH", "6", left.body))->outcome == ControlOutcome::kConflict);
  RC_ASSERT(loaded.state().configRevision() == 269);
}

// Any row of pushes and patches leaves what a plain list would hold, in its order.
void readsBackAsSent(std::uint64_t seed) {
  Chance chance(seed);
  ControlMachine machine;
  std::vector<std::pair<std::string, std::string>> listed;  // name, text
  std::uint64_t revision = 0;
  const std::vector<std::string> services = {serviceText("s1"), serviceText("s0")};
  for (int step = 0; step < 12; ++step) {
    const std::uint64_t next = revision + 1 + chance.below(5);
    const bool whole = revision == 0 || chance.oneIn(3);
    std::vector<std::string> texts, removed;
    std::vector<std::pair<std::string, std::string>> wished;
    absl::btree_set<std::uint64_t> used;
    for (std::uint64_t i = 0; i < 1 + chance.below(6); ++i) {
      const std::uint64_t number = chance.below(12);
      if (!used.insert(number).second) continue;
      RouteWish wish;
      wish.name = absl::StrCat("r-", number);
      wish.prefix = absl::StrCat("/p", number, "/");
      wish.guard = absl::StrCat(1 + chance.below(9000), ".", chance.below(1000));
      wish.services = chance.oneIn(2) ? R"("Service":"s0")"
                                      : R"("Distribution":[{"Service":"s0","Share":0.3},{"Service":"s1","Share":7}])";
      wished.emplace_back(wish.name, routeText(wish));
      texts.push_back(wished.back().second);
    }
    if (whole) {
      listed = wished;
    } else {
      for (const auto& item : wished) {
        auto found = listed.begin();
        while (found != listed.end() && found->first != item.first) ++found;
        if (found == listed.end())
          listed.push_back(item);
        else
          *found = item;
      }
      for (std::uint64_t number = 0; number < 12; ++number) {
        if (used.contains(number) || !chance.oneIn(6)) continue;
        removed.push_back(absl::StrCat("r-", number));
        for (auto item = listed.begin(); item != listed.end(); ++item)
          if (item->first == removed.back()) {
            listed.erase(item);
            break;
          }
      }
    }
    const std::string body = whole ? putText(next, texts, services) : patchText(next, texts, removed);
    RC_ASSERT(taken(send(machine, configAsk(whole ? "PUT" : "PATCH", std::to_string(revision), body))));
    revision = next;
    if (chance.oneIn(4)) RC_ASSERT(machine.load(machine.save()));
    std::vector<std::string> all;
    for (const auto& item : listed) all.push_back(item.second);
    RC_ASSERT(canonical(told(machine)) == canonical(putText(revision, all, services)));
    for (const auto& [name, route] : machine.state().routes())
      RC_ASSERT(machine.state().routeFor("a.example", route.prefix + "x") == &route);
  }
}

// What is kept beside: other fields of the whole, and what a return brings back.
void theRestIsKept() {
  ControlMachine machine;
  const std::string body =
      R"({"Extra":[1.25],"Revision":3,"Routes":[)" + routeText({}) + R"(],"Services":[)" + serviceText("s0") + "]}";
  RC_ASSERT(taken(send(machine, configAsk("PUT", "0", body))));
  RC_ASSERT(canonical(told(machine)) == canonical(body));
  RC_ASSERT(taken(send(machine, configAsk("PUT", "3", putText(10, {}, {})))));
  RC_ASSERT(machine.state().pools().empty() && machine.state().limits().idleUs == 15 * kSecondUs);
  ControlCommand back = ReturnConfig{10, 3};
  machine.apply(pack(back));
  RC_ASSERT(machine.state().configRevision() == 11);
  const std::string returned = R"({"Revision":11)" + body.substr(body.find(",\"Routes\""));
  RC_ASSERT(canonical(told(machine)) == canonical(R"({"Extra":[1.25],)" + returned.substr(1)));
  const Route& route = machine.state().routes().at("r-1");
  RC_ASSERT(route.kind == RouteKind::kStream && route.limitUs == 4000500 && route.targetUs == 400 * kMilliUs);
  RC_ASSERT(route.resumable && route.affinity && route.attempts == 2 && route.pool == "s0");
  const Pool& pool = machine.state().pools().at("s0");
  RC_ASSERT(pool.warmPerKs == 32250 && pool.warmUs == 3500 * kMilliUs && pool.slots == 32 &&
            pool.cacheTokens == 830505);
  ControlCommand unknown = ReturnConfig{11, 7};  // a number that was leapt over
  auto read = unpack<ControlVerdict>(machine.apply(pack(unknown)));
  RC_ASSERT(std::get<ControlVerdict>(read).outcome == ControlOutcome::kUnknownRevision);
}

// Bytes that nobody wrote, and sound bodies with damage: read or refused, and what is taken can be told.
void damagedBodies(std::uint64_t seed) {
  Chance chance(seed);
  std::string body = chance.oneIn(2) ? plainPut(7) : patchText(7, {routeText({.prefix = "/two/"})}, {"r-9"});
  const HttpAsk whole = configAsk(body.find("Upsert") == std::string::npos ? "PUT" : "PATCH", "5", body);
  for (std::uint64_t i = 0; i <= chance.below(4); ++i) {
    const char* pieces[] = {"null", "-1",  "1e400", "{}", "[", "\"", "\\u0000", "1e300", "9223372036854775808",
                            "\xff", "true"};
    const std::size_t at = chance.below(body.size());
    const std::uint64_t harm = chance.below(3);
    if (harm == 0) body.resize(at + 1);
    if (harm == 1) body[at] = static_cast<char>(chance.below(256));
    if (harm == 2) body.replace(at, chance.below(6), pieces[chance.below(11)]);
  }
  for (const std::string& text : {body, Bytes(chance.below(50000), '['), std::string(chance.below(20), '"')}) {
    ControlMachine machine;
    RC_ASSERT(taken(send(machine, configAsk("PUT", "0", plainPut(5)))));
    HttpAsk ask = whole;
    ask.body = text;
    send(machine, ask);
    canonical(told(machine));
    RC_ASSERT(machine.load(machine.save()));
  }
}

// In the product's own terms: pools and what goes with them, and a number of the operator's own.
void ownTerms() {
  JsonVerdict read =
      parseJson(R"({"base":0,"next":4,"routes":[{"name":"a","kind":"stream","host":"h","prefix":"/a/","resumable":true,
    "shares":[{"pool":"p","weight":9},{"pool":"q","weight":1}],"targetUs":5,"gapTargetUs":6,"attempts":2,"precedence":1,"affinity":true}],
    "pools":[{"name":"p","healthPath":"/h","warmPerKs":5},{"name":"q"}],"limits":{"idleUs":9000}})");
  ConfigVerdict verdict = readConfig(std::get<JsonDocument>(read), true);
  RC_ASSERT(std::holds_alternative<ConfigRequest>(verdict));
  ControlMachine machine;
  RC_ASSERT(give(machine, std::get<ConfigRequest>(verdict)).configRevision == 4);
  RC_ASSERT(machine.state().routeFor("h", "/a/x") != nullptr && machine.state().limits().idleUs == 9000);
  JsonOut out;
  writeRoute(out, machine.state().routes().at("a"));
  const std::string again = R"({"base":4,"routes":[)" + out.take() + R"(]})";
  JsonVerdict patch = parseJson(again);
  verdict = readConfig(std::get<JsonDocument>(patch), false);
  RC_ASSERT(std::holds_alternative<ConfigRequest>(verdict));
  RC_ASSERT(give(machine, std::get<ConfigRequest>(verdict)).configRevision == 5);
  RC_ASSERT(machine.state().routes().at("a").changed == 1);  // it is what stood there
  ConfigRequest away;
  away.whole = false;
  away.base = 5;
  away.removedPools = {"q"};
  const ControlVerdict refused = give(machine, away);
  RC_ASSERT(refused.outcome == ControlOutcome::kInvalid && refused.flaw == ConfigFlaw::kUnknownPool &&
            refused.flawed == "a");
}

ControlOutcome list(ControlMachine& machine, std::uint64_t number, bool numbered, const std::string& life) {
  ControlCommand command = PutWorkers{number, numbered, {{{1, 1}, "p", "z", 1, false, life}}};
  auto read = unpack<ControlVerdict>(machine.apply(pack(command)));
  return std::get<ControlVerdict>(read).outcome;
}

// Of two lists from the same number on, only the first is taken: the other may have been heard before it.
void listsAreFenced() {
  ControlMachine machine;
  RC_ASSERT(list(machine, 1, true, "old") == ControlOutcome::kDone);
  RC_ASSERT(list(machine, 2, true, "new") == ControlOutcome::kDone);
  RC_ASSERT(list(machine, 2, true, "old") == ControlOutcome::kOlder);
  RC_ASSERT(list(machine, 1, false, "old") == ControlOutcome::kOlder);
  RC_ASSERT(machine.state().workers().begin()->second.life == "new");
  RC_ASSERT(list(machine, 2, false, "new") == ControlOutcome::kUnchanged);
}
}  // namespace

int main() {
  bool well = rc::check("invalid changes nothing", invalidChangesNothing);
  well &= rc::check("sent again is the same", sentAgainIsTheSame);
  well &= rc::check("reads back as sent", readsBackAsSent);
  well &= rc::check("the rest is kept", theRestIsKept);
  well &= rc::check("damaged bodies", damagedBodies);
  well &= rc::check("own terms", ownTerms);
  well &= rc::check("lists are fenced", listsAreFenced);
  return well ? 0 : 1;
}
