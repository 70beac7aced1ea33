// The results of a day of the largest deployment that is served today, handed to a real chain of replicas on its store
// machines' disks and memory: all of its lots are taken and done, and every result is told again after a loss of power
// of all, of each replica in turn, and of a disk (incidents 23 and 25).
#include "expect.h"
#include "lot_room_rig.h"

using namespace stonemount;

namespace {
// A day hands in 19,318 items within the time for which results are kept, more where a burst comes late.
constexpr std::size_t kDayLots = 267;
constexpr std::size_t kUnderWay = 20;   // lots that are taken and not done
constexpr std::size_t kBurstLots = 60;  // that come at once
constexpr std::size_t kBurstEvery = 130;
constexpr Us kBetweenLotsUs = 200 * kMilliUs;
constexpr Us kBackUs = 30 * kSecondUs;
constexpr std::size_t kReadEvery = 16;

struct Day {
  std::vector<std::size_t> taken, done;
  std::size_t refused = 0, unsealed = 0;
};

// Lots come one after the other, some at once, and are done in the order in which they came.
Day playDay(LotRoomRig& rig, std::size_t firstLot) {
  Day day;
  std::size_t sealed = 0;
  const auto sealUntil = [&](std::size_t underWay) {
    for (; sealed + underWay < day.taken.size(); ++sealed)
      rig.sealLot(day.taken[sealed]) ? day.done.push_back(day.taken[sealed]) : static_cast<void>(++day.unsealed);
  };
  for (std::size_t lot = 0; lot < kDayLots; ++lot) {
    rig.passTime(kBetweenLotsUs);
    const std::size_t name = firstLot + lot;
    rig.submitLot(name) ? day.taken.push_back(name) : static_cast<void>(++day.refused);
    sealUntil(lot % kBurstEvery < kBurstLots ? kBurstLots : kUnderWay);
  }
  sealUntil(0);
  return day;
}

void readAll(LotRoomRig& rig, const Day& day, std::size_t every, const std::string& when) {
  std::size_t wrong = 0;
  for (std::size_t i = 0; i < day.done.size(); i += every) wrong += rig.readsBack(day.done[i]) ? 0 : 1;
  expect(wrong == 0, "every result is told as it was given " + when + ": " + std::to_string(wrong) + " lots are not");
}

void expectWholeDay(const Day& day) {
  std::printf("%zu of %zu lots taken, %zu done: %zu results\n", day.taken.size(), kDayLots, day.done.size(),
              day.done.size() * kLotItems);
  expect(day.refused == 0, "no lot is refused for want of room: " + std::to_string(day.refused));
  expect(day.unsealed == 0, "no result is refused: " + std::to_string(day.unsealed));
}
}  // namespace

int main() {
  LotRoomRig rig(20);
  const Day day = playDay(rig, 0);
  expectWholeDay(day);
  readAll(rig, day, 1, "as the day ends");
  rig.killAllAndStart();
  expect(rig.whole(kBackUs), "the chain is whole after a loss of power of all");
  readAll(rig, day, 1, "after a loss of power of all");
  for (std::size_t victim = 0; victim < rig.hosts(); ++victim) {
    victim == 1 ? rig.wipe(victim) : rig.kill(victim);
    rig.world().runUntil(rig.world().nowUs() + 2 * kSecondUs);
    rig.start(victim);
    expect(rig.whole(kBackUs), "replica " + std::to_string(victim) + " is back in the chain");
    readAll(rig, day, kReadEvery, "after replica " + std::to_string(victim) + " was lost");
  }
  rig.expireAll();
  const Day next = playDay(rig, kDayLots);
  expectWholeDay(next);
  readAll(rig, next, kReadEvery, "as the next day ends");
  return expectationsVerdict();
}
