// Draining, callers that go away, control state rebuilt from those told first, a ring that fills,
// bytes that rot on a disk, and a route list that grows large.
#include <absl/strings/str_cat.h>

#include "asking.h"

using namespace stonemount;

namespace {
// Every core disk is lost at once: nodes go on, and the new chain takes up what they were told.
void controlRebuilt() {
  Asking fleet(1);
  fleet.ask("PATCH", "/op/config", R"({"base":1,"routes":[{"name":"kept","kind":"whole","pool":"models"}]})");
  fleet.fleet.run(kSecondUs);
  for (Part* core : fleet.fleet.of(PartKind::kCore)) {
    fleet.fleet.kill(*core, true);
    core->host->disk->wipe();
  }
  fleet.fleet.run(3 * kSecondUs);
  const Answer live = fleet.ask("POST", "/v1/answers/review", R"({"prompt":"p"})", 2);
  fleet.expect(live.status == 200, "live traffic goes on without any core: " + live.body);
  for (Part* core : fleet.fleet.of(PartKind::kCore)) fleet.fleet.start(*core);
  fleet.fleet.run(8 * kSecondUs);
  const Answer shown = fleet.ask("GET", "/op/config");
  fleet.expect(shown.has("\"base\":2") && shown.has("\"kept\""), "the configuration is back: " + shown.body);
  const Answer patched =
      fleet.ask("PATCH", "/op/config", R"({"base":2,"routes":[{"name":"later","kind":"whole","pool":"models"}]})");
  fleet.expect(patched.status == 200, "and goes on from there: " + patched.body);
  fleet.fleet.run(2 * kSecondUs);
  const Answer later = fleet.ask("POST", "/v1/answers/later", R"({"prompt":"p"})", 3);
  fleet.expect(later.status == 200, "nodes take what comes after: " + later.body);
}

// A draining node finishes what it has; nothing of its own breaks.
void nodeDrains() {
  Asking fleet(2);
  fleet.fleet.startCallers();
  fleet.fleet.run(5 * kSecondUs);
  Part& part = *fleet.fleet.of(PartKind::kNode)[1];
  part.node->drain();
  const std::uint64_t granted = part.node->scheduler().counts().granted;
  int waited = 0;
  while (!part.node->idle() && waited < 400) fleet.fleet.run(50 * kMilliUs), ++waited;
  fleet.expect(part.node->idle(), "a draining node becomes idle");
  fleet.fleet.run(2 * kSecondUs);
  fleet.expect(part.node->proxy().counts().broken == 0, "and broke nothing");
  fleet.expect(part.node->scheduler().counts().granted <= granted + 32, "and took no more lot items");
  std::uint32_t spent = 0;  // what a worker refuses is dropped too, and costs nothing
  for (const auto& [name, lot] : fleet.fleet.of(PartKind::kStore)[0]->store->machine().state().lots)
    for (const KeptItem& item : lot.items) spent += item.spent;
  fleet.expect(spent == 0, "and broke off no item that a worker had begun");
  const Answer answer = fleet.ask("POST", "/v1/answers/review", R"({"prompt":"p"})", 1);
  fleet.expect(answer.status == 503 && answer.has("draining") && answer.headers.contains("retry-after"),
               "new ones are sent away");
}

// A caller that goes away frees its slot and closes its worker channel.
void callerLeaves() {
  Asking fleet(3);
  HttpAsk ask;
  ask.method = "POST";
  ask.path = "/v1/streams/digest";
  ask.body = R"({"prompt":"a long one"})";
  Part& node = *fleet.fleet.of(PartKind::kNode)[0];
  std::unique_ptr<HttpFlow> flow = fleet.host.open(node.host->http(), ask);
  for (int i = 0; i < 1000 && node.node->proxy().relaying() == 0; ++i) fleet.fleet.run(kMilliUs);
  fleet.expect(node.node->proxy().relaying() == 1, "a stream is under way");
  fleet.fleet.run(20 * kMilliUs);
  flow.reset();
  fleet.fleet.run(20 * kMilliUs);
  fleet.expect(node.node->proxy().relaying() == 0, "its slot is free 20 ms after its caller left");
  std::uint64_t started = 0, finished = 0;
  fleet.fleet.run(2 * kSecondUs);
  for (Part* worker : fleet.fleet.of(PartKind::kWorker)) {
    started += worker->workerLedger.started;
    finished += worker->workerLedger.finished;
  }
  fleet.expect(started == 1 && finished == 0, "and the worker stopped");
}

// A ring too small for what it is given: refused in time, and all that was accepted stays.
void ringFills() {
  Asking fleet(4);
  std::string prompt(60000, 'p');
  int accepted = 0, refused = 0;
  for (int i = 0; i < 120 && refused < 3; ++i) {
    const Bytes body =
        absl::StrCat(R"({"key":"k)", i, R"(","route":"review","items":[{"id":"a","prompt":")", prompt, R"("}]})");
    const Answer answer = fleet.ask("POST", "/v1/events/night/lots", body, static_cast<std::size_t>(i) % 6);
    accepted += answer.status == 201 ? 1 : 0;
    refused += answer.has("ring_full") ? 1 : 0;
  }
  fleet.expect(accepted > 5 && refused == 3,
               absl::StrCat("a full ring refuses: accepted ", accepted, ", refused ", refused));
  for (int i = 1; i <= accepted; ++i)
    fleet.expect(fleet.ask("GET", absl::StrCat("/v1/lots/lot-", i)).status == 200, "what was accepted stays");
}

// What no record could hold is refused, and harms nobody.
void tooLongToKeep() {
  Asking fleet(6);
  const Bytes body =
      absl::StrCat(R"({"key":"k","route":"review","items":[{"id":"a","prompt":")", std::string(600000, 'p'), R"("}]})");
  const Answer answer = fleet.ask("POST", "/v1/events/night/lots", body);
  fleet.expect(answer.status == 413 && answer.has("too_long_to_keep"), "a lot too long for the ring: " + answer.body);
  fleet.fleet.run(2 * kSecondUs);
  const Bytes small = R"({"key":"k","route":"review","items":[{"id":"a","prompt":"p"}]})";
  fleet.expect(fleet.ask("POST", "/v1/events/night/lots", small).status == 201, "a shorter one is taken after it");
}

// A byte rots on one store's disk while it is down: it is mended from the others.
void diskRots() {
  for (std::uint64_t seed = 10; seed < 22; ++seed) {
    Asking fleet(seed);
    const Bytes body = R"({"key":"k","route":"review","items":[{"id":"a","prompt":"one"}]})";
    fleet.ask("POST", "/v1/events/night/lots", body);
    fleet.fleet.run(5 * kSecondUs);
    Part& store = *fleet.fleet.of(PartKind::kStore)[seed % 3];
    fleet.fleet.kill(store, false);
    Chance chance(seed);
    for (int i = 0; i < 20; ++i) store.host->disk->corrupt(chance);
    fleet.fleet.run(2 * kSecondUs);
    fleet.fleet.start(store);
    for (int i = 0; i < 200 && !store.store->replica().active(); ++i) fleet.fleet.run(100 * kMilliUs);
    fleet.expect(store.store->replica().active(), absl::StrCat("a rotten disk is mended, seed ", seed));
    fleet.expect(fleet.ask("GET", "/v1/lots/lot-1").has("\"state\":\"complete\""),
                 absl::StrCat("nothing is lost, seed ", seed));
  }
}

// Thousands of routes: a change costs what it changes, not the whole.
void manyRoutes() {
  Asking fleet(5);
  JsonOut out;
  out.object().field("base", 1).key("routes").array();
  for (int i = 0; i < 5000; ++i)
    out.object().field("name", absl::StrCat("route-", i)).field("kind", "whole").field("pool", "models").closeObject();
  out.closeArray().closeObject();
  fleet.expect(fleet.ask("PATCH", "/op/config", out.take()).status == 200, "5,000 routes are taken");
  fleet.fleet.run(3 * kSecondUs);
  std::uint64_t before = 0, after = 0;
  Part& tail = *fleet.fleet.of(PartKind::kCore)[2];
  before = tail.core->sentBytes();
  fleet.fleet.run(3 * kSecondUs);
  const std::uint64_t quiet = tail.core->sentBytes() - before;
  before = tail.core->sentBytes();
  const Answer patched =
      fleet.ask("PATCH", "/op/config",
                R"({"base":2,"routes":[{"name":"route-7","kind":"whole","pool":"models","limitUs":5000000}]})");
  fleet.fleet.run(3 * kSecondUs);
  after = tail.core->sentBytes() - before;
  std::printf("bytes from the core's tail in 3 s: at rest %llu, with one route of 5,003 changed %llu\n",
              static_cast<unsigned long long>(quiet), static_cast<unsigned long long>(after));
  fleet.expect(patched.status == 200, "one of them changes");
  fleet.expect(after < quiet + 20000, "a change of one route does not send 5,000");
  for (Part* node : fleet.fleet.of(PartKind::kNode))
    fleet.expect(node->node->configCache().state().routes().at("route-7").limitUs == 5 * kSecondUs,
                 "and reached every node");
}
}  // namespace

int main() {
  controlRebuilt();
  nodeDrains();
  callerLeaves();
  ringFills();
  tooLongToKeep();
  diskRots();
  manyRoutes();
  std::printf("%d passed, %d failed\n", Asking::passed, Asking::failed);
  return Asking::failed == 0 ? 0 : 1;
}
