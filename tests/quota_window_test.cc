// Tenants' quotas over a fleet: in no sliding window do more requests reach workers than the rule allows, while nodes
// and leaders die, freeze, are cut off and return, the chain stalls, limits move and traffic jumps; and in calm hardly
// anything below the limit is refused (docs/design-notes/one-count.md). More seeds: QUOTA_SEEDS=FIRST,COUNT.
#include <absl/strings/str_cat.h>

#include "expect.h"
#include "given_seeds.h"
#include "quota_rig.h"

using namespace stonemount;

namespace {
std::vector<QuotaLimit> drawLimits(std::uint64_t seed, std::size_t tenants) {
  Chance chance(seed * 7919);
  std::vector<QuotaLimit> limits;
  for (std::size_t i = 0; i < tenants; ++i) {
    const std::uint64_t perS = chance.oneIn(4) ? 50 + chance.below(150) : 1 + chance.below(20);
    limits.push_back({perS * 1000, chance.oneIn(3) ? 0 : chance.below(2 * perS)});
  }
  return limits;
}

// The shares of the allowance add up to no more than it, whatever the limit and the settings.
void sharesAddUp() {
  for (const std::uint64_t ratePerKs : {1ULL, 999ULL, 1000ULL, 12345ULL, 200000ULL, 5000000ULL, 1000000000ULL})
    for (const std::uint64_t burst : {0ULL, 1ULL, 7ULL, 50ULL, 5000ULL, 1000000ULL})
      for (const std::uint32_t overshoot : {0u, 20u, 100u, 500u})
        for (const std::uint64_t slack : {10ULL, 20ULL, 100ULL}) {
          const QuotaBounds bounds{5 * kSecondUs, overshoot, slack};
          const QuotaLimit limit{ratePerKs, burst};
          const QuotaBudget budget = quotaBudget(limit, bounds);
          const Us spanUs = bounds.windowUs + quotaMostLagUs(bounds);
          const std::int64_t most = budget.capMicro + static_cast<std::int64_t>(budget.mostOut) * kMicroTokens +
                                    static_cast<std::int64_t>(budget.refillPerKs) * spanUs / 1000;
          expect(most <= quotaAllowedMicro(limit, bounds),
                 absl::StrCat("the shares add up: ", ratePerKs, ", ", burst, ", ", overshoot, ", ", slack));
          expect(budget.refillPerKs >= ratePerKs, "never refilled more slowly than the rate");
        }
}

struct Traffic {
  const char* name;
  std::size_t hot;
  double hotTimes;
  double usualShare;
  bool jumps;
  bool limitsMove;
};
constexpr std::size_t kTenants = 6;
constexpr Traffic kTraffics[] = {
    {"uniform", 0, 1, 0.6, false, false},    {"one hot", 1, 12, 0.5, false, false},
    {"all hot", 99, 4, 0.5, false, false},   {"jumping", 1, 6, 0.7, true, false},
    {"limits move", 2, 5, 0.7, false, true},
};

QuotaFleetPlan planOf(const Traffic& traffic, std::uint64_t seed, std::size_t nodes, std::size_t tenants) {
  QuotaFleetPlan plan;
  plan.nodes = nodes;
  plan.hot = traffic.hot;
  plan.hotTimes = traffic.hotTimes;
  plan.usualShare = traffic.usualShare;
  plan.jumps = traffic.jumps;
  plan.limitsMove = traffic.limitsMove;
  plan.limits = drawLimits(seed, tenants);
  return plan;
}

struct Sum {
  std::uint64_t worst = 0, owed = 0, missed = 0, takes = 0;
};

void troubled(std::uint64_t seed, const Traffic& traffic, std::size_t nodes, Sum& sum) {
  QuotaFleet fleet(seed, planOf(traffic, seed, nodes, kTenants));
  fleet.run(40 * kSecondUs);
  const std::uint64_t percent = fleet.worstPercent();
  sum.worst = std::max(sum.worst, percent);
  sum.takes += fleet.takes();
  for (std::size_t tenant = 0; tenant < kTenants; ++tenant) {
    sum.owed += fleet.tally(tenant).owed;
    sum.missed += fleet.tally(tenant).missed();
  }
  expect(percent <= 100,
         absl::StrCat("no window over the bound: ", percent, "%, ", traffic.name, ", ", nodes, " nodes, seed ", seed));
}

// Below their limits tenants are hardly refused anything, and a hot one is let have most of its limit.
void calm(std::uint64_t seed, const Traffic& traffic, std::size_t nodes) {
  QuotaFleetPlan plan = planOf(traffic, seed, nodes, 12);
  plan.troubles = plan.limitsMove = plan.jumps = false;
  QuotaFleet fleet(seed, plan);
  fleet.run(40 * kSecondUs);
  std::uint64_t owed = 0, missed = 0, hotOwed = 0, hotMissed = 0;
  for (std::size_t tenant = 0; tenant < plan.limits.size(); ++tenant) {
    const QuotaTally& tally = fleet.tally(tenant);
    (tenant < plan.hot ? hotOwed : owed) += tally.owed;
    (tenant < plan.hot ? hotMissed : missed) += tally.missed();
  }
  const std::string name = absl::StrCat(", ", traffic.name, ", ", nodes, " nodes, seed ", seed);
  std::printf("calm%s: %lu of %lu missed, hot %lu of %lu, %lu messages, %lu reservations, worst window %lu%%\n",
              name.c_str(), missed, owed, hotMissed, hotOwed, fleet.messages(), fleet.reservations(),
              fleet.worstPercent());
  expect(missed * 200 <= owed, absl::StrCat("below the limit hardly any are refused: ", missed, " of ", owed, name));
  expect(hotMissed * 10 <= hotOwed, absl::StrCat("a hot tenant has its limit: ", hotMissed, " of ", hotOwed, name));
  expect(fleet.worstPercent() <= 100, "no window over the bound" + name);
}

// Nodes freeze with tokens in hand, one after the other, and spend them all at one moment; leaders change meanwhile.
void herd(std::uint64_t seed, std::size_t nodes, Us leaderUs) {
  QuotaFleetPlan plan = planOf(kTraffics[2], seed, nodes, kTenants);
  plan.troubles = false;
  plan.herd = true;
  QuotaFleet fleet(seed, plan);
  for (Us us = 0; us < 40 * kSecondUs; us += leaderUs) {
    fleet.run(leaderUs);
    fleet.loseLeader(kSecondUs);
  }
  const std::uint64_t percent = fleet.worstPercent();
  std::printf("a herd thaws, %zu nodes, leaders of %lld s, seed %lu: worst window %lu%%\n", nodes,
              static_cast<long long>(leaderUs / kSecondUs), seed, percent);
  expect(percent <= 100,
         absl::StrCat("no window over the bound: ", percent, "%, a herd, ", nodes, " nodes, seed ", seed));
}

// One leader is lost, or the chain takes nothing for a while: what is refused meanwhile.
void oneTrouble(std::uint64_t seed, std::size_t nodes, bool lost) {
  QuotaFleetPlan plan = planOf(kTraffics[0], seed, nodes, 12);
  plan.troubles = false;
  QuotaFleet fleet(seed, plan);
  fleet.run(20 * kSecondUs);
  std::uint64_t owedBefore = 0, missedBefore = 0, owed = 0, missed = 0;
  for (std::size_t tenant = 0; tenant < plan.limits.size(); ++tenant) {
    owedBefore += fleet.tally(tenant).owed;
    missedBefore += fleet.tally(tenant).missed();
  }
  if (lost)
    fleet.loseLeader(3 * kSecondUs);
  else
    fleet.stallChain(2 * kSecondUs);
  fleet.run(10 * kSecondUs);
  for (std::size_t tenant = 0; tenant < plan.limits.size(); ++tenant) {
    owed += fleet.tally(tenant).owed;
    missed += fleet.tally(tenant).missed();
  }
  std::printf("%s, %zu nodes, seed %lu: %lu of %lu missed in 10 s\n", lost ? "a leader lost" : "a stall", nodes, seed,
              missed - missedBefore, owed - owedBefore);
  expect(fleet.worstPercent() <= 100, "no window over the bound");
}
}  // namespace

int main() {
  sharesAddUp();
  const Seeds seeds = givenSeeds("QUOTA_SEEDS", {1, 3});
  for (const std::size_t nodes : {12, 75, 420}) {
    for (const Us leaderUs : {3 * kSecondUs, 40 * kSecondUs})
      for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) herd(seed, nodes, leaderUs);
    for (const bool lost : {false, true}) oneTrouble(seeds.first, nodes, lost);
    for (const Traffic& traffic : kTraffics) {
      Sum sum;
      for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) troubled(seed, traffic, nodes, sum);
      std::printf("troubles, %zu nodes, %s: worst window %lu%% of what is allowed, %lu of %lu missed, %lu leaders\n",
                  nodes, traffic.name, sum.worst, sum.missed, sum.owed, sum.takes);
      if (!traffic.jumps && !traffic.limitsMove) calm(seeds.first, traffic, nodes);
    }
  }
  return expectationsVerdict();
}
