// Workers whose load is known from their answers and the list alone: which one gets a request that is
// passed through, and how much (design.md 9.7).
#pragma once

#include "config/control_state.h"
#include "proxy/cold_allowance.h"
#include "proxy/connection_shares.h"
#include "proxy/pool_use.h"
#include "proxy/worker_dialect.h"

namespace stonemount {

struct PoolRequest {
  std::string pool;
  std::uint64_t spot = 0;  // of its shared prompt: requests of one spot meet at one worker; 0: none
  bool lot = false;
  bool urgent = false;  // an item of a lot that is short of time: yields less
  absl::flat_hash_set<Address> passedOver;
};

struct PoolWorker {
  ListedWorker listed;
  std::size_t index = 0;             // among the workers of its pool that may get anything, by control's word
  std::uint32_t live = 0, lots = 0;  // of this node, in flight
  std::uint64_t lastTaken = 0;       // number of this node's newest request there, of all to any worker
  WorkerLoad told;                   // by its newest answer to this node
  Us toldUs = -1;
  std::uint32_t inFlightAtTold = 0;
  WarmthRecord warmth;
  Us suspectUntilUs = 0;       // it failed lately: only where no other will do
  std::uint32_t failures = 0;  // in a row
  bool leaving = false;        // as the platform itself told; for the rest of its life
  bool otherLife = false;      // somebody else has its address; until it is listed anew
  std::uint32_t inFlight() const { return live + lots; }
};

struct PoolLoadTablePlan {
  std::string zone;
  Address self;                     // tells nodes apart where all else is equal
  std::uint32_t calmPercent = 85;   // of a worker's slots: up to here it gets requests before another zone does
  std::uint32_t lotPercent = 80;    // up to here lots start at a worker; of all slots, what all nodes' lots begin with
  std::uint32_t idlePercent = 55;   // where workers tell nothing, lots beyond a node's share start up to here
  std::uint32_t fullPercent = 140;  // from here on it has no room: what waits there would be late
  Us suspectUs = 400 * kMilliUs;    // doubles with each failure in a row
  Us mostSuspectUs = 4 * kSecondUs;
};

class PoolLoadTable {
 public:
  PoolLoadTable(const Clock& clock, const ControlState& control, PoolLoadTablePlan plan)
      : clock_(clock), control_(control), plan_(std::move(plan)), cold_(clock, plan_.self), shares_(plan_.self) {}
  void relist();  // after news from control
  // Who shares the workers, how fresh the list is, and what else bears on cold workers.
  ColdAllowance& cold() { return cold_; }
  const ColdAllowance& cold() const { return cold_; }
  // Of this node among all, as control told it.
  void setPlace(const FleetPlace& place);
  const FleetPlace& place() const { return shares_.place(); }
  // Connections that this node may hold to that worker, idle ones too; nothing where its pool names no bound.
  // Bounds the connections to that worker to this node's share.
  void boundChannels(const Address& worker, HttpVia& via) const;
  // The platform itself told this node which workers leave, and how long others are still cold.
  void heardFromPlatform(const std::vector<ListedWorker>& workers);
  std::optional<Address> choose(const PoolRequest& wish) const;
  void take(const Address& worker, bool lot);
  enum class Ending : std::uint8_t { kWhole, kRefused, kOtherLife, kUnsent, kBroken, kLeft };
  void giveBack(const Address& worker, bool lot, Ending ending);
  void heard(const Address& worker, const WorkerLoad& load);
  void contact(const Address& worker, const std::string& life);  // anything came from that life of it
  // A question for its warmth is taken as one request more, if its share allows one.
  bool takeProbe(const Address& worker);
  // Its answer, of that life: how much longer it is cold; 0: it is warm.
  void toldWarmth(const Address& worker, const std::string& life, Us askedUs, Us coldLeftUs);
  // Is there any worker that may get anything, now or when room is made?
  bool serves(const std::string& pool) const;
  // How many more requests of lots this node may send there now.
  std::size_t roomForLots(const std::string& pool) const;
  const absl::btree_map<Address, PoolWorker>& workers() const { return workers_; }
  const std::string& lifeOf(const Address& worker) const { return workers_.at(worker).listed.life; }
  sigc::signal<void()> roomMade;
  sigc::signal<void(const Address&)> gone;         // its kept channels are worth nothing any more, or not this node's
  sigc::signal<void(const Address&)> probeWanted;  // a request went there, and more could if it were known to be warm

 private:
  using Pick = std::vector<const PoolWorker*>;
  std::uint64_t lotsAt(const std::vector<Address>& pool) const;  // of this node
  std::uint64_t mostLots(const std::string& name, const std::vector<Address>& pool) const;
  std::uint64_t idlePlaces(const std::vector<Address>& pool) const;
  std::uint64_t lotShare(const std::vector<Address>& pool) const;
  std::uint32_t othersTold(const PoolWorker& worker) const;
  void noteUse(const PoolWorker& worker);
  bool usable(const PoolWorker& worker) const;
  // The workers of a pool that may get anything, and how warm each and all are: worked out once for each choice.
  struct WorkerWarmth {
    const PoolWorker* worker = nullptr;
    Warmth warmth = Warmth::kWarm;
  };
  struct WarmthSight {
    std::vector<WorkerWarmth> usable;
    PoolWarmth pool = PoolWarmth::kAllWarm;
  };
  bool bearsMore(const PoolWorker& worker, Warmth warmth, PoolWarmth poolWarmth) const;
  WarmthSight warmthOf(const std::vector<Address>& pool) const;
  std::uint32_t slots(const PoolWorker& worker) const;
  // Of its slots, by all: as far as is known of it, and as it is likely from what its whole pool told.
  std::uint32_t knownUse(const PoolWorker& worker) const;
  std::uint32_t likelyUse(const PoolWorker& worker) const;
  std::uint64_t percentOf(const PoolWorker& worker, std::uint32_t use) const { return 100ULL * use / slots(worker); }
  std::uint64_t spreadRank(const PoolWorker& worker) const;
  std::size_t firstOf(std::size_t count) const;
  std::uint64_t promptRank(const PoolWorker& worker, std::uint64_t spot, std::uint64_t mostUse) const;
  const PoolWorker* pickFrom(const Pick& pick, std::uint64_t spot) const;
  std::optional<ConnectionShare> connectionShare(const PoolWorker& worker) const;
  std::optional<ConnectionShare> connectionShare(const PoolWorker& worker, const Pool& pool) const;
  void numberWorkers();
  void giveUpChannels();
  bool mayProbe(const PoolWorker& worker) const;
  void noteEvacuations();
  void noteListedCold(PoolWorker& worker, const ListedWorker& listed);
  const Clock& clock_;
  const ControlState& control_;
  PoolLoadTablePlan plan_;
  ColdAllowance cold_;
  ConnectionShares shares_;
  FleetPlace firstPlace_;                              // scattered otherwise than the connections are dealt out
  absl::btree_map<std::string, Revision> zoneOrders_;  // the newest order of each zone, as of the last relist
  absl::btree_map<Address, PoolWorker> workers_;
  bool listedBefore_ = false;
  std::uint64_t taken_ = 0;  // requests, to any worker
  absl::flat_hash_map<std::string, std::vector<Address>> pools_;
  struct PoolSight {
    PoolUse use;
    LotWindow lots;
  };
  absl::flat_hash_map<std::string, PoolSight> sights_;  // by pool, of pools whose workers told anything
};

}  // namespace stonemount
