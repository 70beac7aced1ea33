// Five members of which two never got a vote, so that the loss of two voters' disks stops the chain for good.
#include "chain_rig.h"
#include "expect.h"

using namespace stonemount;

namespace {
constexpr std::size_t kFounders = 3, kMembers = 5;

Task join(Rig& rig, Address address, bool& done) {
  Job<std::variant<ChangeReply, PeerSilent>> job = rig.client->changeVoters({address, Address()}, 8 * kSecondUs);
  co_await job;
  done = true;
}

void addMember(Rig& rig) {
  const std::size_t place = rig.hosts.size();
  rig.addresses.push_back({1, static_cast<std::uint16_t>(1 + place)});
  rig.hosts.push_back(&rig.world.addHost("m" + std::to_string(place), "zone-" + std::to_string(place % 3),
                                         rig.addresses[place], {2, static_cast<std::uint16_t>(1 + place)}));
  rig.hosts[place]->disk = std::make_unique<SimDisk>(*rig.hosts[place], kFiles, 256 << 10);
  rig.processes.emplace_back();
  rig.start(place);
  bool done = false;
  rig.room.start(join(rig, rig.addresses[place], done));
  for (int i = 0; i < 100 && !done; ++i) rig.world.runUntil(rig.world.nowUs() + 100 * kMilliUs);
}

void play(std::size_t first, std::size_t second) {
  const std::string name = ", members " + std::to_string(first) + " and " + std::to_string(second) + " lost";
  Rig rig(1 + first * kMembers + second, kFounders);
  rig.world.runUntil(2 * kSecondUs);
  while (rig.hosts.size() < kMembers) addMember(rig);
  rig.world.runUntil(rig.world.nowUs() + 2 * kSecondUs);
  expect(rig.wholeAndActive(), "five members stand" + name);
  const std::size_t voters = rig.processes[0]->member.view().voters.size();
  expect(voters == kMembers, std::to_string(voters) + " of five vote" + name);
  for (int i = 0; i < 20; ++i) rig.room.start(writeOne(rig, hexText(++rig.next)));
  rig.world.runUntil(rig.world.nowUs() + kSecondUs);
  expect(rig.acked.size() == 20, "all is acknowledged" + name);
  for (std::size_t i = 0; i < kMembers; ++i) i == first || i == second ? rig.wipe(i) : rig.kill(i);
  rig.world.runUntil(rig.world.nowUs() + kSecondUs);
  for (std::size_t i = 0; i < kMembers; ++i) rig.start(i);
  for (int i = 0; i < 15 && rig.reads == 0; ++i) {
    rig.room.start(readOne(rig));
    rig.world.runUntil(rig.world.nowUs() + kSecondUs);
  }
  expect(rig.reads > 0, "the chain can be read 15 s later" + name);
}
}  // namespace

int main() {
  for (std::size_t first = 0; first < kMembers; ++first)
    for (std::size_t second = first + 1; second < kMembers; ++second) play(first, second);
  return expectationsVerdict();
}
