// A control machine that is cut off for some 20 s: what it answers meanwhile, and what meets it on its return
// (docs/review/1-cut-off.md). Simulated time; the same verdict each time. More seeds: CUT_OFF_ROUNDS=FIRST,COUNT.
#include "cut_off_rig.h"
#include "given_seeds.h"

using namespace stonemount;

namespace {
constexpr std::uint64_t kCases = static_cast<std::uint64_t>(CutWay::kCount) *
                                 static_cast<std::uint64_t>(Victim::kCount) *
                                 static_cast<std::uint64_t>(Meeting::kCount);
constexpr Us kCutUs = 20 * kSecondUs;
constexpr Us kStoodDownUs = 2 * kSecondUs;
constexpr Us kBackUs = 3 * kSecondUs;
Us longestBackUs = 0;

// While it is cut off, in whichever way, it confirms nothing and shows nothing; the others go on.
void whileCutOff(CutOffRig& rig, const CutCase& given, std::size_t victim) {
  const Us sinceUs = rig.world.nowUs();
  bool restarted = !given.restarted;
  while (rig.world.nowUs() - sinceUs < kCutUs) {
    rig.refuseAll(victim);
    rig.check(!rig.reads(victim), "a core that is cut off shows no configuration");
    const std::uint64_t next = rig.standing + 2;
    const int status = rig.order(victim, next);
    // Of an order that came as the cut began it may not know; later it is sure that nothing was sent.
    const bool sure = rig.world.nowUs() - sinceUs > kStoodDownUs;
    rig.check(status == 503 || (status == 504 && !sure), absl::StrCat("it answers an order with ", status));
    const Heard zone = rig.ask(victim, "POST", "/api/evacuation/z2");
    rig.check(zone.status == 503 || (zone.status == 504 && !sure), absl::StrCat("an evacuation with ", zone.status));
    rig.put((victim + 1) % rig.cores.size(), next);  // the same order, elsewhere
    const bool others = rig.reads((victim + 2) % rig.cores.size());
    rig.check(others || rig.world.nowUs() - sinceUs < kStoodDownUs, "the others show it");
    rig.run(700 * kMilliUs);
    const bool late = rig.world.nowUs() - sinceUs > kStoodDownUs;
    rig.check(!late || !rig.holdsDuty(victim), "a core that is cut off holds no duty");
    if (restarted || rig.world.nowUs() - sinceUs < kCutUs / 2) continue;
    rig.kill(rig.cores[victim], given.seed % 2 == 0);
    rig.run(300 * kMilliUs);
    rig.start(rig.cores[victim]);
    restarted = true;
  }
}

// Two orders on one base in the moment of the return: at most one is taken, and what is read shows which.
void raced(CutOffRig& rig, std::size_t victim) {
  const std::uint64_t base = rig.standing;
  Heard heard[2];
  for (std::size_t i = 0; i < 2; ++i)
    rig.send((victim + i) % rig.cores.size(), configAsk("PUT", std::to_string(base), plainPut(base + 1 + i)), heard[i]);
  rig.finish();
  rig.run(3 * kSecondUs);
  rig.check(heard[0].status != 200 || heard[1].status != 200, "two on one base are not both taken");
  Heard shown;
  for (int i = 0; i < 20 && shown.status != 200; ++i, rig.run(100 * kMilliUs))
    shown = rig.ask((victim + 1) % rig.cores.size(), "GET", kConfiguration);
  const std::uint64_t now = CutOffRig::revisionOf(shown);
  for (std::size_t i = 0; i < 2; ++i) {
    rig.check(heard[i].status != 200 || now == base + 1 + i, "the one that was acknowledged stands");
    rig.check(heard[i].status != 412 || now != base, "none is refused for another that was not taken");
    rig.check(heard[i].status == 200 || heard[i].status == 412 || heard[i].status >= 503,
              absl::StrCat("a raced order was answered with ", heard[i].status));
  }
  rig.check(now >= base, "the race took nothing back");
  rig.standing = now;
}

// One order eight times at once, at every core: each answer acknowledges it or is unclear.
void pressed(CutOffRig& rig, std::size_t victim) {
  Heard heard[8];
  const std::uint64_t next = rig.standing + 3;
  for (std::size_t i = 0; i < std::size(heard); ++i)
    rig.send((victim + i) % rig.cores.size(), configAsk("PUT", std::to_string(rig.standing), plainPut(next)), heard[i]);
  rig.finish();
  for (const Heard& one : heard) rig.judgeOrder(one);
  rig.put(victim, next);
}

void oneCase(const CutCase& given) {
  CutOffRig rig(given);
  const std::size_t victim = rig.choose();
  // An order that is under way as the cut begins may be taken or not; it is sent again until that is clear.
  Heard early;
  const std::uint64_t next = rig.standing + 1;
  if (given.seed % 2 == 1) {
    rig.send(victim, configAsk("PUT", std::to_string(rig.standing), plainPut(next)), early);
    rig.run(static_cast<Us>(given.seed % 7) * 300);
  }
  rig.cut(victim, true);
  if (given.seed % 2 == 1) {
    rig.finish();
    rig.judgeOrder(early);
    rig.put((victim + 1) % rig.cores.size(), next);
  }
  whileCutOff(rig, given, victim);
  rig.cut(victim, false);
  const Us backUs = rig.world.nowUs();
  if (given.meeting == Meeting::kMet) rig.put(victim, rig.standing + 4);
  if (given.meeting == Meeting::kRaced) raced(rig, victim);
  if (given.meeting == Meeting::kPressed) pressed(rig, victim);
  const Us meetingUs = rig.world.nowUs() - backUs;
  while (!rig.reads(victim) && rig.world.nowUs() - backUs < 2 * kBackUs + meetingUs) rig.run(50 * kMilliUs);
  if (given.meeting != Meeting::kRaced) longestBackUs = std::max(longestBackUs, rig.world.nowUs() - backUs);
  rig.check(rig.world.nowUs() - backUs <= kBackUs + meetingUs, "it serves soon after its return");
  rig.put(victim, rig.standing + 1);
  rig.run(kBackUs);
  rig.check(rig.cores[victim].core->replica().active(), "it is a member of the chain again");
}

// Every case once; each has a seed of its own.
void everyCase(std::uint64_t seed) {
  for (std::uint8_t way = 0; way < static_cast<std::uint8_t>(CutWay::kCount); ++way)
    for (std::uint8_t victim = 0; victim < static_cast<std::uint8_t>(Victim::kCount); ++victim)
      for (std::uint8_t meeting = 0; meeting < static_cast<std::uint8_t>(Meeting::kCount); ++meeting) {
        CutCase given{static_cast<CutWay>(way), static_cast<Victim>(victim), static_cast<Meeting>(meeting),
                      seed % 3 == 0, seed};
        oneCase(given);
        ++seed;
      }
}
}  // namespace

int main() {
  const Seeds rounds = givenSeeds("CUT_OFF_ROUNDS", {0, 1});
  for (std::uint64_t round = rounds.first; round < rounds.end(); ++round) everyCase(1 + round * kCases);
  std::printf("longest until it served again: %lld us\n", static_cast<long long>(longestBackUs));
  std::printf("%d passed, %d failed\n", PlatformRig::passed, PlatformRig::failed);
  return PlatformRig::failed == 0 ? 0 : 1;
}
