// A cold worker gets no more requests in one second, from all nodes together, than the platform's rule allows:
// whatever the nodes know of it and of each other (docs/design-notes/cold-workers.md, incident 24). More seeds:
// COLD_WORKERS_SEEDS=FIRST,COUNT.
#include <absl/strings/str_cat.h>

#include "cold_workers_rig.h"
#include "expect.h"
#include "given_seeds.h"

using namespace stonemount;

namespace {
struct Total {
  std::uint64_t broken = 0, worst = 0, served = 0, refused = 0, coldServed = 0;
};

void days(const char* name, const ColdFleetPlan& plan, Seeds seeds) {
  Total total;
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) {
    ColdFleet fleet(seed, plan);
    fleet.run();
    const bool held = fleet.worst() <= coldBound(plan.ratePerS);
    expect(held, absl::StrCat(name, " seed ", seed, ": ", fleet.worstStory(), ", allowed ", coldBound(plan.ratePerS)));
    total.broken += held ? 0 : 1;
    total.worst = std::max(total.worst, fleet.worst());
    total.served += fleet.served();
    total.refused += fleet.refused();
    total.coldServed += fleet.coldServed();
  }
  std::printf("%s: %lu of %lu days broken, worst second %lu of %lu; served %lu, refused %lu, served by cold ones %lu\n",
              name, total.broken, seeds.count, total.worst, coldBound(plan.ratePerS), total.served, total.refused,
              total.coldServed);
  // The bound is not kept by sending nothing there.
  expect(total.coldServed * 50 > total.served, absl::StrCat(name, ": cold workers serve"));
  expect(total.refused * 2 < total.served, absl::StrCat(name, ": most requests are served"));
}
// All nodes start at once, as after a loss of power: what they have not met yet is not cold, and they must learn so
// before the first callers are turned away.
void starts(Seeds seeds) {
  ColdFleetPlan plan;
  plan.workers = 16;
  plan.requestsPerS = 560;
  plan.lengthUs = 0;  // the first seconds alone
  std::uint64_t served = 0, refused = 0;
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) {
    ColdFleet fleet(seed, plan);
    fleet.run();
    served += fleet.served();
    refused += fleet.refused();
  }
  std::printf("starts: served %lu, refused %lu\n", served, refused);
  expect(refused * 500 < served, "nodes that have just started serve");
}
}  // namespace

int main() {
  const Seeds seeds = givenSeeds("COLD_WORKERS_SEEDS", {1, 1000});
  starts(seeds.fewer(25));
  days("small", ColdFleetPlan(), seeds);
  ColdFleetPlan grown;
  grown.nodes = 78;
  grown.workers = 90;
  grown.ratePerS = 13;
  grown.slots = 16;
  grown.requestsPerS = 730;
  grown.sameLife = false;  // most nodes have sent it nothing while it was down (see the design note)
  days("grown", grown, seeds.fewer(25));
  return expectationsVerdict();
}
