// A chain of a few replicas, a client, and the short histories that the model test plays on them under chosen faults
// (docs/design-notes/model-checking.md).
#pragma once

#include "replication/client.h"
#include "replication_model.h"

namespace stonemount {

// What happens besides the chosen faults: commands, a read after each, and one planned change or loss.
enum class History : std::uint8_t {
  kQuiet,       // two commands
  kHeadLost,    // the head's process ends and comes back 1 s later
  kTailLost,    // the tail's
  kWiped,       // the middle one's disk is lost
  kReplaced,    // a spare machine takes the middle one's place by order
  kRemoved,     // of four, one is taken out by order
  kNarrow,      // the chain shrinks to one zone; that member's disk is lost; it starts anew from a holder
  kSlowJoiner,  // one has been away while more was taken than its neighbours keep of the log
  kWholeLost,   // all lose power at once
};
constexpr std::size_t kHistories = 9;
const char* historyText(History history);

struct ModelProcess {
  ModelProcess(SimHost& host, ExplorationWire& wire, Disk& disk, ReplicaPlan plan);
  ~ModelProcess() { room.clear(); }
  Ports ports;
  TaskRoom room;
  RpcEndpoint rpc;
  ModelMachine machine;
  Replica replica;
};

class ModelRig : public ProcessOwner {
 public:
  ModelRig(History history, Choices choices, bool loud);
  ~ModelRig() override;
  // Plays the whole history; afterwards `rules.broken` tells the first rule that did not hold.
  void play();
  const std::vector<Step>& steps() const { return exploration_.steps(); }
  void stopProcess(std::size_t place, DiskLoss loss, Us downUs) override;
  bool mayWipe(std::size_t place) const override;
  ReplicationRules rules;

 private:
  struct Machine {
    SimHost* host = nullptr;
    std::unique_ptr<ExplorationWire> wire;
    std::unique_ptr<ExplorationDisk> disk;
    std::unique_ptr<ModelProcess> process;
    Us startAtUs = -1;
  };
  bool bearsWipe(const View& view, std::size_t place) const;
  void start(std::size_t place);
  void onView(std::size_t place);
  void onApplied(std::size_t place, const Entry& entry, bool acknowledged);
  void advance(Us lengthUs);
  void pokeServers();
  bool waitFor(const bool& done, Us limitUs);
  bool write(Us limitUs);
  bool read(Us limitUs);
  void writeAndRead();
  void change(const Address& add, const Address& remove);
  void playHistory();
  void playNarrow();
  void expectAvailable();
  void expectMembers();
  bool wholeAndActive(std::size_t members) const;
  std::size_t placeInChain(std::size_t index) const;
  Task writeTask(Bytes value, bool& done, bool& well);
  Task readTask(bool& done, bool& well);
  Task probeTail(Address tail, Revision revision);
  Task probeHead(Address head, Revision revision, Bytes value);
  Task changeTask(ChangeVoters request, bool& done);

  World world_;
  Exploration exploration_;
  History history_;
  std::size_t founders_ = 3;
  std::size_t kept_ = 20000;
  std::vector<Machine> machines_;
  std::unique_ptr<ExplorationWire> clientWire_;
  std::unique_ptr<Ports> clientPorts_;
  std::unique_ptr<RpcEndpoint> clientRpc_;
  std::unique_ptr<ChainClient> client_;
  TaskRoom room_;
  std::deque<std::pair<bool, bool>> flags_;  // of tasks that may outlive whoever waits for them
  std::uint64_t lastValue_ = 0;
  Us probedUs_ = 0;
};

}  // namespace stonemount
