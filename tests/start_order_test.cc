// The first start of a whole fleet within 0.3 s, in any order: seeds first, last or anywhere, so that a process may
// find none of its seeds listening yet; and seeds that are named anew while a process runs (docs/platform.md).
#include "members_stage.h"

using namespace stonemount;

namespace {
constexpr Us kSpreadUs = 300 * kMilliUs;
constexpr Us kReadyUs = 6 * kSecondUs;  // traffic starts 10 s after the machines do
enum class Order : std::uint8_t { kAny, kSeedsLast, kSeedsFirst };

struct Started {
  Started(std::uint64_t given, Order order)
      : seed(given), fleet(given, shapeOf(given)), chance(given * 31 + static_cast<std::uint64_t>(order)) {
    std::vector<Part*> waiting;
    for (Part& part : fleet.parts()) waiting.push_back(&part);
    for (std::size_t i = waiting.size(); i > 1; --i) std::swap(waiting[i - 1], waiting[chance.below(i)]);
    if (order != Order::kAny)
      std::stable_partition(waiting.begin(), waiting.end(),
                            [this, order](Part* part) { return isSeed(*part) == (order == Order::kSeedsFirst); });
    const Us stepUs = kSpreadUs / static_cast<Us>(waiting.size());
    for (Part* part : waiting) {
      fleet.start(*part);
      fleet.run(stepUs);
    }
  }
  bool isSeed(const Part& part) {
    for (const Part& other : fleet.parts())
      for (const Address& one : other.settings.seeds)
        if (one == part.host->wire()) return true;
    return false;
  }
  std::uint64_t seed;
  Fleet fleet;
  Chance chance;
};

void inAnyOrder(std::uint64_t seed, Order order) {
  Started started(seed, order);
  const Us sinceUs = started.fleet.world().nowUs();
  // Ready without a configuration: the chains stand and the cut is certain; the operator's first push follows.
  started.fleet.runUntilReady(kReadyUs);
  const Us tookUs = started.fleet.world().nowUs() - sinceUs;
  std::printf("start seed=%d order=%d ready_us=%lld\n", static_cast<int>(seed), static_cast<int>(order),
              static_cast<long long>(tookUs));
  expect(tookUs < kReadyUs, seed, "a fleet whose processes start in any order is ready in time");
  for (Part* part : started.fleet.of(PartKind::kNode)) {
    std::size_t cores = 0;
    for (const PeerRecord& record : part->node->gossip().alive(Role::kCore)) cores += record.wire.set() ? 1 : 0;
    expect(cores >= 2, seed, "every node knows cores");
  }
}

// A node that was told seeds which do not exist is alone until its settings name others.
void seedsNamedAnew(std::uint64_t seed) {
  Fleet fleet(seed, shapeOf(seed));
  Part& lonely = *fleet.of(PartKind::kNode).front();
  const std::vector<Address> real = lonely.settings.seeds;
  lonely.settings.seeds = {{(127U << 24) | 250, 7001}};
  for (Part& part : fleet.parts()) fleet.start(part);
  fleet.run(3 * kSecondUs);
  expect(lonely.node->gossip().alive(Role::kCore).empty(), seed, "with dead seeds it knows nobody");
  lonely.node->gossip().setSeeds(real);
  fleet.run(kSecondUs);
  expect(!lonely.node->gossip().alive(Role::kCore).empty(), seed, "with new ones it knows cores 1 s later");
}
}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    for (const Order order : {Order::kAny, Order::kSeedsLast, Order::kSeedsFirst}) inAnyOrder(seed, order);
    seedsNamedAnew(seed);
  }
  std::printf("start_order_test: %d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
