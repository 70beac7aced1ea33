// The limits of the "never" list, measured in simulated time over seeds: how long until a leaving
// worker, a new configuration, an evacuated zone, an ended lot take effect, until an accepted lot is
// readable, and until a fleet that lost every machine serves again.
#include <algorithm>
#include <cstdio>

#include "simulator/fault_schedule.h"

using namespace stonemount;

namespace {
constexpr int kSeeds = 12;
int failed = 0;
int passed = 0;

void report(const char* what, std::vector<Us> spans, Us limitUs) {
  std::sort(spans.begin(), spans.end());
  const bool well = !spans.empty() && spans.back() <= limitUs;
  ++(well ? passed : failed);
  std::printf("%s %s: runs=%zu least_us=%lld median_us=%lld most_us=%lld limit_us=%lld\n", well ? "ok" : "FAILED", what,
              spans.size(), static_cast<long long>(spans.front()), static_cast<long long>(spans[spans.size() / 2]),
              static_cast<long long>(spans.back()), static_cast<long long>(limitUs));
}

struct Stage {
  explicit Stage(std::uint64_t seed)
      : fleet(seed, seed % 2 == 0 ? posilkaShape() : portaviaShape()),
        host(fleet.world().addHost("operators", "outside", {(127u << 24) | 999, 7000}, {(127u << 24) | 999, 8000})) {
    host.rise();
    operators = std::make_unique<SimOperator>(fleet, host, ledger);
    for (Part& part : fleet.parts()) fleet.start(part);
    fleet.runUntilReady(30 * kSecondUs);
    operators->pushRoutes(true);
    operators->createEvent("night", 24LL * 3600 * kSecondUs);
    while (!operators->idle()) fleet.run(50 * kMilliUs);
    fleet.run(kSecondUs);
    fleet.startCallers();
    fleet.run(8 * kSecondUs);
  }
  ~Stage() { operators.reset(); }
  Us lastStartUs(const std::string& zone, SimHost* worker) {
    Us lastUs = 0;
    for (Part* part : fleet.of(PartKind::kWorker)) {
      const bool counted = worker != nullptr ? part->host == worker : part->host->zone() == zone;
      if (counted && !part->workerLedger.starts.empty())
        lastUs = std::max(lastUs, part->host->worldUs(part->workerLedger.starts.back().atUs));
    }
    return lastUs;
  }
  Fleet fleet;
  SimHost& host;
  OperatorLedger ledger;
  std::unique_ptr<SimOperator> operators;
};

Us leavingWorker(std::uint64_t seed) {
  Stage stage(seed);
  Part& worker = *stage.fleet.of(PartKind::kWorker)[seed % 6];
  const Us sinceUs = stage.fleet.world().nowUs();
  stage.fleet.platform().platform->leave(worker.host->http());
  stage.fleet.run(8 * kSecondUs);
  return std::max<Us>(0, stage.lastStartUs("", worker.host) - sinceUs);
}

Us newConfiguration(std::uint64_t seed) {
  Stage stage(seed);
  stage.operators->pushRoutes(false);
  while (stage.ledger.configAcked.size() < 2) {
    stage.fleet.run(kMilliUs);
    if (stage.operators->idle() && stage.ledger.configAcked.size() < 2) stage.operators->pushRoutes(false);
  }
  const auto [revision, ackedUs] = *stage.ledger.configAcked.rbegin();
  while (true) {
    bool all = true;
    for (Part* node : stage.fleet.of(PartKind::kNode))
      all &= node->node->configCache().state().configRevision() >= revision;
    if (all) return stage.fleet.world().nowUs() - ackedUs;
    stage.fleet.run(kMilliUs);
  }
}

Us evacuatedZone(std::uint64_t seed) {
  Stage stage(seed);
  const std::string zone = stage.fleet.shape().zones[seed % stage.fleet.shape().zones.size()];
  stage.operators->setZone(zone, true);
  while (!stage.ledger.zoneEvacuated.contains(zone)) stage.fleet.run(kMilliUs);
  stage.fleet.run(8 * kSecondUs);
  return std::max<Us>(0, stage.lastStartUs(zone, nullptr) - stage.ledger.zoneEvacuated[zone]);
}

Us endedLot(std::uint64_t seed) {
  Stage stage(seed);
  CallerLedger& ledger = stage.fleet.of(PartKind::kCaller)[0]->callerLedger;
  while (ledger.lots.empty()) stage.fleet.run(kMilliUs);
  const LotRecord lot = ledger.lots.rbegin()->second;
  stage.operators->endLot(lot.lot);
  while (!stage.ledger.lotEnded.contains(lot.lot)) stage.fleet.run(kMilliUs);
  stage.fleet.run(6 * kSecondUs);
  const std::set<Bytes> prompts(lot.prompts.begin(), lot.prompts.end());
  Us lastUs = 0;
  for (Part* part : stage.fleet.of(PartKind::kWorker))
    for (const WorkerLedger::Start& start : part->workerLedger.starts)
      if (prompts.contains(start.prompt)) lastUs = std::max(lastUs, part->host->worldUs(start.atUs));
  return std::max<Us>(0, lastUs - stage.ledger.lotEnded[lot.lot]);
}

// All machines lose power at once and come back together: until half of what is asked is served.
Us afterAllLost(std::uint64_t seed) {
  Stage stage(seed);
  Checker judge(stage.fleet, stage.ledger);
  for (Part& part : stage.fleet.parts())
    if (part.kind != PartKind::kCaller) stage.fleet.kill(part, true);
  stage.fleet.run(6 * kSecondUs);
  for (Part& part : stage.fleet.parts()) stage.fleet.start(part);
  const Us backUs = stage.fleet.world().nowUs();
  stage.fleet.run(20 * kSecondUs);
  for (Us atUs = backUs; atUs < backUs + 19 * kSecondUs; atUs += 100 * kMilliUs)
    if (judge.servedShare(atUs, atUs + kSecondUs) > 0.5) return atUs - backUs;
  return 60 * kSecondUs;
}

bool certainAfter(Fleet& fleet, std::uint64_t epoch) {
  for (Part* part : fleet.of(PartKind::kStore)) {
    if (!part->store || !part->store->replica().tail()) continue;
    const CutState& cut = part->store->machine().state().cut;
    return cut.certain && cut.epoch > epoch;
  }
  return false;
}

// The same, until the cut is certain and lots go on.
Us lotsAfterAllLost(std::uint64_t seed) {
  Stage stage(seed);
  std::uint64_t epoch = 0;
  for (Part* part : stage.fleet.of(PartKind::kStore)) epoch = std::max(epoch, part->store->machine().state().cut.epoch);
  for (Part& part : stage.fleet.parts())
    if (part.kind != PartKind::kCaller) stage.fleet.kill(part, true);
  stage.fleet.run(6 * kSecondUs);
  for (Part& part : stage.fleet.parts()) stage.fleet.start(part);
  const Us backUs = stage.fleet.world().nowUs();
  while (!certainAfter(stage.fleet, epoch) && stage.fleet.world().nowUs() < backUs + 60 * kSecondUs)
    stage.fleet.run(10 * kMilliUs);
  return stage.fleet.world().nowUs() - backUs;
}

void measure(const char* what, Us (*one)(std::uint64_t), Us limitUs) {
  std::vector<Us> spans;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) spans.push_back(one(seed));
  report(what, spans, limitUs);
}
}  // namespace

int main() {
  measure("leaving worker's last start", leavingWorker, 3 * kSecondUs);
  measure("new configuration at every node", newConfiguration, 2 * kSecondUs);
  measure("evacuated zone's last start", evacuatedZone, 5 * kSecondUs);
  measure("ended lot's last start", endedLot, 3 * kSecondUs);
  measure("half served after all machines were lost", afterAllLost, 12 * kSecondUs);
  measure("lots go on after all machines were lost", lotsAfterAllLost, 12 * kSecondUs);
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
