// Stateless exploration of faults over the real processes (docs/design-notes/model-checking.md). A run is made from the
// start under a list of choices: at the numbered step (the delivery of a frame, or a sync) the named fault happens.
// Which steps and faults there are to choose from is learnt from the runs; all placements are tried in order. Runs on
// one thread; the same choices give the same run.
#pragma once

#include "runtime/rpc_endpoint.h"
#include "simulator/exploration_disk.h"
#include "simulator/world.h"

namespace stonemount {

// At the delivery of a frame: to the frame, to its connection, or to the machine that is about to receive it.
// At a sync: to the sync, or to its machine.
enum class StepFault : std::uint8_t {
  kDrop,           // the frame never comes
  kDuplicate,      // it comes twice, one right after the other
  kDuplicateLate,  // it comes again after 900 ms
  kDelay,          // it comes after the next three deliveries anywhere
  kDelayLong,      // it comes after 900 ms
  kCutOneWay,      // this frame and all others of its sender to its receiver are lost for 1.2 s
  kIsolate,        // the receiver and the other members hear nothing of each other for 1.2 s; clients reach it
  kFreeze,         // the receiver does nothing for 1.2 s, then finds all that came
  kCrash,          // its process ends and is started again 0.1 s later
  kCrashLong,      // ... 1.2 s later
  kPowerLoss,      // what was not synced is lost; started again 0.3 s later
  kWipe,           // its disk is lost, if the loss is one that the chain promises to bear; started 0.3 s later
  kSyncFails,
  kSyncStalls,
  kSyncLost,
  kSyncTorn,
  kSyncThenPower,
};
const char* stepFaultText(StepFault fault);

struct Choice {
  std::size_t step = 0;
  StepFault fault = StepFault::kDrop;
};
using Choices = std::vector<Choice>;
std::string choicesText(const Choices& choices);

struct Step {
  bool sync = false;
  std::uint16_t kind = 0;         // of the frame
  std::size_t place = 0;          // the receiver's, or the disk's
  bool toMember = true;           // else to a client, whose machine has no faults of its own
  std::vector<StepFault> faults;  // what may happen here
};

// Ends processes and starts them again later.
class ProcessOwner {
 public:
  virtual ~ProcessOwner() = default;
  virtual void stopProcess(std::size_t place, DiskLoss loss, Us downUs) = 0;
  virtual bool mayWipe(std::size_t place) const = 0;
};

// Sees every frame as it leaves a process and as it reaches one.
class FrameObserver {
 public:
  virtual ~FrameObserver() = default;
  virtual void sent(std::size_t place, const Address& to, const Envelope& frame) = 0;
  virtual void received(std::size_t place, const Address& from, const Envelope& frame) = 0;
};

class Exploration;

// The wire of one machine; it outlives the machine's processes.
class ExplorationWire : public Wire {
 public:
  ExplorationWire(Exploration& exploration, SimHost& host, bool member);
  Address self() const override { return host_.wire(); }
  void post(const Address& peer, Bytes frame) override;
  void deliver(const Address& peer, const Bytes& frame);
  SimHost& host() { return host_; }
  bool member() const { return member_; }

 private:
  void onHeard(const Address& peer, const Bytes& frame);
  Exploration& exploration_;
  SimHost& host_;
  bool member_;
};

class Exploration : public SyncWatcher {
 public:
  Exploration(World& world, ProcessOwner& owner, FrameObserver& observer, Choices choices);
  // Steps are numbered from here on, and faults happen. Once closed, what was cut or frozen is well again.
  void open() { open_ = true; }
  void close();
  const std::vector<Step>& steps() const { return steps_; }
  // While set, frames of this kind to this machine are lost: part of a history, not a fault.
  void block(std::size_t place, std::uint16_t kind) { blocked_ = {place, kind}; }
  void unblock() { blocked_.reset(); }
  SyncFate syncing(std::size_t place) override;
  void powerGoes(std::size_t place, DiskLoss loss) override;

 private:
  friend class ExplorationWire;
  struct Held {
    ExplorationWire* wire;
    Address peer;
    Bytes frame;
    std::size_t untilStep;
    std::uint64_t life;  // of the process that it is for
  };
  std::optional<StepFault> next(Step step);
  void onHeard(ExplorationWire& wire, const Address& peer, const Bytes& frame);
  void happens(StepFault fault, ExplorationWire& wire, const Address& peer, const Bytes& frame);
  void later(ExplorationWire& wire, const Address& peer, const Bytes& frame, Us delayUs);
  bool isCut(const ExplorationWire& wire, const Address& peer);
  void releaseHeld();
  World& world_;
  ProcessOwner& owner_;
  FrameObserver& observer_;
  Choices choices_;
  std::size_t chosen_ = 0;
  bool open_ = false;
  std::vector<Step> steps_;
  std::map<Address, ExplorationWire*> wires_;
  std::map<std::pair<Address, Address>, Us> cutUntilUs_;  // from, to
  std::deque<Held> held_;
  std::optional<std::pair<std::size_t, std::uint16_t>> blocked_;
};

}  // namespace stonemount
