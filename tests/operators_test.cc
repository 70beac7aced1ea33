// Operators and callers over HTTP in a simulated fleet: bad input changes nothing, races have one
// winner, every node answers alike, machines are added, replaced and retired under writes.
#include <absl/strings/str_cat.h>

#include "asking.h"

using namespace stonemount;

namespace {
void badInputChangesNothing() {
  Asking fleet(1);
  const Bytes configBefore = fleet.ask("GET", "/op/config").body;
  struct Case {
    const char* method;
    const char* path;
    Bytes body;
    int status;
    const char* verdict;
  };
  const std::string items = R"("items":[{"id":"a","prompt":"p"}])";
  const Case cases[] = {
      {"POST", "/v1/streams/digest", "{", 400, "bad_json"},
      {"POST", "/v1/streams/digest", R"({"prompt":"p","colour":1})", 400, "/colour"},
      {"POST", "/v1/streams/digest", R"({"prompt":5})", 400, "/prompt"},
      {"POST", "/v1/streams/nowhere", R"({"prompt":"p"})", 404, "unknown_route"},
      {"POST", "/v1/streams/review", R"({"prompt":"p"})", 404, "other_kind_of_route"},
      {"GET", "/v1/streams/digest", "", 405, "wrong_method"},
      {"POST", "/v1/lookups/card", "", 405, "wrong_method"},
      {"GET", "/v1/lookups/card", "", 400, "key"},
      {"GET", "/v1/nothing", "", 404, "unknown_path"},
      {"POST", "/v1/streams/digest", Bytes(5 << 20, 'x'), 413, "body_too_long"},
      {"POST", "/v1/events/night/lots", R"({"key":"k","route":"review"})", 400, "/items"},
      {"POST", "/v1/events/night/lots", R"({"key":"k","route":"review","items":[]})", 400, "/items"},
      {"POST", "/v1/events/night/lots",
       R"({"key":"k","route":"review","items":[{"id":"a","prompt":"p"},{"id":"a","prompt":"q"}]})", 400, "/items/1/id"},
      {"POST", "/v1/events/night/lots", R"({"key":"k","route":"digest",)" + items + "}", 404, "unknown_route"},
      {"POST", "/v1/events/dawn/lots", R"({"key":"k","route":"review",)" + items + "}", 404, "unknown_event"},
      {"GET", "/v1/lots/lot-99", "", 404, "unknown_lot"},
      {"POST", "/v1/lots/lot-99/end", "", 404, "unknown_lot"},
      {"PUT", "/op/config", R"({"base":1,"routes":[{"name":"x","kind":"odd","pool":"p"}]})", 400, "/routes/0/kind"},
      {"PUT", "/op/config", R"({"base":0,"routes":[]})", 409, "conflict"},
      {"POST", "/op/config/return", R"({"base":1,"to":77})", 404, "unknown_revision"},
      {"POST", "/op/events", R"({"name":"x","startUs":5,"closeUs":5})", 400, "/closeUs"},
      {"POST", "/op/events/dawn/close", "", 404, "unknown_event"},
      {"POST", "/op/store/retire", R"({"remove":"not an address"})", 400, "bad_request"},
      {"POST", "/op/store/retire", R"({"remove":"127.9.9.9:7000"})", 404, "unknown_member"}};
  std::size_t node = 0;
  for (const Case& one : cases) {
    const Answer answer = fleet.ask(one.method, one.path, one.body, node++ % 6);
    fleet.expect(answer.status == one.status && answer.has(one.verdict),
                 absl::StrCat(one.method, " ", one.path, " gave ", answer.status, " ", answer.body));
  }
  fleet.expect(fleet.ask("GET", "/op/config").body == configBefore, "the configuration is as it was");
  fleet.expect(fleet.ask("GET", "/op/clock").has("\"lots\":0"), "no lot came to be");
}

void lotsByKey() {
  Asking fleet(2);
  const Bytes body = R"({"key":"k1","route":"review","items":[{"id":"a","prompt":"one"},{"id":"b","prompt":"two"}]})";
  const Answer first = fleet.ask("POST", "/v1/events/night/lots", body, 0);
  fleet.expect(first.status == 201 && first.has("lot-1"), "a lot is accepted: " + first.body);
  for (std::size_t node = 0; node < 6; ++node)
    fleet.expect(fleet.ask("GET", "/v1/lots/lot-1", "", node).status == 200, "readable at once from every node");
  fleet.expect(fleet.ask("POST", "/v1/events/night/lots", body, 3).has("\"again\":true"),
               "the same key is the same lot");
  const Bytes other = R"({"key":"k1","route":"review","items":[{"id":"a","prompt":"three"}]})";
  const Answer conflict = fleet.ask("POST", "/v1/events/night/lots", other, 4);
  fleet.expect(conflict.status == 409 && conflict.has("lot-1"), "the same key with another body is a conflict");
  fleet.fleet.run(10 * kSecondUs);
  const Answer results = fleet.ask("GET", "/v1/lots/lot-1/results?count=1", "", 5);
  fleet.expect(results.has("\"next\":1") && results.has("\"id\":\"a\"") && !results.has("\"id\":\"b\""),
               "results are paged");
  fleet.expect(fleet.ask("GET", "/v1/lots/lot-1/results?from=1", "", 1).has("\"id\":\"b\""), "the next page");
  fleet.expect(fleet.ask("GET", "/v1/lots/lot-1/bodies", "", 2).has("\"prompt\":\"two\""), "bodies as handed in");
  fleet.expect(fleet.ask("POST", "/op/events/night/close", "", 2).status == 200, "an event is closed");
  const Bytes late = R"({"key":"k2","route":"review","items":[{"id":"a","prompt":"p"}]})";
  fleet.expect(fleet.ask("POST", "/v1/events/night/lots", late, 0).has("event_closed"), "a closed event takes no lot");
  fleet.expect(fleet.ask("POST", "/v1/events/night/lots", body, 0).has("\"again\":true"), "but knows its keys");
}

void racesHaveOneWinner() {
  Asking fleet(3);
  for (int round = 0; round < 10; ++round) {
    OperatorLedger one, other;
    SimOperator left(fleet.fleet, fleet.host, one), right(fleet.fleet, fleet.host, other);
    left.pushRoutes(false);
    right.pushRoutes(false);
    while (!left.idle() || !right.idle()) fleet.fleet.run(20 * kMilliUs);
    for (const auto& [revision, atUs] : one.configAcked)
      fleet.expect(!other.configAcked.contains(revision), "two operators were told the same revision");
    fleet.expect(one.configAcked.size() + other.configAcked.size() + one.refused + other.refused > 0,
                 "a race has a winner");
  }
  fleet.fleet.run(2 * kSecondUs);
  const Bytes first = fleet.ask("GET", "/op/config", "", 0).body;
  for (std::size_t node = 1; node < 6; ++node)
    fleet.expect(fleet.ask("GET", "/op/config", "", node).body == first, "every node answers alike");
  const Answer returned = fleet.ask(
      "POST", "/op/config/return",
      absl::StrCat(R"({"base":)", jsonNumber(std::get<JsonDocument>(parseJson(first)), "base"), R"(,"to":1})"));
  fleet.expect(returned.status == 200, "an older content comes back as a new revision: " + returned.body);
  fleet.expect(fleet.ask("GET", "/op/config/history").has("return to 1"), "and history tells it");
}

std::string say(const Address& add, const Address& remove) {
  std::string body = "{";
  if (add.set()) body += "\"add\":\"" + addressText(add) + "\"";
  if (remove.set()) body += std::string(add.set() ? "," : "") + "\"remove\":\"" + addressText(remove) + "\"";
  return body + "}";
}

struct ChainHas {
  Fleet& fleet;
  PartKind kind;
  Address member;
  bool wanted;
  bool holds() const {
    for (Part* part : fleet.of(kind)) {
      const Replica* one = fleet.memberOf(*part);
      if (one != nullptr && one->tail()) return (findSeat(one->view().chain, member) != nullptr) == wanted;
    }
    return false;
  }
};

void machinesComeAndGo() {
  Asking fleet(4);
  fleet.fleet.startCallers();
  fleet.fleet.run(3 * kSecondUs);
  Part& newStore = fleet.fleet.addSpare(PartKind::kStore, "olomouc", 31);
  Part& newCore = fleet.fleet.addSpare(PartKind::kCore, "zlin", 11);
  fleet.fleet.start(newStore);
  fleet.fleet.start(newCore);
  const Address oldStore = fleet.fleet.of(PartKind::kStore)[1]->host->wire();
  const Address oldCore = fleet.fleet.of(PartKind::kCore)[2]->host->wire();
  const Answer added = fleet.ask("POST", "/op/store/add", say(newStore.host->wire(), {}));
  fleet.expect(added.status == 200, "a store is added: " + added.body);
  fleet.expect(fleet.until(ChainHas{fleet.fleet, PartKind::kStore, newStore.host->wire(), true}),
               "and is in the chain");
  const Answer retired = fleet.ask("POST", "/op/store/retire", say({}, oldStore));
  fleet.expect(retired.status == 200, "a store is retired: " + retired.body);
  fleet.expect(fleet.until(ChainHas{fleet.fleet, PartKind::kStore, oldStore, false}), "and out of the chain");
  // A core is lost for good, and replaced by an empty machine at another address.
  fleet.fleet.kill(*fleet.fleet.of(PartKind::kCore)[2], true);
  fleet.fleet.run(3 * kSecondUs);
  const Answer replaced = fleet.ask("POST", "/op/core/replace", say(newCore.host->wire(), oldCore));
  fleet.expect(replaced.status == 200, "a core is replaced: " + replaced.body);
  fleet.expect(fleet.until(ChainHas{fleet.fleet, PartKind::kCore, newCore.host->wire(), true}),
               "the new core is in the chain");
  // Now the replaced ones may go without loss, and one more machine of each.
  fleet.fleet.kill(*fleet.fleet.of(PartKind::kStore)[1], true);
  fleet.fleet.kill(*fleet.fleet.of(PartKind::kStore)[0], true);
  fleet.fleet.run(15 * kSecondUs);
  fleet.expect(fleet.ask("GET", "/op/config").status == 200, "control answers");
  fleet.fleet.stopCallers();
  for (int i = 0; i < 200 && !fleet.fleet.callersDone(); ++i) fleet.fleet.run(500 * kMilliUs);
  Checker judge(fleet.fleet, fleet.ledger);
  judge.conclude();
  for (const std::string& fault : judge.faults()) fleet.expect(false, fault);
  fleet.expect(judge.tally().lotsComplete == judge.tally().lotsAccepted && judge.tally().lotsAccepted > 0,
               "all lots complete");
}

// An order for a zone that follows the last one at once, at another node, which has not heard of that one yet.
void ordersOfAZoneFollowAtOnce() {
  constexpr int kRounds = 60;
  for (std::uint64_t seed = 40; seed < 43; ++seed) {
    Asking fleet(seed);
    const std::string zone = fleet.fleet.shape().zones.front();
    for (int round = 0; round < kRounds; ++round) {
      const std::string verb = round % 2 == 0 ? "/evacuate" : "/restore";
      const Answer answer = fleet.ask("POST", "/op/zones/" + zone + verb, "", static_cast<std::size_t>(round) % 6);
      fleet.expect(answer.status == 200,
                   absl::StrCat("round ", round, verb, " gave ", answer.status, " ", answer.body));
    }
  }
}

}  // namespace

int main() {
  badInputChangesNothing();
  lotsByKey();
  racesHaveOneWinner();
  machinesComeAndGo();
  ordersOfAZoneFollowAtOnce();
  std::printf("%d passed, %d failed\n", Asking::passed, Asking::failed);
  return Asking::failed == 0 ? 0 : 1;
}
