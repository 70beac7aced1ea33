// A chain that grew from three to five members bears the loss of any two disks while all others lose power.
#include <absl/strings/str_cat.h>

#include "chain_rig.h"
#include "expect.h"
#include "given_seeds.h"

using namespace stonemount;

namespace {
constexpr std::size_t kMembers = 5;
constexpr std::size_t kFounders = 3;
constexpr std::size_t kKeptEntries = 20000;
constexpr std::size_t kFileBytes = 256 << 10;
constexpr std::size_t kZones = 3;
constexpr std::size_t kCommands = 20;
constexpr Us kReadableUs = 15 * kSecondUs;

Task takeIn(Rig& rig, Address newcomer, bool& done) {
  Job<std::variant<ChangeReply, PeerSilent>> changing =
      rig.client->changeVoters(ChangeVoters{newcomer, Address()}, 4 * kSecondUs);
  co_await changing;
  done = true;
}

class Day {
 public:
  Day(std::uint64_t seed, std::size_t first, std::size_t second)
      : first_(first),
        second_(second),
        name_(absl::StrCat(", seed ", seed, ", disks ", first, " and ", second)),
        rig_(seed, kMembers, kKeptEntries, kFileBytes, kZones, kFiles, false, kFounders) {}
  void run() {
    rig_.world.runUntil(2 * kSecondUs);
    for (std::size_t newcomer = kFounders; newcomer < kMembers; ++newcomer) grow(newcomer);
    expect(rig_.wholeAndActive(), "the chain has five members" + name_);
    const std::size_t voters = rig_.views.rbegin()->second.voters.size();
    expect(voters == kMembers, absl::StrCat(voters, " of five vote", name_));
    for (std::size_t i = 0; i < kCommands; ++i) rig_.room.start(writeOne(rig_, hexText(++rig_.next)));
    rig_.world.runUntil(rig_.world.nowUs() + 3 * kSecondUs);
    expect(rig_.written == kCommands, "all commands are acknowledged" + name_);
    strike();
    readBack();
  }

 private:
  void grow(std::size_t newcomer) {
    const Us untilUs = rig_.world.nowUs() + 20 * kSecondUs;
    while (rig_.world.nowUs() < untilUs &&
           findMember(rig_.views.rbegin()->second, rig_.addresses[newcomer]) == nullptr) {
      bool done = false;
      rig_.room.start(takeIn(rig_, rig_.addresses[newcomer], done));
      while (!done) rig_.world.runUntil(rig_.world.nowUs() + 100 * kMilliUs);
    }
    rig_.world.runUntil(rig_.world.nowUs() + 2 * kSecondUs);
  }
  void strike() {
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (i == first_ || i == second_)
        rig_.wipe(i);
      else
        rig_.kill(i);
    }
    rig_.world.runUntil(rig_.world.nowUs() + kSecondUs);
    for (std::size_t i = 0; i < kMembers; ++i) rig_.start(i);
  }
  void readBack() {
    const Us untilUs = rig_.world.nowUs() + kReadableUs;
    while (rig_.reads == 0 && rig_.world.nowUs() < untilUs) {
      rig_.room.start(readOne(rig_));  // finds what is lost, by an invariant
      rig_.world.runUntil(rig_.world.nowUs() + 500 * kMilliUs);
    }
    expect(rig_.reads > 0, "what was acknowledged can be read" + name_);
  }
  std::size_t first_, second_;
  std::string name_;
  Rig rig_;
};
}  // namespace

int main() {
  const Seeds seeds = givenSeeds("TWO_LOSSES_SEEDS", {1, 3});
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed)
    for (std::size_t first = 0; first < kMembers; ++first)
      for (std::size_t second = first + 1; second < kMembers; ++second) Day(seed, first, second).run();
  return expectationsVerdict();
}
