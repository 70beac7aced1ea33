// A chain whose state has grown until it refuses more: everything that does not enlarge the state (answers of
// work already accepted, leases, expiry, the cut) is taken for as long as it comes (design.md 5.2).
#include "chain_rig.h"
#include "expect.h"

using namespace stonemount;

namespace {
constexpr std::size_t kGrowthBytes = 20 << 10;
constexpr std::size_t kSteadyBytes = 8 << 10;
constexpr std::size_t kRingBytes = kFiles * (256 << 10);
// Rings of few and of many files, of one size.
constexpr std::size_t kFileCounts[] = {kFiles, 3 * kFiles};

struct Told {
  bool done = false;
  bool taken = false;
  ChainError why = ChainError::kUnreachable;
};

Task send(Rig& rig, Bytes command, Told& told, WhenFull whenFull) {
  Job<ChainAnswer> sending = rig.client->submit(std::move(command), kSecondUs, kSecondUs / 5, whenFull);
  const ChainAnswer answer = co_await sending;
  told.taken = std::holds_alternative<Bytes>(answer);
  if (auto* failure = std::get_if<ChainFailure>(&answer)) told.why = failure->trouble;
  told.done = true;
}

Told ask(Rig& rig, Bytes command, WhenFull whenFull = WhenFull::kTryAgain) {
  Told told;
  rig.room.start(send(rig, std::move(command), told, whenFull));
  while (!told.done) rig.world.runUntil(rig.world.nowUs() + 10 * kMilliUs);
  return told;
}

// Grows until it is refused, then goes on with what does not enlarge: a ring's length of it, twice over.
void fullRingGoesOn(std::uint64_t seed, std::size_t files, bool beside) {
  Rig rig(seed, 3, 20000, kRingBytes / files, 0, files, beside);
  rig.world.runUntil(2 * kSecondUs);
  std::size_t grown = 0;
  Told told;
  for (told = ask(rig, Bytes(kGrowthBytes, 'g')); told.taken; told = ask(rig, Bytes(kGrowthBytes, 'g'))) ++grown;
  expect(told.why == ChainError::kRingFull, "it refuses because the ring is full");
  expect(grown * kGrowthBytes > kRingBytes / 5, "and not before a fifth of the ring is state");
  expect(!beside || grown * kGrowthBytes > kRingBytes * 2 / 5, "two fifths where values are written once");
  std::size_t refused = 0;
  for (std::size_t bytes = 0; bytes < 2 * kRingBytes; bytes += kSteadyBytes) {
    const Told steady = ask(rig, kNoGrowth + Bytes(kSteadyBytes, 's'));
    refused += steady.taken ? 0 : 1;
    if (refused >= 3) break;
  }
  expect(refused == 0, "what does not enlarge is taken for as long as it comes");
  expect(ask(rig, Bytes(kGrowthBytes, 'g')).why == ChainError::kRingFull, "and growth is refused still");
  expect(rig.wholeAndActive(), "no member is lost to a full ring");
}
// Callers who are refused for want of room are told at once, and have asked once: while many are refused the head has
// its work to do (incident 23).
void fullRingIsToldAtOnce(std::uint64_t seed) {
  Rig rig(seed, 3);
  rig.world.runUntil(2 * kSecondUs);
  while (ask(rig, Bytes(kGrowthBytes, 'g')).taken) {
  }
  constexpr std::uint64_t kRefusals = 20;
  const auto refusals = [&rig] {
    std::uint64_t count = 0;
    for (const auto& process : rig.processes) count += process->member.counts().ringFull;
    return count;
  };
  const std::uint64_t before = refusals();
  const Us beganUs = rig.world.nowUs();
  for (std::uint64_t i = 0; i < kRefusals; ++i)
    expect(ask(rig, Bytes(kGrowthBytes, 'g'), WhenFull::kTellAtOnce).why == ChainError::kRingFull,
           "it is told that the ring is full");
  expect(refusals() - before == kRefusals, "each was sent once: " + std::to_string(refusals() - before));
  expect(rig.world.nowUs() - beganUs <= static_cast<Us>(kRefusals) * 20 * kMilliUs, "and told at once");
}
// With a full ring each member in turn loses power, or its disk, and comes back: it opens or copies the whole state,
// and the chain takes what does not enlarge before, meanwhile and after.
void fullRingOutlivesLosses(std::uint64_t seed, std::size_t files, bool beside) {
  Rig rig(seed, 3, 20000, kRingBytes / files, 0, files, beside);
  rig.world.runUntil(2 * kSecondUs);
  while (ask(rig, Bytes(kGrowthBytes, 'g')).taken) {
  }
  for (std::size_t victim = 0; victim < rig.hosts.size(); ++victim) {
    const bool wiped = (seed + victim) % 2 == 0 && rig.mayWipe(victim);
    wiped ? rig.wipe(victim) : rig.kill(victim);
    rig.world.runUntil(rig.world.nowUs() + 1500 * kMilliUs);
    for (int i = 0; i < 40; ++i)
      expect(ask(rig, kNoGrowth + Bytes(kSteadyBytes, 's')).taken, "two members take what does not enlarge");
    rig.start(victim);
    const Us untilUs = rig.world.nowUs() + 5 * kSecondUs;
    while (rig.world.nowUs() < untilUs && !rig.wholeAndActive()) rig.world.runUntil(rig.world.nowUs() + 50 * kMilliUs);
    expect(rig.wholeAndActive(), wiped ? "a wiped member is back 5 s later" : "a member is back 5 s later");
    for (int i = 0; i < 40; ++i)
      expect(ask(rig, kNoGrowth + Bytes(kSteadyBytes, 's')).taken, "three members take what does not enlarge");
  }
}
}  // namespace

int main() {
  for (const std::size_t files : kFileCounts)
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      for (const bool beside : {false, true}) {
        fullRingGoesOn(seed, files, beside);
        fullRingOutlivesLosses(seed, files, beside);
      }
      fullRingIsToldAtOnce(seed);
    }
  std::printf("full_ring_test: %d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
