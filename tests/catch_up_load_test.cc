// Machines that copy a chain's state while it takes a steady stream of commands over links of finite pace: they must
// not starve its commits, and its seats are filled soon (design.md 6.7, incident 35).
// More seeds: CATCH_UP_SEEDS=FIRST,COUNT.
#include "catch_up_rig.h"
#include "given_seeds.h"

using namespace stonemount;

int main() {
  const Seeds seeds = givenSeeds("CATCH_UP_SEEDS", {1, 12});
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) catch_up::Day(seed).run();
  return expectationsVerdict();
}
