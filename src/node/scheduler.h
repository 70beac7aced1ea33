// The scheduler of lots: takes items that are at home here, has them carried, keeps their leases up, tells the
// store what became of them (design.md 9.5, 9.8).
#pragma once

#include "config/lot_routes.h"
#include "config/settings.h"
#include "gossip/gossip.h"
#include "hash_ring/hash_ring.h"
#include "node/lot_delivery.h"
#include "node/lot_runner.h"
#include "node/lot_sealer.h"

namespace stonemount {

struct SchedulerPlan {
  Us licenceUs = 8 * kSecondUs;
  Us renewUs = kSecondUs;
  std::size_t mostRunning = 64;
  Us gatherUs = 0;             // how long answers are gathered before the store is told them together
  Us drainUs = 4 * kSecondUs;  // that items at workers have once the node is to stop
  LotRunnerPlan runner;
};
// For a node that passes items through, within what its deployment promises.
SchedulerPlan passingPlan(SchedulerPlan plan, const Bounds& bounds);
// Places that are held for items of one lot while it is handed in.
struct ReservedPlaces {
  std::string scope;  // of the lot's route as it was then
  std::uint32_t items = 0;
};
struct SchedulerCounts {
  std::uint64_t granted = 0, sealed = 0, dropped = 0, refused = 0, notGranted = 0, over = 0;
};

class Scheduler {
 public:
  Scheduler(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, ChainClient& store, WorkerLoadTable& board,
            const ControlState& control, Gossip& gossip, std::string zone, SchedulerPlan plan);
  // Standing lots are run here too, their items passed through. To be called before begin().
  void passThrough(ItemPasser& passer);
  void begin();
  void drain();
  std::size_t running() const { return running_.size(); }
  bool idle() const { return running_.empty() && delivery_.idle(); }
  const SchedulerCounts& counts() const { return counts_; }
  const LotRunner* runner() const { return runner_.get(); }
  const ItemTimes& itemTimes() const { return itemTimes_; }
  void tellItemTimes();

  // Of this node among all nodes: by it the store calls them in turn.
  void setPlace(const FleetPlace& place) { place_ = place; }

  // Places for items of a lot that is about to be handed in here; they come back with startTaken.
  ReservedPlaces reserveAtOnce(const Route& route, std::size_t items);
  std::uint32_t mostPassed() const { return runner_ == nullptr ? 0 : runner_->plan().mostRunning; }
  Us licenceUs() const { return plan_.licenceUs; }
  // What was granted with the lot, asked for at `askedUs`; its items as they were handed in.
  void startTaken(const ReservedPlaces& reserved, const SubmitLot& lot, const std::vector<GrantedRun>& granted,
                  Us askedUs);

 private:
  struct Wishes;
  // Lots of events.
  Task follow();
  Job<bool> grant(WorkVerdict work);  // true: there is more that may soon be taken
  void wishFor(const OpenLot& lot, Wishes& wishes);
  void start(LotRunPtr run, ItemCarrier& carrier);
  Task carry(LotRunPtr run, ItemCarrier* carrier);
  Task renew();
  Task endDrain();
  bool atHome(const std::string& lot) const;
  void refreshRing();
  // lot_claims.cc: standing lots.
  Task followStanding();
  std::vector<RouteDemand> demands();
  void addNested(std::vector<RouteDemand>& demands) const;
  Job<std::uint32_t> awaitCall(const std::vector<RouteDemand>& demands);
  Job<std::size_t> claim(std::vector<RouteDemand> demands, std::uint32_t most);
  void startStanding(ClaimedRun granted, Us askedUs);
  void reserve(const std::string& scope, std::size_t items);
  void unreserve(const std::string& scope, std::size_t items);
  Ports& ports_;
  RpcEndpoint& rpc_;
  TaskRoom& room_;
  ChainClient& store_;
  WorkerLoadTable& board_;
  const ControlState& control_;
  Gossip& gossip_;
  std::string zone_;
  SchedulerPlan plan_;
  Ring nodes_;
  LotSealer sealer_;
  ItemTimes itemTimes_;
  std::unique_ptr<LotRunner> runner_;  // none: standing lots are left to other nodes
  LotDelivery delivery_;
  std::map<std::pair<std::string, std::uint32_t>, LotRunPtr> running_;
  std::size_t passed_ = 0;    // of them, in standing lots
  std::size_t reserved_ = 0;  // for runs of standing lots that are being asked for
  absl::btree_map<std::string, std::size_t> reservedByScope_;
  FleetPlace place_;
  LotRoutes lotRoutes_;
  Event workEvent_;   // a run ended: for follow()
  Event placeEvent_;  // likewise, for followStanding()
  std::uint64_t seenVersion_ = 0;
  bool draining_ = false;
  SchedulerCounts counts_;
  std::uint64_t notGrantedTold_ = 0;
};

}  // namespace stonemount
