// A burst of lots at a chain whose machines have links of 60 Mbit/s: what is too much is refused at once, and costs the
// chain no member, since it is never sent to the head (design.md 6.3, docs/klimarchiwum.md).
#include "chain_sender.h"
#include "expect.h"

using namespace stonemount;

namespace {
constexpr std::size_t kMembers = 5;
constexpr std::size_t kFileBytes = 4 << 20;
constexpr Us kLinkUsPerKilobyte = 137;  // 60 Mbit/s
constexpr std::size_t kLotBytes = 100 << 10;
constexpr Us kBurstUs = 3 * kSecondUs;
constexpr std::uint64_t kSeeds = 12;

struct Tally {
  std::uint64_t taken = 0, refused = 0, unsure = 0;
  Us slowestRefusalUs = 0;
};

Task handIn(Rig& rig, ChainSender& sender, Bytes lot, Tally& tally) {
  const Us begunUs = rig.world.nowUs();
  Job<ChainAnswer> job = sender.client->submit(std::move(lot), 2500 * kMilliUs, 0, WhenFull::kTellAtOnce);
  const ChainAnswer answer = co_await job;
  auto* failure = std::get_if<ChainFailure>(&answer);
  if (failure == nullptr) {
    ++tally.taken;
  } else if (failure->unsure) {
    ++tally.unsure;
  } else {
    ++tally.refused;
    tally.slowestRefusalUs = std::max(tally.slowestRefusalUs, rig.world.nowUs() - begunUs);
  }
}

// `times`: of what the link carries.
void burst(std::uint64_t seed, std::uint64_t times) {
  const std::string name = ", seed " + std::to_string(seed) + ", at " + std::to_string(times) + " times the link";
  Rig rig(seed, kMembers, 20000, kFileBytes);
  for (SimHost* host : rig.hosts) host->linkUsPerKilobyte = kLinkUsPerKilobyte;
  std::vector<std::unique_ptr<ChainSender>> senders;
  for (std::uint16_t i = 0; i < 40; ++i) senders.push_back(std::make_unique<ChainSender>(rig, i));
  rig.world.runUntil(2 * kSecondUs);
  expect(rig.wholeAndActive(), "the chain stands" + name);
  Tally tally;
  TaskRoom room;
  const Us everyUs = kLinkUsPerKilobyte * static_cast<Us>(kLotBytes) / 1024 / static_cast<Us>(times);
  for (Us atUs = 0; atUs < kBurstUs; atUs += everyUs) {
    ChainSender& sender = *senders[rig.chance.below(senders.size())];
    room.start(handIn(rig, sender, kNoGrowth + hexText(++rig.next) + Bytes(kLotBytes, 'b'), tally));
    rig.world.runUntil(rig.world.nowUs() + everyUs);
  }
  rig.world.runUntil(rig.world.nowUs() + 4 * kSecondUs);
  expect(rig.views.size() == 1, "no view but the first, there were " + std::to_string(rig.views.size()) + name);
  expect(tally.taken > 20, "lots are taken: " + std::to_string(tally.taken) + name);
  expect(times == 1 || tally.refused > 0, "what is too much is refused" + name);
  expect(tally.unsure == 0, "nothing is left unsure: " + std::to_string(tally.unsure) + name);
  expect(tally.slowestRefusalUs < 500 * kMilliUs, "refused at once" + name);
  room.clear();
  senders.clear();
}
}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed)
    for (const std::uint64_t times : {1, 2, 5}) burst(seed, times);
  return expectationsVerdict();
}
