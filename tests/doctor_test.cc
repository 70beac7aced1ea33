// Each finding of the doctor is caused and found; a healthy fleet has none but cold workers.
#include <absl/strings/str_cat.h>

#include "asking.h"

using namespace stonemount;

namespace {
struct Finds {
  Asking& fleet;
  std::string code;
  bool wanted = true;
  bool holds() const { return fleet.ask("GET", "/op/doctor").has("\"" + code + "\"") == wanted; }
};

void found(Asking& fleet, const std::string& code) {
  fleet.expect(fleet.until(Finds{fleet, code}),
               "the doctor finds " + code + ": " + fleet.ask("GET", "/op/doctor").body);
}
void gone(Asking& fleet, const std::string& code) {
  fleet.expect(fleet.until(Finds{fleet, code, false}), code + " is gone: " + fleet.ask("GET", "/op/doctor").body);
}

void warm(Asking& fleet) {
  fleet.fleet.startCallers();
  fleet.fleet.run(25 * kSecondUs);
  fleet.fleet.stopCallers();
  for (int i = 0; i < 200 && !fleet.fleet.callersDone(); ++i) fleet.fleet.run(500 * kMilliUs);
}

void healthyHasNone() {
  FleetShape shape = posilkaShape();
  shape.coldBear = shape.slots;
  Asking fleet(1, shape);
  warm(fleet);
  for (std::size_t node = 0; node < 6; ++node) {
    const Answer answer = fleet.ask("GET", "/op/doctor", "", node);
    fleet.expect(answer.has("\"healthy\":true"), "nothing found at node " + std::to_string(node) + ": " + answer.body);
  }
}

void chainFindings() {
  for (const PartKind kind : {PartKind::kCore, PartKind::kStore}) {
    const std::string number = kind == PartKind::kCore ? "D1" : "D2";
    Asking fleet(2);
    const std::vector<Part*> members = fleet.fleet.of(kind);
    fleet.fleet.kill(*members[2], false);
    found(fleet, number + "03");
    found(fleet, number + "05");
    fleet.fleet.start(*members[2]);
    gone(fleet, number + "03");
    members[1]->host->disk->extraUs = 1500 * kMilliUs;
    fleet.operators->pushRoutes(false);
    found(fleet, number + "07");
    members[1]->host->disk->extraUs = 0;
    gone(fleet, number + "07");
    fleet.fleet.kill(*members[2], false);
    fleet.fleet.run(3 * kSecondUs);
    fleet.fleet.kill(*members[1], false);
    if (kind == PartKind::kStore) found(fleet, "D304");
    fleet.fleet.start(*members[1]);
    fleet.fleet.start(*members[2]);
    gone(fleet, number + "05");
    members[1]->host->disk->failing = true;
    fleet.operators->pushRoutes(false);
    fleet.operators->createEvent("other", kSecondUs);
    found(fleet, number + "06");
  }
}

void clockFindings() {
  Asking fleet(3);
  for (Part* core : fleet.fleet.of(PartKind::kCore)) core->host->wallOffsetUs += 600 * kSecondUs;
  found(fleet, "D301");
  gone(fleet, "D301");
  for (Part* store : fleet.fleet.of(PartKind::kStore)) store->host->wallOffsetUs += 600 * kSecondUs;
  found(fleet, "D302");
  for (const PartKind kind : {PartKind::kCore, PartKind::kStore})
    for (std::size_t i = 0; i < 2; ++i)
      fleet.fleet.of(kind)[i]->host->wallOffsetUs += static_cast<Us>(100 * i + 50) * kSecondUs;
  found(fleet, "D305");
}

void workerFindings() {
  Asking fleet(4);
  found(fleet, "D503");
  Part& worker = *fleet.fleet.of(PartKind::kWorker)[0];
  fleet.fleet.platform().platform->leave(worker.host->http());
  found(fleet, "D502");
  fleet.fleet.kill(*fleet.fleet.of(PartKind::kWorker)[1], false);
  found(fleet, "D501");
  fleet.ask("PATCH", "/op/config", R"({"base":1,"routes":[{"name":"lonely","kind":"whole","pool":"none"}]})");
  found(fleet, "D505");
}

void crowdFindings() {
  FleetShape shape = posilkaShape();
  shape.streamEveryUs = 5 * kMilliUs;
  Asking fleet(5, shape);
  fleet.fleet.startCallers();
  fleet.fleet.run(5 * kSecondUs);
  found(fleet, "D504");
  fleet.operators->setZone("brno", true);
  found(fleet, "D601");
}

void nodeFindings() {
  Asking fleet(6);
  for (Part* core : fleet.fleet.of(PartKind::kCore)) fleet.fleet.kill(*core, false);
  found(fleet, "D701");
  for (Part* core : fleet.fleet.of(PartKind::kCore)) fleet.fleet.start(*core);
  gone(fleet, "D701");
  // One node hears neither core nor peers for a while, and news comes.
  Part& deaf = *fleet.fleet.of(PartKind::kNode)[3];
  for (auto& other : fleet.fleet.world().hosts())
    if (other->zone() != "outside") fleet.fleet.world().setCut(*other, *deaf.host, true);
  fleet.ask("PATCH", "/op/config", R"({"base":1,"routes":[{"name":"late","kind":"whole","pool":"models"}]})");
  found(fleet, "D402");
  fleet.fleet.world().healAll();
  gone(fleet, "D402");
}

void oneZoneAndTooFew() {
  FleetShape shape = posilkaShape();
  shape.zones = {"brno"};
  shape.cores = shape.stores = 2;
  Asking fleet(7, shape);  // takes no configuration, as nothing could be kept in two zones
  for (const char* code : {"D102", "D202", "D104", "D204", "D110", "D210", "D401"}) found(fleet, code);
}

void chainsUnknown() {
  Asking fleet(8);
  for (Part* core : fleet.fleet.of(PartKind::kCore)) fleet.fleet.kill(*core, false);
  for (Part* store : fleet.fleet.of(PartKind::kStore)) fleet.fleet.kill(*store, false);
  Part& node = *fleet.fleet.of(PartKind::kNode)[0];
  fleet.fleet.kill(node, false);
  fleet.fleet.start(node);
  found(fleet, "D101");
  found(fleet, "D201");
}

void memberApart() {
  Asking fleet(9);
  const std::vector<Part*> cores = fleet.fleet.of(PartKind::kCore);
  for (const std::size_t other : {0, 1}) {
    fleet.fleet.world().setCut(*cores[other]->host, *cores[2]->host, true);
    fleet.fleet.world().setCut(*cores[2]->host, *cores[other]->host, true);
  }
  found(fleet, "D108");
  fleet.fleet.world().healAll();
  gone(fleet, "D108");
  fleet.fleet.kill(*cores[1], false);
  cores[1]->settings.zone = "elsewhere";
  fleet.fleet.start(*cores[1]);
  found(fleet, "D109");
}

void slotsCharged() {
  Asking fleet(10);
  fleet.fleet.startCallers();
  for (int i = 0; i < 4000 && fleet.fleet.of(PartKind::kStore)[0]->store->machine().state().charged.size() < 4; ++i)
    fleet.fleet.run(5 * kMilliUs);
  for (Part* store : fleet.fleet.of(PartKind::kStore)) store->host->wallOffsetUs += 50 * kSecondUs;
  found(fleet, "D303");
  gone(fleet, "D303");
}
}  // namespace

int main() {
  healthyHasNone();
  chainFindings();
  clockFindings();
  workerFindings();
  crowdFindings();
  nodeFindings();
  oneZoneAndTooFew();
  chainsUnknown();
  memberApart();
  slotsCharged();
  std::printf("%d passed, %d failed\n", Asking::passed, Asking::failed);
  return Asking::failed == 0 ? 0 : 1;
}
