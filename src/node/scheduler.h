// The scheduler of lots: takes items that are at home here, runs them, seals them in the store
// (design.md 9.5).
#pragma once

#include "anvil/client.h"
#include "lathe/exchange.h"
#include "shim/shim.h"
#include "store/queries.h"

namespace stonemount {

struct SchedulerPlan {
  Us licenceUs = 8 * kSecondUs;
  Us renewUs = kSecondUs;
  std::size_t mostRunning = 64;
};
struct SchedulerCounts {
  std::uint64_t granted = 0, sealed = 0, dropped = 0, refused = 0, notGranted = 0;
};

class Scheduler {
 public:
  Scheduler(Ports& ports, Desk& desk, TaskRoom& room, ChainClient& store, WorkerBoard& board,
            const ControlState& control, Shim& shim, std::string zone, SchedulerPlan plan);
  void begin();
  void drain() { draining_ = true; }
  std::size_t running() const { return running_.size(); }
  bool idle() const { return running_.empty() && toSeal_.empty() && toDrop_.empty(); }
  const SchedulerCounts& counts() const { return counts_; }

 private:
  struct Run;
  Task follow();
  Job<Done> grant(WorkVerdict work);
  Task runItem(std::shared_ptr<Run> run);
  Task renew();
  Task deliver();
  bool atHome(const std::string& lot);
  void refreshRing();
  Ports& ports_;
  Desk& desk_;
  TaskRoom& room_;
  ChainClient& store_;
  WorkerBoard& board_;
  const ControlState& control_;
  Shim& shim_;
  std::string zone_;
  SchedulerPlan plan_;
  Ring nodes_;
  std::map<std::pair<std::string, std::uint32_t>, std::shared_ptr<Run>> running_;
  std::vector<SealedRun> toSeal_;
  std::vector<DroppedRun> toDrop_;
  Bell deliverBell_, workBell_;
  std::uint64_t seenVersion_ = 0;
  bool draining_ = false;
  SchedulerCounts counts_;
};

}  // namespace stonemount
