// Whole fleets under trouble, fixed seeds: each fault alone, then any together, in both shapes.
// The judge looks for every "never" line (docs/failures.md).
#include <cstdio>

#include "simulator/fault_schedule.h"

using namespace stonemount;

namespace {
int failed = 0;
int passed = 0;

void expect(bool well, const std::string& what) {
  ++(well ? passed : failed);
  if (!well) std::printf("FAILED %s\n", what.c_str());
}

Tally runOne(std::uint64_t seed, const FleetShape& shape, const FaultSchedulePlan& plan, const std::string& name) {
  FaultSchedule chaos(seed, shape, plan);
  const std::vector<std::string>& faults = chaos.run();
  const std::string what = name + " " + shape.name + " seed=" + std::to_string(seed);
  for (const std::string& fault : faults) std::printf("%s: %s\n", what.c_str(), fault.c_str());
  expect(chaos.started() && faults.empty(), what);
  return chaos.tally();
}

void everyFaultAlone(const FleetShape& shape) {
  for (std::uint8_t i = 0; i < static_cast<std::uint8_t>(Fault::kCount); ++i) {
    FaultSchedulePlan plan;
    plan.faults = {static_cast<Fault>(i)};
    plan.lengthUs = 20 * kSecondUs;
    const Tally tally = runOne(1000 + i, shape, plan, faultText(static_cast<Fault>(i)));
    // Safety is not to be bought by refusing.
    const bool heavy = plan.faults[0] == Fault::kAllLost || plan.faults[0] == Fault::kZoneLost;
    const bool crowd = plan.faults[0] == Fault::kCrowd;  // more than all workers can do
    const double share = static_cast<double>(tally.served) / static_cast<double>(tally.asked);
    expect(share > (heavy   ? 0.15
                    : crowd ? 0.5
                            : 0.75),
           std::string("share served under ") + faultText(plan.faults[0]) + " in " + shape.name + ": " +
               std::to_string(share));
    expect(tally.lotsAccepted > 0 && tally.coldRefused * 50 <= tally.started,
           std::string("lots taken, cold spared: ") + faultText(plan.faults[0]));
  }
}

void anyTogether(const FleetShape& shape) {
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    const Tally tally = runOne(2000 + seed, shape, FaultSchedulePlan(), "any");
    // Safety is not to be bought by refusing, nor a judge's peace by looking at nothing.
    const std::string what = "any " + shape.name + " seed=" + std::to_string(2000 + seed);
    expect(tally.served * 2 > tally.asked, "share served: " + what);
    expect(tally.lotsAccepted > 0 && tally.entriesCompared > 500 && tally.readsAtRest > 0,
           "looked at something: " + what);
  }
}

// All else heals; a machine, a disk or a zone never comes back.
void lastFaultStays(const FleetShape& shape) {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    FaultSchedulePlan plan;
    plan.lengthUs = 15 * kSecondUs;
    plan.lastStays = true;
    const Tally tally = runOne(3000 + seed, shape, plan, "last stays");
    expect(tally.readsAtRest > 0, "lots are read after it: " + shape.name + " seed=" + std::to_string(3000 + seed));
  }
}

void sameSeedSameRun() {
  FaultSchedulePlan plan;
  plan.lengthUs = 10 * kSecondUs;
  std::uint64_t digests[2];
  for (std::uint64_t& digest : digests) {
    FaultSchedule chaos(77, posilkaShape(), plan);
    chaos.run();
    digest = chaos.fleet().world().traceDigest();
  }
  expect(digests[0] == digests[1], "the same seed gives the same run, byte for byte");
}
}  // namespace

// fleet_test posilka|portavia alone|any
int main(int argc, char** argv) {
  const FleetShape shape = argc > 1 && std::string(argv[1]) == "portavia" ? portaviaShape() : posilkaShape();
  if (argc > 2 && std::string(argv[2]) == "any") {
    sameSeedSameRun();
    anyTogether(shape);
    lastFaultStays(shape);
  } else {
    everyFaultAlone(shape);
  }
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
