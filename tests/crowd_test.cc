// Crowds: all workers cold as an event starts; twice what the workers can do; lots beside live
// traffic. Simulated time, fixed seeds.
#include <cstdio>

#include "simulator/operators.h"

using namespace stonemount;

namespace {
int passed = 0, failed = 0;

void expect(bool well, const char* what) {
  ++(well ? passed : failed);
  std::printf("%s %s\n", well ? "ok" : "FAILED", what);
}

struct Outcome {
  std::uint64_t asked = 0, served = 0, lotItems = 0, coldRefused = 0, started = 0, abandoned = 0;
};

Outcome runCrowd(std::uint64_t seed, const FleetShape& shape, Us lengthUs) {
  Fleet fleet(seed, shape);
  SimHost& host = fleet.world().addHost("operators", "outside", {(127u << 24) | 999, 7000}, {(127u << 24) | 999, 8000});
  host.rise();
  OperatorLedger ledger;
  Outcome outcome;
  {
    SimOperator operators(fleet, host, ledger);
    for (Part& part : fleet.parts()) fleet.start(part);
    fleet.runUntilReady(30 * kSecondUs);
    operators.pushRoutes(true);
    operators.createEvent("night", 24LL * 3600 * kSecondUs);
    while (!operators.idle()) fleet.run(50 * kMilliUs);
    fleet.run(kSecondUs);
    fleet.startCallers();  // all at once
    fleet.run(lengthUs);
  }
  for (Part* part : fleet.of(PartKind::kCaller)) {
    outcome.asked += part->callerLedger.asked;
    outcome.served += part->callerLedger.served;
  }
  for (Part* part : fleet.of(PartKind::kNode)) outcome.lotItems += part->node->scheduler().counts().sealed;
  for (Part* part : fleet.of(PartKind::kWorker)) {
    outcome.coldRefused += part->workerLedger.coldRefused;
    outcome.started += part->workerLedger.started;
    outcome.abandoned += part->workerLedger.started - part->workerLedger.finished;
  }
  std::printf("seed=%d asked=%d served=%d lot_items=%d cold_refused=%d started=%d\n", static_cast<int>(seed),
              static_cast<int>(outcome.asked), static_cast<int>(outcome.served), static_cast<int>(outcome.lotItems),
              static_cast<int>(outcome.coldRefused), static_cast<int>(outcome.started));
  return outcome;
}

FleetShape modelsOnly(Us everyUs) {
  FleetShape shape = posilkaShape();
  shape.lookupEveryUs = 0;
  shape.streamEveryUs = everyUs;
  shape.wholeEveryUs = everyUs;
  shape.lots = 0;
  return shape;
}
}  // namespace

int main() {
  // Six workers of four slots at about 0.2 s an answer bear some 110 a second.
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    const Outcome cold = runCrowd(seed, modelsOnly(15 * kMilliUs), 10 * kSecondUs);
    expect(cold.coldRefused * 50 <= cold.started, "cold workers are not flooded by a crowd");
    expect(cold.served * 5 > cold.asked, "a crowd at cold workers is served in part at once");
  }
  for (std::uint64_t seed = 11; seed <= 13; ++seed) {
    const Outcome once = runCrowd(seed, modelsOnly(60 * kMilliUs), 30 * kSecondUs);
    const Outcome twice = runCrowd(seed, modelsOnly(30 * kMilliUs), 30 * kSecondUs);
    const Outcome fourfold = runCrowd(seed, modelsOnly(15 * kMilliUs), 30 * kSecondUs);
    expect(twice.served * 10 >= once.served * 9, "useful work at twice the load is near that at once");
    expect(fourfold.served * 10 >= twice.served * 9, "and at four times");
    expect(fourfold.abandoned * 20 < fourfold.started, "work that nobody needs is dropped before it is sent");
  }
  for (std::uint64_t seed = 21; seed <= 23; ++seed) {
    FleetShape quiet = modelsOnly(120 * kMilliUs);
    FleetShape busy = quiet;
    busy.lots = 8;
    busy.lotItems = 80;
    busy.lotEveryUs = 200 * kMilliUs;
    const Outcome alone = runCrowd(seed, quiet, 30 * kSecondUs);
    const Outcome beside = runCrowd(seed, busy, 30 * kSecondUs);
    expect(beside.served * 100 >= alone.served * 95, "live traffic goes on beside a wave of lots");
    FleetShape crowded = busy;
    crowded.streamEveryUs = crowded.wholeEveryUs = 15 * kMilliUs;
    const Outcome under = runCrowd(seed, crowded, 30 * kSecondUs);
    expect(beside.lotItems > 500 && under.lotItems > 50, "lots go on beside a crowd of live traffic");
  }
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
