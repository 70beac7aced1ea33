// A whole fleet in one process: the real tasks on simulated machines (design.md 13).
#pragma once

#include <set>

#include "control/core.h"
#include "control/standby_core.h"
#include "node/node.h"
#include "simulator/world.h"
#include "stand_ins/caller.h"
#include "stand_ins/platform.h"
#include "stand_ins/worker.h"
#include "store/store.h"

namespace stonemount {

struct FleetShape {
  std::string name;
  std::vector<std::string> zones;
  std::size_t cores = 3, stores = 3, nodes = 6, models = 6, apps = 3;
  Us lookupEveryUs = 100 * kMilliUs;  // by each zone's callers
  Us streamEveryUs = 300 * kMilliUs;
  Us wholeEveryUs = 400 * kMilliUs;
  std::uint32_t lots = 6;
  std::uint32_t lotItems = 30;
  Us lotEveryUs = 3 * kSecondUs;
  std::uint32_t slots = 4, coldBear = 2;
  std::uint64_t oddsTruncate = 0, oddsSwap = 0, oddsSilent = 0;  // of the workers' answers
  std::size_t padBytes = 0;
  StorePlan store;
  bool told = true;  // who founds is in the settings; else only three cores are, and stores are found
  std::set<std::uint32_t> coresWithoutDisk;  // by their place among the cores, from 0
};
FleetShape posilkaShape();
FleetShape portaviaShape();

class Fleet;
enum class PartKind : std::uint8_t { kCore, kStore, kNode, kWorker, kPlatform, kCaller };

struct Part {
  void noteTerm(const TermNote& note);
  void noteTaken(const Entry& entry);
  void noteApplied(const Entry& entry, bool acknowledged);
  Fleet* fleet = nullptr;
  PartKind kind;
  SimHost* host = nullptr;
  Settings settings;
  WorkerPlan workerPlan;
  WorkerLedger workerLedger;
  CallerPlan callerPlan;
  CallerLedger callerLedger;
  std::unique_ptr<Ports> ports;  // outlives the process that uses them
  std::unique_ptr<Core> core;
  std::unique_ptr<StandbyCore> standby;  // in place of a core, on a machine without a disk
  std::unique_ptr<Store> store;
  std::unique_ptr<Node> node;
  std::unique_ptr<RehearseWorker> worker;
  std::unique_ptr<RehearsePlatform> platform;
  std::unique_ptr<RehearseCaller> caller;
  std::vector<std::pair<Us, Us>> leaves;  // a worker: from when until when the platform lists it as leaving
  bool leaving(Us nowUs) const { return !leaves.empty() && leaves.back().second > nowUs; }
  Us troubledUs = 0;  // until when it was cut, frozen or down
  Revision seenControl = 0;
  bool gone = false;  // for good
  // What a control process offers to operators; none: it does not run.
  OperatorService* operators() const { return standby ? &standby->operators() : core ? &core->operators() : nullptr; }
  RetireService* retireService() const {
    return standby ? &standby->retireService() : core ? &core->retireService() : nullptr;
  }
  std::vector<TermNote> terms;  // noted by the command that is being applied
};

class Fleet {
 public:
  Fleet(std::uint64_t seed, FleetShape shape);
  ~Fleet();
  World& world() { return world_; }
  const FleetShape& shape() const { return shape_; }
  std::deque<Part>& parts() { return parts_; }
  std::vector<Part*> of(PartKind kind);
  std::vector<Part*> standing(PartKind kind);  // without those that are gone for good
  void start(Part& part);
  ListedWorker listing(const Part& worker) const;
  void kill(Part& part, bool power);
  void run(Us lengthUs) { world_.runUntil(world_.nowUs() + lengthUs); }
  bool ready();  // every node has heard control, both chains are whole, the cut is certain
  bool runUntilReady(Us limitUs);
  void startCallers();
  void stopCallers();
  bool callersDone();
  Part& platform() { return *platform_; }
  const Replica* memberOf(const Part& part) const;
  sigc::signal<void(Part&, const Entry&)> taken;          // at a chain's head
  sigc::signal<void(Part&, const Entry&, bool)> applied;  // at a member of a chain; acknowledged or not
  // One more machine, empty and not running, for a core or store to be put on.
  Part& addSpare(PartKind kind, const std::string& zone, std::uint32_t number);
  void troubled(Part& part, Us untilUs) { part.troubledUs = std::max(part.troubledUs, untilUs); }

 private:
  void watch(Part& part);
  Part& add(PartKind kind, const std::string& name, const std::string& zone, std::uint32_t number);
  World world_;
  FleetShape shape_;
  std::deque<Part> parts_;
  Part* platform_ = nullptr;
};

}  // namespace stonemount
