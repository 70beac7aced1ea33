// A store chain on disks and in memory of a deployment's size, and lots that are handed in to it and done
// (incidents 23 and 25).
#pragma once

#include <absl/strings/str_cat.h>

#include "replication/client.h"
#include "replication/replica.h"
#include "simulator/world.h"
#include "store/store_machine.h"
#include "store/stored_text.h"

namespace stonemount {

constexpr std::size_t kMega = 1 << 20;
// A store machine of 140 MB of disk and 290 MB of memory, as platform/settings.cc sizes its ring.
constexpr std::size_t kDiskBytes = 140 * kMega;
constexpr std::size_t kRingFileBytes = kDiskBytes / 24;
constexpr std::size_t kRingFiles = (kDiskBytes - 16 * kMega) / kRingFileBytes;
constexpr std::size_t kMemoryBytes = 290 * kMega;
constexpr std::size_t kLotItems = 80;
constexpr std::size_t kItemBodyBytes = 1250;
constexpr std::size_t kEvents = 23;
constexpr std::size_t kEventLetters = 176;
constexpr std::size_t kItemsInSeal = 20;
constexpr Address kLotClient{1, 99};
constexpr Address kLotNode{1, 90};

// The head takes the sampler's word for the cut, and the cut for certain: there is no sampler here.
class UnsampledStore : public StoreMachine {
 public:
  using StoreMachine::StoreMachine;
  StampVerdict stamp(const Bytes& bytes, const HeadSight&) override {
    auto read = unpack<StoreCommand>(bytes);
    auto* command = std::get_if<StoreCommand>(&read);
    if (command == nullptr) return StampRefused{pack(StoreVerdict{StoreOutcome::kUnreadable})};
    if (auto* lot = std::get_if<SubmitLot>(command)) lot->certainHere = true;
    if (auto* seal = std::get_if<SealRuns>(command)) seal->certainHere = true;
    if (auto* sweep = std::get_if<Sweep>(command)) sweep->certainHere = true;
    return Stamped{pack(StoreEntry{0, std::move(*command)})};
  }
};

struct LotRoomProcess {
  LotRoomProcess(SimHost& host, ReplicaPlan plan)
      : ports(host.ports()),
        rpc(host, host, host.chance),
        machine(host.chance, StorePlan()),
        replica(ports, rpc, room, machine, std::move(plan)) {
    replica.begin();
  }
  ~LotRoomProcess() { room.clear(); }
  Ports ports;
  TaskRoom room;
  RpcEndpoint rpc;
  UnsampledStore machine;
  Replica replica;
};

class LotRoomRig {
 public:
  explicit LotRoomRig(std::uint64_t seed, std::size_t ringFiles = kRingFiles, std::size_t fileBytes = kRingFileBytes);
  ~LotRoomRig();
  // Lots of which nothing is done yet; false: the store refused it.
  bool submitLot(std::size_t lot);
  // All items of that lot are done and told; false: something was refused.
  bool sealLot(std::size_t lot);
  // That lot's results as the chain tells them are those that were told to it.
  bool readsBack(std::size_t lot);
  // So much time passes for what is kept; what is due goes.
  void passTime(Us byUs);
  // Retention is over for all that was done until now: the cut moves past it.
  void expireAll();
  void kill(std::size_t host);
  void wipe(std::size_t host);
  void start(std::size_t host);
  void killAllAndStart();
  // All replicas are in the chain within so long.
  bool whole(Us withinUs);
  std::size_t hosts() const { return hosts_.size(); }
  World& world() { return world_; }
  const LotRoomProcess& process(std::size_t host) const { return *processes_[host]; }

 private:
  ChainAnswer send(const StoreCommand& command);
  ChainAnswer ask(const StoreQuery& query);
  Task sending(Bytes command, std::optional<ChainAnswer>& answer);
  Task asking(Bytes query, std::optional<ChainAnswer>& answer);
  ChainAnswer wait(std::optional<ChainAnswer>& answer);
  void moveCut(Us byUs);
  Bytes resultOf(std::size_t lot, std::size_t item) const;
  World world_;
  std::vector<Address> addresses_;
  std::vector<SimHost*> hosts_;
  std::vector<std::unique_ptr<LotRoomProcess>> processes_;
  std::unique_ptr<Ports> clientPorts_;
  std::unique_ptr<RpcEndpoint> rpc_;
  std::unique_ptr<ChainClient> client_;
  TaskRoom room_;
  Chance chance_;
  std::uint64_t seed_ = 0;
  std::uint64_t round_ = 0;
  static constexpr std::uint64_t kSession = 7;
};

}  // namespace stonemount
