// A chain whose link to the head was slow for a while keeps a small window; once it is idle on good links, lots that
// come at the same moment are taken one after the other, none is refused (design.md 6.3, incident 26).
#include <absl/strings/str_cat.h>

#include "chain_sender.h"
#include "expect.h"
#include "given_seeds.h"

using namespace stonemount;

namespace {
constexpr std::size_t kMembers = 5;
constexpr std::size_t kSenders = 6;
constexpr std::size_t kLotBytes = 100 << 10;
constexpr Us kGoodUsPerKilobyte = 137;  // 60 Mbit/s
constexpr Us kSlowUsPerKilobyte = 10 * kGoodUsPerKilobyte;
constexpr Us kSlowUs = 3 * kSecondUs;
constexpr Us kLotEveryUs = 120 * kMilliUs;
constexpr Us kIdleUs = 2 * kSecondUs;  // shorter than a window is remembered
constexpr Us kLimitUs = 2500 * kMilliUs;
constexpr std::size_t kFileBytes = 16 << 20;

struct Outcomes {
  std::size_t taken = 0, refused = 0, unsure = 0;
};

Task handIn(ChainSender& sender, Bytes command, Outcomes& outcomes) {
  Job<ChainAnswer> job = sender.client->submit(std::move(command), kLimitUs, 0, WhenFull::kTellAtOnce);
  const ChainAnswer answer = co_await job;
  auto* failure = std::get_if<ChainFailure>(&answer);
  ++(failure == nullptr ? outcomes.taken : failure->unsure ? outcomes.unsure : outcomes.refused);
}

void idleChain(std::uint64_t seed) {
  Rig rig(seed, kMembers, 20000, kFileBytes, 0, 8, true);
  std::vector<std::unique_ptr<ChainSender>> senders;
  for (std::uint16_t i = 0; i < kSenders; ++i) senders.push_back(std::make_unique<ChainSender>(rig, i));
  TaskRoom room;
  Outcomes slow, idle;
  rig.world.runUntil(2 * kSecondUs);
  const Address head = rig.processes.front()->member.view().chain.front().address;
  for (std::size_t i = 0; i < kMembers; ++i)
    rig.hosts[i]->linkUsPerKilobyte = rig.addresses[i] == head ? kSlowUsPerKilobyte : kGoodUsPerKilobyte;
  const Us fromUs = rig.world.nowUs();
  for (std::size_t lot = 0; rig.world.nowUs() < fromUs + kSlowUs; ++lot) {
    room.start(handIn(*senders[lot % kSenders], absl::StrCat("slow-", lot, Bytes(kLotBytes, 'l')), slow));
    rig.world.runUntil(rig.world.nowUs() + kLotEveryUs);
  }
  for (SimHost* host : rig.hosts) host->linkUsPerKilobyte = kGoodUsPerKilobyte;
  rig.world.runUntil(rig.world.nowUs() + kIdleUs);
  for (std::size_t i = 0; i < kSenders; ++i)
    room.start(handIn(*senders[i], absl::StrCat("idle-", i, Bytes(kLotBytes, 'l')), idle));
  rig.world.runUntil(rig.world.nowUs() + 2 * kLimitUs);
  expect(slow.taken > 0, absl::StrCat("lots are taken over the slow link, seed ", seed));
  expect(idle.taken == kSenders, absl::StrCat(idle.taken, " of ", kSenders, " taken while idle, ", idle.refused,
                                              " refused, ", idle.unsure, " unsure, seed ", seed));
  room.clear();
}
}  // namespace

int main() {
  const Seeds seeds = givenSeeds("IDLE_ROOM_SEEDS", {1, 40});
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) idleChain(seed);
  return expectationsVerdict();
}
