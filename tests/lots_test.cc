// What an accepted lot goes through: workers that refuse for long, answers that gather while the store
// is away, answers that no record holds, nodes lost between a seal and telling it, routes that go, an
// event that closes.
#include <absl/strings/str_cat.h>

#include "asking.h"

using namespace stonemount;

namespace {
Bytes lotOf(const std::string& key, int items) {
  Bytes body = absl::StrCat(R"({"key":")", key, R"(","route":"review","items":[)");
  for (int i = 0; i < items; ++i)
    absl::StrAppend(&body, i > 0 ? "," : "", R"({"id":"i)", i, R"(","prompt":"p)", key, i, R"("})");
  return body + "]}";
}

struct Complete {
  Asking& fleet;
  std::string lot;
  bool holds() const { return fleet.ask("GET", "/v1/lots/" + lot).has("\"state\":\"complete\""); }
};

void eachWorker(Asking& fleet, bool refusing) {
  for (Part* worker : fleet.fleet.of(PartKind::kWorker)) worker->worker->refuseAll(refusing);
}

// Every worker refuses for minutes what it reports to bear: no item is given up for it.
void workersRefuseForLong() {
  Asking fleet(1);
  eachWorker(fleet, true);
  fleet.ask("POST", "/v1/events/night/lots", lotOf("a", 4));
  std::uint32_t runs = 0;
  for (int i = 0; i < 1200 && runs < 60; ++i) {
    fleet.fleet.run(500 * kMilliUs);
    for (Part* store : fleet.fleet.of(PartKind::kStore))
      for (const auto& [name, lot] : store->store->machine().state().lots)
        for (const KeptItem& item : lot.items) runs = std::max(runs, item.run);
  }
  fleet.expect(runs >= 60, absl::StrCat("an item was granted many runs that never began: ", runs));
  eachWorker(fleet, false);
  fleet.expect(fleet.until(Complete{fleet, "lot-1"}), "the lot is complete once they take work again");
  const Answer shown = fleet.ask("GET", "/v1/lots/lot-1");
  fleet.expect(shown.has("\"refused\":0") && shown.has("\"sealed\":4"),
               "and nothing of it was given up: " + shown.body);
}

// Runs that a worker began and broke off, time after time: the item ends, and says why.
void workersBreakOff() {
  FleetShape shape = posilkaShape();
  shape.oddsTruncate = 1;
  Asking fleet(2, shape);
  fleet.ask("POST", "/v1/events/night/lots", lotOf("a", 2));
  for (int i = 0; i < 12 && !Complete{fleet, "lot-1"}.holds(); ++i) fleet.fleet.run(20 * kSecondUs);
  const Answer results = fleet.ask("GET", "/v1/lots/lot-1/results");
  fleet.expect(results.has("\"refused\":2") && results.has("runs_spent"), "what ends an item is told: " + results.body);
}

// Answers gather at the nodes while the store is away: more than one record holds. All arrive.
void answersGather() {
  FleetShape shape = posilkaShape();
  shape.padBytes = 45000;
  shape.coldBear = shape.slots;
  Asking fleet(3, shape);
  fleet.ask("POST", "/v1/events/night/lots", lotOf("a", 12));
  const std::vector<Part*> stores = fleet.fleet.of(PartKind::kStore);
  for (int i = 0; i < 2000; ++i) {  // until many runs are under way at one node
    std::size_t most = 0;
    for (Part* node : fleet.fleet.of(PartKind::kNode)) most = std::max(most, node->node->scheduler().running());
    if (most >= 5) break;
    fleet.fleet.run(5 * kMilliUs);
  }
  std::size_t under = 0;
  for (Part* node : fleet.fleet.of(PartKind::kNode)) under = std::max(under, node->node->scheduler().running());
  fleet.expect(under >= 5, absl::StrCat("runs are under way as the store goes: ", under));
  for (Part* store : stores) fleet.fleet.kill(*store, false);
  fleet.fleet.run(4 * kSecondUs);
  std::uint64_t sealed = 0;
  for (Part* node : fleet.fleet.of(PartKind::kNode)) sealed = std::max(sealed, node->node->scheduler().counts().sealed);
  for (Part* store : stores) fleet.fleet.start(*store);
  fleet.expect(fleet.until(Complete{fleet, "lot-1"}),
               absl::StrCat("all that was sealed meanwhile arrives: ", fleet.ask("GET", "/v1/lots/lot-1").body));
}

// An answer too long for any record: its item ends with that verdict; the others are not held up.
void answerTooLong() {
  FleetShape shape = posilkaShape();
  shape.padBytes = 300000;  // of more than 1 MiB together: such a text is not compressed
  Asking fleet(4, shape);
  fleet.ask("POST", "/v1/events/night/lots", lotOf("a", 3));
  fleet.expect(fleet.until(Complete{fleet, "lot-1"}), "a lot of answers too long to keep ends");
  fleet.expect(fleet.ask("GET", "/v1/lots/lot-1/results").has("answer_too_long"), "and says why");
}

// A node dies after a worker's seal and before the store was told: the item runs again elsewhere.
void nodeLostAfterSeal() {
  for (std::uint64_t seed = 5; seed < 9; ++seed) {
    Asking fleet(seed);
    fleet.ask("POST", "/v1/events/night/lots", lotOf("a", 12));
    Part* victim = nullptr;
    for (int i = 0; i < 4000 && victim == nullptr; ++i) {
      fleet.fleet.run(kMilliUs);
      for (Part* node : fleet.fleet.of(PartKind::kNode))
        if (node->node->scheduler().counts().sealed > 0 && !node->node->scheduler().idle()) victim = node;
    }
    fleet.expect(victim != nullptr, "a node holds a seal that the store does not have");
    if (victim == nullptr) continue;
    fleet.fleet.kill(*victim, true);
    const std::size_t other = victim == fleet.fleet.of(PartKind::kNode)[0] ? 1 : 0;
    bool complete = false;
    for (int i = 0; i < 300 && !complete; ++i) {
      fleet.fleet.run(100 * kMilliUs);
      complete = fleet.ask("GET", "/v1/lots/lot-1", "", other).has("\"sealed\":12");
    }
    fleet.expect(complete, absl::StrCat("a lot outlives the node that ran it, seed ", seed));
  }
}

// Its route is removed with items waiting: they wait, the doctor says so, and go on when it is back.
void routeGone() {
  Asking fleet(10);
  eachWorker(fleet, true);
  fleet.ask("POST", "/v1/events/night/lots", lotOf("a", 6));
  const Answer removed = fleet.ask("PATCH", "/op/config", R"({"base":1,"routes":[],"remove":["review"]})");
  fleet.expect(removed.status == 200, "the route is removed: " + removed.body);
  fleet.fleet.run(3 * kSecondUs);
  eachWorker(fleet, false);
  fleet.fleet.run(5 * kSecondUs);
  fleet.expect(fleet.ask("GET", "/v1/lots/lot-1").has("\"state\":\"open\""), "a lot without its route waits");
  fleet.expect(fleet.ask("GET", "/op/doctor").has("\"D506\""), "and the doctor says so");
  fleet.ask("PATCH", "/op/config",
            R"({"base":2,"routes":[{"name":"review","kind":"whole","pool":"models","lots":true}]})");
  fleet.expect(fleet.until(Complete{fleet, "lot-1"}), "and is complete once the route is back");
}

// Its event closes with items waiting: what was accepted is finished; nothing new is taken.
void eventClosed() {
  Asking fleet(11);
  eachWorker(fleet, true);
  fleet.ask("POST", "/v1/events/night/lots", lotOf("a", 6));
  fleet.expect(fleet.ask("POST", "/op/events/night/close").status == 200, "the event is closed");
  eachWorker(fleet, false);
  fleet.expect(fleet.ask("POST", "/v1/events/night/lots", lotOf("b", 1)).status == 409, "it takes no other lot");
  fleet.expect(fleet.ask("POST", "/v1/events/night/lots", lotOf("a", 6)).has("\"again\":true"),
               "but knows its own again");
  fleet.expect(fleet.until(Complete{fleet, "lot-1"}), "and the accepted one is finished");
}
}  // namespace

int main() {
  workersRefuseForLong();
  workersBreakOff();
  answersGather();
  answerTooLong();
  nodeLostAfterSeal();
  routeGone();
  eventClosed();
  std::printf("%d passed, %d failed\n", Asking::passed, Asking::failed);
  return Asking::failed == 0 ? 0 : 1;
}
