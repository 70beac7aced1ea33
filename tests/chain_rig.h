// A chain alone on simulated machines, with a client that remembers what it was told (design.md 6).
#pragma once

#include <rapidcheck.h>

#include <cstdio>

#include "replication/client.h"
#include "replication/replica.h"
#include "simulator/world.h"

namespace stonemount {

constexpr std::size_t kFiles = 8;
constexpr Address kClientWire{1, 99};

constexpr char kNoGrowth = '~';  // a command that begins with it leaves the state as large as it was

// Asked so, the machine answers with the beginning of each command alone.
constexpr char kNamesQuery[] = "names";
constexpr std::size_t kNameBytes = 16;

// `beside`: it saves long commands beside its state.
class ListMachine : public Machine {
 public:
  explicit ListMachine(bool beside = false) : beside_(beside) {}
  Bytes apply(const Bytes& command) override {
    if (enlarges(command)) list_.push_back(SharedBytes(command));
    return pack(static_cast<std::uint64_t>(list_.size()));
  }
  StampVerdict stamp(const Bytes& command, const HeadSight&) override { return Stamped{command}; }
  QueryVerdict answer(const Bytes& query, bool) override {
    if (query != kNamesQuery) return pack(list_);
    std::vector<Bytes> names;
    for (const SharedBytes& value : list_) names.push_back(value.get().substr(0, kNameBytes));
    return pack(names);
  }
  bool enlarges(const Bytes& command) const override { return !command.starts_with(kNoGrowth); }
  Bytes save() const override { return pack(list_); }
  bool load(const Bytes& state) override { return loadBeside({state, {}}); }
  bool keepsValues() const override { return beside_; }
  SavedState saveBeside() const override { return beside_ ? packBeside(list_) : SavedState{save(), {}}; }
  bool loadBeside(const SavedState& state) override {
    auto read = unpack<std::vector<SharedBytes>>(state.bytes, &state.values);
    if (!std::holds_alternative<std::vector<SharedBytes>>(read)) return false;
    list_ = std::get<std::vector<SharedBytes>>(read);
    return true;
  }

 private:
  std::vector<SharedBytes> list_;
  bool beside_ = false;
};

using Views = std::map<Revision, View>;

struct Process {
  Process(SimHost& host, ReplicaPlan plan, Views& given, bool beside = false)
      : views(given),
        ports(host.ports()),
        rpc(host, host, host.chance),
        machine(beside),
        member(ports, rpc, room, machine, std::move(plan)) {
    member.viewMoved.connect(sigc::mem_fun(*this, &Process::onView));
    member.begin();
  }
  ~Process() { room.clear(); }
  // One revision, one view, whoever tells it.
  void onView() {
    const View& view = member.view();
    if (view.revision != 0) STONEMOUNT_INVARIANT(views.emplace(view.revision, view).first->second == view);
  }
  Views& views;
  Ports ports;
  TaskRoom room;
  RpcEndpoint rpc;
  ListMachine machine;
  Replica member;
};

struct Rig {
  Rig(std::uint64_t seed, std::size_t members, std::size_t keptEntries = 20000, std::size_t fileBytes = 256 << 10,
      std::size_t zones = 0, std::size_t files = kFiles, bool beside = false, std::size_t founding = 0)
      : world(seed), chance(seed ^ 7), kept(keptEntries), valuesBeside(beside) {
    for (std::size_t i = 0; i < members; ++i) addresses.push_back({1, static_cast<std::uint16_t>(1 + i)});
    founders.assign(addresses.begin(),
                    addresses.begin() + static_cast<std::ptrdiff_t>(founding > 0 ? founding : members));
    for (std::size_t i = 0; i < members; ++i) {
      hosts.push_back(&world.addHost("m" + std::to_string(i),
                                     "zone-" + std::to_string(i % (zones > 0      ? zones
                                                                   : members == 4 ? 4
                                                                                  : 3)),
                                     addresses[i], {2, static_cast<std::uint16_t>(1 + i)}));
      hosts.back()->disk = std::make_unique<SimDisk>(*hosts.back(), files, fileBytes);
      processes.emplace_back();
      start(i);
    }
    clientHost = &world.addHost("client", "zone-0", kClientWire, {2, 99});
    clientHost->rise();
    clientPorts = std::make_unique<Ports>(clientHost->ports());
    rpc = std::make_unique<RpcEndpoint>(*clientHost, *clientHost, clientHost->chance);
    client = std::make_unique<ChainClient>(*clientPorts, *rpc, addresses);
  }
  ~Rig() {
    room.clear();
    processes.clear();
  }
  void start(std::size_t i) {
    if (processes[i]) return;
    hosts[i]->rise();
    ReplicaPlan plan;
    plan.zone = hosts[i]->zone();
    plan.founders = founders;
    plan.keptEntries = kept;
    processes[i] = std::make_unique<Process>(*hosts[i], plan, views, valuesBeside);
  }
  void kill(std::size_t i) {
    if (!processes[i]) return;
    const ReplicaCounts& counts = processes[i]->member.counts();
    leftBehind += counts.leftBehind;
    restartedNarrow += counts.restartedNarrow;
    if (processes[i]->member.state() != ReplicaState::kOpening)
      lives[addresses[i]] = processes[i]->member.incarnation();
    processes[i].reset();
    hosts[i]->fall();
    hosts[i]->disk->losePower(chance);
  }
  bool wholeAndActive() const {
    for (const auto& process : processes)
      if (!process || !process->member.active() || process->member.view().chain.size() != processes.size())
        return false;
    return true;
  }
  // Would the disk's loss leave most voters, and someone else who holds all that was acknowledged?
  bool mayWipe(std::size_t victim) {
    if (views.empty()) return false;
    for (std::size_t i = 0; i < processes.size(); ++i)
      if (processes[i] && processes[i]->member.state() != ReplicaState::kOpening)
        lives[addresses[i]] = processes[i]->member.incarnation();
    const View& view = views.rbegin()->second;
    std::size_t voters = 0, holders = 0;
    for (const Seat& seat : view.voters)
      voters += seat.address != addresses[victim] && lives[seat.address] == seat.incarnation ? 1 : 0;
    for (const Seat& seat : spansZones(view.chain) ? view.chain : view.wide)
      holders += seat.address != addresses[victim] && lives[seat.address] == seat.incarnation ? 1 : 0;
    return voters >= view.majority() && holders >= 1;
  }
  void wipe(std::size_t i) {
    kill(i);
    hosts[i]->disk->wipe();
    lives[addresses[i]] = 0;
  }
  World world;
  Chance chance;
  std::size_t kept;
  bool valuesBeside;
  std::map<Address, std::uint64_t> lives;  // the incarnation on each disk
  std::uint64_t leftBehind = 0, restartedNarrow = 0;
  Views views;
  std::vector<Address> addresses;
  std::vector<Address> founders;  // the first of them; the others may be taken in later
  std::vector<SimHost*> hosts;
  std::vector<std::unique_ptr<Process>> processes;
  SimHost* clientHost = nullptr;
  std::unique_ptr<Ports> clientPorts;
  std::unique_ptr<RpcEndpoint> rpc;
  std::unique_ptr<ChainClient> client;
  TaskRoom room;
  // what the client saw
  std::set<Bytes> acked;
  std::set<Bytes> refused;  // told that they were not taken
  std::vector<Bytes> longest;
  std::uint64_t written = 0, reads = 0, next = 0;
};

// What a question for the names was answered; none: it was not.
inline std::optional<std::set<Bytes>> namesIn(const ChainAnswer& answer) {
  auto* body = std::get_if<Bytes>(&answer);
  if (body == nullptr) return std::nullopt;
  auto read = unpack<std::vector<Bytes>>(*body);
  const std::vector<Bytes>& list = std::get<std::vector<Bytes>>(read);
  return std::set<Bytes>(list.begin(), list.end());
}

inline Task writeOne(Rig& rig, Bytes value) {
  Job<ChainAnswer> job = rig.client->submit(value, 3 * kSecondUs);
  const ChainAnswer answer = co_await job;
  auto* failure = std::get_if<ChainFailure>(&answer);
  if (failure != nullptr && failure->trouble != ChainError::kUnreachable) rig.refused.insert(value);
  if (failure != nullptr) co_return;
  rig.acked.insert(value);
  ++rig.written;
}

inline Task readOne(Rig& rig) {
  const std::set<Bytes> ackedBefore = rig.acked;
  const std::vector<Bytes> longestBefore = rig.longest;
  Job<ChainAnswer> job = rig.client->read("all", 0, 3 * kSecondUs);
  const ChainAnswer answer = co_await job;
  if (!std::holds_alternative<Bytes>(answer)) co_return;
  auto read = unpack<std::vector<Bytes>>(std::get<Bytes>(answer));
  RC_ASSERT(std::holds_alternative<std::vector<Bytes>>(read));
  const std::vector<Bytes>& list = std::get<std::vector<Bytes>>(read);
  ++rig.reads;
  const std::set<Bytes> seen(list.begin(), list.end());
  STONEMOUNT_INVARIANT(seen.size() == list.size());                                    // nothing applied twice
  for (const Bytes& value : rig.refused) STONEMOUNT_INVARIANT(!seen.contains(value));  // nor taken though told no
  for (const Bytes& value : ackedBefore) STONEMOUNT_INVARIANT(seen.contains(value));   // nothing lost
  STONEMOUNT_INVARIANT(list.size() >= longestBefore.size());                           // reads never go back
  for (std::size_t i = 0; i < longestBefore.size(); ++i) STONEMOUNT_INVARIANT(list[i] == longestBefore[i]);
  if (list.size() > rig.longest.size()) rig.longest = list;
}

}  // namespace stonemount
