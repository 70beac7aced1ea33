// Lots must not be late while nodes idle: a node that takes a lot in may have only a few of its items at workers, and
// the other nodes have places free (docs/incidents/31-lots-held-at-one-node.md). More seeds: SPREAD_SEEDS=FIRST,COUNT.
#include <absl/strings/str_cat.h>

#include "given_seeds.h"
#include "lots_rig.h"

using namespace stonemount;

namespace {
constexpr std::size_t kPlaces = 4;          // that each node may have at workers
constexpr Us kEventUs = 90 * kMilliUs;      // 3 to 11 of them an item
constexpr Us kDueUs = 8 * kSecondUs;        // after acceptance
constexpr Us kIdleLimitUs = 3 * kSecondUs;  // an item's own time is 1 s at most
constexpr std::size_t kItemsOfLot = 40;
Us longestUs = 0;

struct Burst {
  const char* name;
  std::size_t nodes;
  std::size_t takers;  // nodes that are handed lots
  std::size_t lots;
  Us limitUs;
};

bool allSealed(LotsRig& rig, std::size_t items) {
  for (Part* store : rig.fleet.of(PartKind::kStore)) {
    std::size_t sealed = 0;
    for (const auto& [name, lot] : store->store->machine().state().lots) sealed += lot.sealed;
    if (sealed >= items) return true;
  }
  return false;
}

std::vector<std::string> itemsOf(std::size_t lot) {
  std::vector<std::string> items;
  for (std::size_t i = 0; i < kItemsOfLot; ++i) items.push_back(absl::StrCat("i-", lot, "-", i));
  return items;
}

void play(const Burst& burst, std::uint64_t seed) {
  LotsRig rig(seed, burst.nodes);
  for (auto& node : rig.nodes) {
    node->workers.places = kPlaces;
    node->workers.eventUs = kEventUs;
  }
  const std::string where = absl::StrCat(burst.name, ", seed ", seed);
  std::vector<std::shared_ptr<HeardReply>> replies;
  const Us beganUs = rig.fleet.world().nowUs();
  for (std::size_t i = 0; i < burst.lots; ++i) {
    const std::string lot = absl::StrCat("lot-", i);
    const std::size_t taker = (seed * 7 + i % burst.takers) % burst.nodes;
    replies.push_back(rig.begin(taker, "POST", "/bulk/" + lot, {{"attempt-id", lot}}, LotsRig::lotOf(itemsOf(i))));
  }
  const std::size_t items = burst.lots * kItemsOfLot;
  while (!allSealed(rig, items) && rig.fleet.world().nowUs() - beganUs < 4 * kDueUs) rig.fleet.run(20 * kMilliUs);
  const Us tookUs = rig.fleet.world().nowUs() - beganUs;
  longestUs = std::max(longestUs, tookUs);
  std::printf("%s: %zu items in %lld ms\n", where.c_str(), items, static_cast<long long>(tookUs / kMilliUs));
  for (const auto& reply : replies) LotsRig::expect(reply->status == 202, where + ": a lot is taken");
  LotsRig::expect(tookUs <= burst.limitUs, absl::StrCat(where, ": all is done in ", tookUs / kMilliUs, " ms, not in ",
                                                        burst.limitUs / kMilliUs));
  LotsRig::expect(rig.log.wrong.empty(), where + ": items are sent as handed in");
  std::size_t twice = 0;
  for (const auto& [item, log] : rig.log.items) twice += log.wholes > 1 ? 1 : 0;
  LotsRig::expect(twice == 0, absl::StrCat(where, ": ", twice, " items ran twice in calm"));
}
}  // namespace

int main() {
  // 40 items beside 240 places; then 1,200 items, five for each place, handed to a tenth of the nodes.
  const Burst bursts[] = {{"one lot", 60, 1, 1, kIdleLimitUs}, {"a burst", 60, 6, 30, kDueUs}};
  const Seeds seeds = givenSeeds("SPREAD_SEEDS", {1, 3});
  for (const Burst& burst : bursts)
    for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) play(burst, seed);
  std::printf("longest: %lld ms\n", static_cast<long long>(longestUs / kMilliUs));
  std::printf("%d passed, %d failed\n", LotsRig::passed, LotsRig::failed);
  return LotsRig::failed == 0 ? 0 : 1;
}
