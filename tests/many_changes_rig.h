// A control chain alone on simulated machines, with the users' configuration of many routes, an operator who changes it
// without a pause, and a reader (design.md 6, 7.2).
#pragma once

#include <cstdio>

#include "control/control_machine.h"
#include "platform_texts.h"
#include "replication/client.h"
#include "replication/replica.h"
#include "simulator/world.h"

namespace stonemount {

constexpr std::size_t kRoutes = 10000;
constexpr Us kLinkUsPerKilobyte = 8;  // 1,000 Mbit/s

inline int passed = 0, failed = 0;
inline void expect(bool well, const std::string& what) {
  ++(well ? passed : failed);
  if (!well) std::printf("FAILED %s\n", what.c_str());
}

struct ControlProcess {
  ControlProcess(SimHost& host, ReplicaPlan plan)
      : ports(host.ports()), rpc(host, host, host.chance), member(ports, rpc, room, machine, std::move(plan)) {
    member.begin();
  }
  ~ControlProcess() { room.clear(); }
  Ports ports;
  TaskRoom room;
  RpcEndpoint rpc;
  ControlMachine machine;
  Replica member;
};

// A whole configuration, or its routes from one on, read as a node reads it.
inline ConfigRequest wholeConfig(std::size_t routes, Revision base, std::uint64_t round, std::size_t from = 0) {
  std::vector<std::string> texts;
  for (std::size_t i = from; i < routes; ++i)
    texts.push_back(routeText({.name = absl::StrCat("r-", i),
                               .host = absl::StrCat("ficu", i % 50, ".example"),
                               .prefix = absl::StrCat("/pufi", i, "/"),
                               .guard = absl::StrCat(3000 + round)}));
  const std::string text = putText(base + 1, texts, {serviceText("s0")});
  ConfigReading reading = readConfiguration(configAsk("PUT", absl::StrCat(base), text));
  return std::get<ConfigRequest>(std::move(reading));
}
// A change of one of its routes.
inline ConfigRequest oneRoute(std::size_t route, Revision base, std::uint64_t round) {
  const std::string text = patchText(base + 1,
                                     {routeText({.name = absl::StrCat("r-", route),
                                                 .host = absl::StrCat("ficu", route % 50, ".example"),
                                                 .prefix = absl::StrCat("/pufi", route, "/"),
                                                 .guard = absl::StrCat(5000 + round)})},
                                     {});
  ConfigReading reading = readConfiguration(configAsk("PATCH", absl::StrCat(base), text));
  return std::get<ConfigRequest>(std::move(reading));
}

class Cores {
 public:
  // As platform/settings.cc lays the ring out on a disk of that size.
  explicit Cores(std::size_t diskMegabytes, std::uint64_t seed = 1) : world(seed), chance(seed ^ 5) {
    ringFileBytes_ = std::min<std::size_t>(8 << 20, (diskMegabytes << 20) / 24);
    ringFiles_ = std::clamp<std::size_t>((diskMegabytes << 20) * 2 / 3 / ringFileBytes_, 8, 32);
    for (int i = 0; i < 3; ++i) addMachine(absl::StrCat("zone-", i));
    founders_ = addresses;
    for (std::size_t i = 0; i < 3; ++i) start(i);
    clientHost = &world.addHost("client", "zone-0", {1, 99}, {2, 99});
    clientHost->rise();
    clientPorts = std::make_unique<Ports>(clientHost->ports());
    rpc = std::make_unique<RpcEndpoint>(*clientHost, *clientHost, clientHost->chance);
    client = std::make_unique<ChainClient>(*clientPorts, *rpc, addresses);
  }
  ~Cores() {
    room.clear();
    processes.clear();
  }
  std::size_t addMachine(const std::string& zone) {
    const auto number = static_cast<std::uint16_t>(1 + addresses.size());
    addresses.push_back({1, number});
    hosts.push_back(&world.addHost(absl::StrCat("core-", number), zone, addresses.back(), {2, number}));
    hosts.back()->disk = std::make_unique<SimDisk>(*hosts.back(), ringFiles_, ringFileBytes_);
    hosts.back()->usPerKilobyte = kLinkUsPerKilobyte;
    processes.emplace_back();
    return hosts.size() - 1;
  }
  void start(std::size_t i) {
    hosts[i]->rise();
    ReplicaPlan plan;
    plan.zone = hosts[i]->zone();
    plan.founders = founders_;
    plan.mayFound = i < 3 && world.nowUs() == 0;
    processes[i] = std::make_unique<ControlProcess>(*hosts[i], plan);
    for (const Address& peer : founders_)
      if (peer != addresses[i]) processes[i]->member.meet(peer);
  }
  void kill(std::size_t i) {
    if (!processes[i]) return;
    processes[i].reset();
    hosts[i]->fall();
    hosts[i]->disk->losePower(chance);
  }
  void wipe(std::size_t i) {
    kill(i);
    hosts[i]->disk->wipe();
  }
  Revision newestView() const {
    Revision newest = 0;
    for (const auto& process : processes)
      if (process) newest = std::max(newest, process->member.view().revision);
    return newest;
  }
  bool serves(std::size_t i) const {
    return processes[i] && processes[i]->member.active() && processes[i]->member.view().revision == newestView();
  }
  std::size_t serving() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < processes.size(); ++i) count += serves(i) ? 1 : 0;
    return count;
  }
  // Whoever serves in the newest view holds all that was acknowledged.
  void look() {
    for (std::size_t i = 0; i < processes.size(); ++i) {
      if (!serves(i) || processes[i]->machine.state().configRevision() >= acknowledged) continue;
      if (stale++ == 0) std::printf("stale: core-%zu at %lld us\n", i + 1, static_cast<long long>(world.nowUs()));
    }
  }
  void run(Us lengthUs) {
    const Us untilUs = world.nowUs() + lengthUs;
    while (world.nowUs() < untilUs) {
      world.runUntil(world.nowUs() + 5 * kMilliUs);
      look();
    }
  }
  template <class Condition>
  bool runUntil(Condition condition, Us limitUs) {
    const Us untilUs = world.nowUs() + limitUs;
    while (!condition() && world.nowUs() < untilUs) run(5 * kMilliUs);
    return condition();
  }

  World world;
  Chance chance;
  std::vector<Address> addresses;
  std::vector<SimHost*> hosts;
  std::vector<std::unique_ptr<ControlProcess>> processes;
  SimHost* clientHost = nullptr;
  std::unique_ptr<Ports> clientPorts;
  std::unique_ptr<RpcEndpoint> rpc;
  std::unique_ptr<ChainClient> client;
  TaskRoom room;
  Revision acknowledged = 0;  // the newest configuration that the operator was told of
  std::uint64_t changes = 0, refusals = 0, reads = 0, oldReads = 0, stale = 0;
  bool storming = false;

 private:
  std::size_t ringFileBytes_ = 0, ringFiles_ = 0;
  std::vector<Address> founders_;
};

// One order, sent until it is known what became of it.
struct Order {
  bool done = false;
  ControlVerdict verdict;
  std::optional<ChainError> refused;
};
inline Task send(Cores& cores, ControlCommand command, Order& order, Us limitUs = 20 * kSecondUs) {
  Job<ChainAnswer> job = cores.client->submit(pack(command), limitUs, limitUs);
  const ChainAnswer answer = co_await job;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) {
    order.refused = failure->trouble;
  } else {
    auto read = unpack<ControlVerdict>(std::get<Bytes>(answer));
    order.verdict = std::get<ControlVerdict>(read);
    if (order.verdict.outcome == ControlOutcome::kDone)
      cores.acknowledged = std::max(cores.acknowledged, order.verdict.configRevision);
  }
  order.done = true;
}

// The operator's storm: the next change goes out as soon as the one before is answered.
inline Task storm(Cores& cores) {
  Revision base = cores.acknowledged;
  while (true) {
    if (!cores.storming) {
      Pause pause(*cores.clientHost, 5 * kMilliUs);
      co_await pause;
      base = cores.acknowledged;
      continue;
    }
    const ControlCommand command = PutConfig{oneRoute(cores.chance.below(kRoutes), base, cores.changes)};
    const Bytes packed = pack(command);
    Job<ChainAnswer> job = cores.client->submit(packed, 5 * kSecondUs);
    const ChainAnswer answer = co_await job;
    if (std::holds_alternative<ChainFailure>(answer)) {
      ++cores.refusals;
      continue;
    }
    auto read = unpack<ControlVerdict>(std::get<Bytes>(answer));
    const ControlVerdict& verdict = std::get<ControlVerdict>(read);
    base = verdict.configRevision;
    if (verdict.outcome != ControlOutcome::kDone) continue;
    cores.acknowledged = std::max(cores.acknowledged, verdict.configRevision);
    ++cores.changes;
  }
}

// Reads what is new, over and over: never older than what was acknowledged before the read went out.
inline Task reader(Cores& cores) {
  Revision since = 0;
  while (true) {
    const Revision least = cores.acknowledged;
    const ControlQuery query = NewsAsk{since};
    const Bytes packed = pack(query);
    Job<ChainAnswer> job = cores.client->read(packed, 0, 2 * kSecondUs);
    const ChainAnswer answer = co_await job;
    Pause pause(*cores.clientHost, 20 * kMilliUs);
    co_await pause;
    if (std::holds_alternative<ChainFailure>(answer)) continue;
    auto read = unpack<ControlNews>(std::get<Bytes>(answer));
    const ControlNews& news = std::get<ControlNews>(read);
    since = news.to;
    ++cores.reads;
    cores.oldReads += news.configRevision < least ? 1 : 0;
  }
}

}  // namespace stonemount
