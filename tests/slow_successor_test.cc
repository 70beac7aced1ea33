// A member of a chain that is slow for a while, under many writes: its predecessor keeps what it still lacks, takes no
// more than that may grow to, and the chain stays as it is (design.md 6.3, incident 23).
#include "chain_rig.h"
#include "expect.h"

using namespace stonemount;

namespace {
constexpr std::size_t kMembers = 5;
constexpr std::size_t kKeptEntries = 64;  // far fewer than come while a member is slow
constexpr std::size_t kFileBytes = 1 << 20;
constexpr std::size_t kEntryBytes = 1000;
constexpr int kBursts = 20;
constexpr int kBurstEntries = 150;
constexpr std::uint64_t kSeeds = 40;

std::size_t shortestChain(const Rig& rig) {
  std::size_t shortest = kMembers;
  for (const auto& [revision, view] : rig.views) shortest = std::min(shortest, view.chain.size());
  return shortest;
}

std::uint64_t leftBehind(const Rig& rig) {
  std::uint64_t count = 0;
  for (const auto& process : rig.processes) count += process->member.counts().leftBehind;
  return count;
}

// It leaves the state as large as it was, so that the ring does not fill.
Task writeOver(Rig& rig, Bytes value) {
  Job<ChainAnswer> job = rig.client->submit(kNoGrowth + value, 3 * kSecondUs);
  co_await job;
}

void slowForAWhile(std::uint64_t seed) {
  const std::string name = ", seed " + std::to_string(seed);
  Rig rig(seed, kMembers, kKeptEntries, kFileBytes);
  rig.world.runUntil(2 * kSecondUs);
  expect(rig.wholeAndActive(), "the chain stands" + name);
  const std::size_t slow = 1 + rig.chance.below(kMembers - 1);
  rig.hosts[slow]->usPerKilobyte = static_cast<Us>(300 + rig.chance.below(1200));
  for (int burst = 0; burst < kBursts; ++burst) {
    for (int i = 0; i < kBurstEntries; ++i)
      rig.room.start(writeOver(rig, hexText(++rig.next) + Bytes(kEntryBytes, 'v')));
    rig.world.runUntil(rig.world.nowUs() + 100 * kMilliUs);
  }
  rig.hosts[slow]->usPerKilobyte = 0;
  rig.world.runUntil(rig.world.nowUs() + 4 * kSecondUs);
  expect(leftBehind(rig) == 0, "no successor is left behind" + name);
  expect(shortestChain(rig) + 1 >= kMembers,
         "only the slow one may have left the chain, it had " + std::to_string(shortestChain(rig)) + name);
  const std::uint64_t before = rig.written;
  rig.room.start(writeOne(rig, hexText(++rig.next)));
  rig.room.start(readOne(rig));
  rig.world.runUntil(rig.world.nowUs() + kSecondUs);
  expect(rig.written == before + 1 && rig.reads == 1, "it takes and answers, nothing lost" + name);
}
}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) slowForAWhile(seed);
  return expectationsVerdict();
}
