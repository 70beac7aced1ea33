// Partial views over hundreds of processes: how news spreads, how halves that were split find each
// other again, and how often a living process is taken for dead (simulated time).
#include <algorithm>
#include <cstdio>

#include "gossip/gossip.h"
#include "simulator/world.h"

using namespace stonemount;

namespace {
constexpr std::size_t kProcesses = 300;
int passed = 0, failed = 0;

void expect(bool well, const char* what) {
  ++(well ? passed : failed);
  std::printf("%s %s\n", well ? "ok" : "FAILED", what);
}

struct Process {
  Process(SimHost& given, GossipPlan plan)
      : host(given), ports(given.ports()), rpc(given, given, given.chance), gossip(ports, rpc, room, std::move(plan)) {
    PeerRecord record;
    record.role = Role::kNode;
    record.zone = given.zone();
    record.http = given.http();
    gossip.begin(record);
  }
  ~Process() { room.clear(); }
  SimHost& host;
  Ports ports;
  TaskRoom room;
  RpcEndpoint rpc;
  Gossip gossip;
};

struct Crowd {
  explicit Crowd(std::uint64_t seed) : world(seed) {
    for (std::uint32_t i = 0; i < kProcesses; ++i) {
      SimHost& host = world.addHost("p" + std::to_string(i), "zone-" + std::to_string(i % 3),
                                    {1, static_cast<std::uint16_t>(1 + i)}, {2, static_cast<std::uint16_t>(1 + i)});
      host.rise();
    }
    GossipPlan plan;
    plan.seeds = {{1, 1}, {1, 2}, {1, 3}};
    for (auto& host : world.hosts()) processes.push_back(std::make_unique<Process>(*host, plan));
  }
  void run(Us lengthUs) { world.runUntil(world.nowUs() + lengthUs); }
  std::size_t fewestKnown() {
    std::size_t fewest = kProcesses;
    for (auto& process : processes) fewest = std::min(fewest, process->gossip.alive(Role::kNode).size());
    return fewest;
  }
  // How many know the newest control revision, as told on records alone.
  std::size_t reached(Revision revision) {
    std::size_t count = 0;
    for (auto& process : processes) {
      bool knows = process->gossip.self().control >= revision;
      for (const auto& [address, sight] : process->gossip.sights()) knows |= sight.record.control >= revision;
      if (knows) process->gossip.self().control = std::max(process->gossip.self().control, revision);
      count += knows ? 1 : 0;
    }
    return count;
  }
  World world;
  std::vector<std::unique_ptr<Process>> processes;
};

void split(Crowd& crowd, bool cut) {
  for (std::size_t i = 0; i < kProcesses; ++i)
    for (std::size_t j = 0; j < kProcesses; ++j)
      if (i % 2 != j % 2) crowd.world.setCut(*crowd.world.hosts()[i], *crowd.world.hosts()[j], cut);
}

void course(std::uint64_t seed) {
  Crowd crowd(seed);
  Us startUs = 0;
  while (crowd.fewestKnown() < 20 && crowd.world.nowUs() < 30 * kSecondUs) crowd.run(100 * kMilliUs);
  startUs = crowd.world.nowUs();
  crowd.run(5 * kSecondUs);
  crowd.processes[17]->gossip.self().control = 5;
  const Us toldUs = crowd.world.nowUs();
  while (crowd.reached(5) < kProcesses && crowd.world.nowUs() < toldUs + 30 * kSecondUs) crowd.run(50 * kMilliUs);
  const Us spreadUs = crowd.world.nowUs() - toldUs;
  // False suspicion: a tenth of the machines are slow, frozen half a second in every two.
  std::uint64_t looks = 0, wrong = 0;
  for (int i = 0; i < 40; ++i) {
    for (std::size_t j = 0; j < kProcesses; j += 10)
      if (i % 4 == 0) crowd.processes[j]->host.frozenUntilUs = crowd.world.nowUs() + 500 * kMilliUs;
    crowd.run(500 * kMilliUs);
    for (auto& process : crowd.processes)
      for (const auto& [address, sight] : process->gossip.sights()) {
        ++looks;
        wrong += process->gossip.isAlive(sight) ? 0 : 1;
      }
  }
  split(crowd, true);
  crowd.run(40 * kSecondUs);  // longer than a record is remembered
  split(crowd, false);
  const Us healedUs = crowd.world.nowUs();
  const Revision late = 9;
  crowd.processes[18]->gossip.self().control = late;
  while (crowd.reached(late) < kProcesses && crowd.world.nowUs() < healedUs + 60 * kSecondUs) crowd.run(100 * kMilliUs);
  const Us healUs = crowd.world.nowUs() - healedUs;
  std::uint64_t bytes = 0, frames = 0;
  for (auto& process : crowd.processes) bytes -= process->rpc.sentBytes, frames -= process->rpc.sentFrames;
  crowd.run(10 * kSecondUs);
  for (auto& process : crowd.processes) bytes += process->rpc.sentBytes, frames += process->rpc.sentFrames;
  std::printf(
      "seed=%d processes=%d start_us=%lld spread_us=%lld heal_us=%lld wrong_share=%.4f frames_s_each=%.1f "
      "bytes_s_each=%.0f\n",
      static_cast<int>(seed), static_cast<int>(kProcesses), static_cast<long long>(startUs),
      static_cast<long long>(spreadUs), static_cast<long long>(healUs),
      static_cast<double>(wrong) / static_cast<double>(looks), static_cast<double>(frames) / 10.0 / kProcesses,
      static_cast<double>(bytes) / 10.0 / kProcesses);
  expect(startUs < 10 * kSecondUs, "everyone knows twenty peers within 10 s of a common start");
  expect(spreadUs < 4 * kSecondUs, "a record's news reaches all within 4 s");
  expect(healUs < 20 * kSecondUs, "halves that forgot each other are one again within 20 s");
}
}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) course(seed);
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
