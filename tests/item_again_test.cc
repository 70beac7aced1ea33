// An item of a lot that is run again: its node freezes and wakes after others ran what it had, or is killed between
// a worker's answer and the record of it. Whatever runs twice, a position holds one result, whole, for ever
// (design.md 9.8; docs/review/5-right-answer-once.md).
#include "lots_reading.h"

using namespace stonemount;

namespace {
constexpr std::size_t kItems = 60;

// What was read stays what it was, and the rest comes, at every node.
void judgeAll(LotsRig& rig, const std::vector<std::string>& items, const std::vector<Result>& before,
              const std::string& what) {
  for (std::size_t node = 0; node < rig.nodes.size(); ++node) {
    std::vector<Result> results;
    const bool read = readAll(rig, node, "a", results, items.size());
    LotsRig::expect(read && results.size() == items.size(), absl::StrCat(what, ": all of it, ", results.size()));
    LotsRig::expect(results.size() >= before.size() && std::equal(before.begin(), before.end(), results.begin()),
                    what + ": what was read has changed");
    judgeResults(rig, items, results, what);
  }
}

std::uint32_t ranAgain(const LotsRig& rig) {
  std::uint32_t count = 0;
  for (const auto& [item, log] : rig.log.items) count += log.wholes > 1 ? 1 : 0;
  return count;
}

// Frozen with answers on their way: others are granted its items; it wakes, and still has them to tell.
std::uint32_t frozenNodeWakes(std::uint64_t seed) {
  LotsRig rig(seed);
  const std::string what = absl::StrCat("frozen, seed ", seed);
  for (auto& node : rig.nodes) node->workers.oddsBroken = seed % 2 == 0 ? 4 : 0;
  const std::vector<std::string> items = itemsOf("a", kItems);
  LotsRig::expect(rig.submit(0, "a", items)->status == 202, "a lot is taken");
  rig.fleet.run(static_cast<Us>(40 + seed * 37 % 400) * kMilliUs);
  rig.hosts[0]->frozenUntilUs = rig.fleet.world().nowUs() + static_cast<Us>(4 + seed % 5) * kSecondUs;
  rig.fleet.run(static_cast<Us>(3 + seed % 5) * kSecondUs);
  std::vector<Result> before;
  LotsRig::expect(readAll(rig, 1, "a", before, items.size()), what + ": read while it is frozen");
  rig.fleet.run(8 * kSecondUs);
  judgeAll(rig, items, before, what);
  for (auto& node : rig.nodes) LotsRig::expect(node->scheduler.running() == 0, what + ": something runs for ever");
  return ranAgain(rig);
}

// Killed at any point from the sending to the record, and back at once or later.
std::uint32_t killedBeforeItsRecord(std::uint64_t seed) {
  LotsRig rig(seed);
  const std::string what = absl::StrCat("killed, seed ", seed);
  const std::vector<std::string> items = itemsOf("a", kItems);
  LotsRig::expect(rig.submit(0, "a", items)->status == 202, "a lot is taken");
  rig.fleet.run(static_cast<Us>(20 + seed * 53 % 600) * kMilliUs);
  std::vector<Result> before;
  LotsRig::expect(readAll(rig, 1, "a", before, items.size()), what + ": read before it is killed");
  rig.kill(0);
  if (seed % 2 == 0) rig.fleet.run(static_cast<Us>(seed % 4) * kSecondUs);
  rig.start(0);
  rig.fleet.run(11 * kSecondUs);
  judgeAll(rig, items, before, what);
  return ranAgain(rig);
}
}  // namespace

int main() {
  std::uint32_t again = 0;
  for (std::uint64_t seed = 100; seed < 112; ++seed) again += frozenNodeWakes(seed) + killedBeforeItsRecord(seed);
  LotsRig::expect(again > 0, "no item ran twice: this shows nothing");
  std::printf("%u items ran whole more than once\n%d passed, %d failed\n", again, LotsRig::passed, LotsRig::failed);
  return LotsRig::failed == 0 ? 0 : 1;
}
