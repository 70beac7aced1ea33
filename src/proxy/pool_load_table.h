// Workers whose load is known from their answers and the list alone: which one gets a request that is
// passed through, and how much (design.md 9.7). Nothing is asked of a worker but requests.
#pragma once

#include "config/control_state.h"
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
  std::uint32_t live = 0, lots = 0;  // of this node, in flight
  WorkerLoad told;                   // by its newest answer to this node
  Us toldUs = -1;
  std::uint32_t inFlightAtTold = 0;
  std::deque<Us> sentUs;  // of the last second, while it is cold
  Us coldUntilUs = 0;
  Us suspectUntilUs = 0;       // it failed lately: only where no other will do
  std::uint32_t failures = 0;  // in a row
  bool otherLife = false;      // somebody else has its address; until it is listed anew
  std::uint32_t inFlight() const { return live + lots; }
};

struct PoolLoadTablePlan {
  std::string zone;
  std::uint32_t coldOverPercent = 100;
  std::uint32_t coldSlack = 0;
  std::uint32_t calmPercent = 85;   // of a worker's slots: up to here it gets requests before another zone does
  std::uint32_t lotPercent = 80;    // up to here lots start; of all slots, all nodes' lots together take no more,
  std::uint32_t idlePercent = 55;   // but for workers that are known to have less to do than this
  std::uint32_t fullPercent = 140;  // from here on it has no room: what waits there would be late
  Us suspectUs = 400 * kMilliUs;    // doubles with each failure in a row
  Us mostSuspectUs = 4 * kSecondUs;
};

class PoolLoadTable {
 public:
  PoolLoadTable(const Clock& clock, const ControlState& control, PoolLoadTablePlan plan)
      : clock_(clock), control_(control), plan_(std::move(plan)) {}
  void relist();                     // after news from control
  void setNodes(std::size_t nodes);  // that share the workers, this one among them
  std::optional<Address> choose(const PoolRequest& wish) const;
  void take(const Address& worker, bool lot);
  enum class Ending : std::uint8_t { kWhole, kRefused, kOtherLife, kUnsent, kBroken, kLeft };
  void giveBack(const Address& worker, bool lot, Ending ending);
  void heard(const Address& worker, const WorkerLoad& load);
  // Is there any worker that may get anything, now or when room is made?
  bool serves(const std::string& pool) const;
  bool roomForLots(const std::string& pool) const;
  const absl::btree_map<Address, PoolWorker>& workers() const { return workers_; }
  const std::string& lifeOf(const Address& worker) const { return workers_.at(worker).listed.life; }
  sigc::signal<void()> roomMade;
  sigc::signal<void(const Address&)> gone;  // its kept channels are worth nothing any more

 private:
  using Pick = std::vector<const PoolWorker*>;
  bool lotsFull(const std::vector<Address>& pool) const;
  bool usable(const PoolWorker& worker) const;
  bool bearsMore(const PoolWorker& worker) const;
  std::uint32_t slots(const PoolWorker& worker) const;
  std::uint32_t use(const PoolWorker& worker) const;  // of its slots, by all, as far as is known
  const PoolWorker* pickFrom(const Pick& pick, std::uint64_t spot) const;
  const Clock& clock_;
  const ControlState& control_;
  PoolLoadTablePlan plan_;
  std::uint32_t nodes_ = 1;
  absl::btree_map<Address, PoolWorker> workers_;
  absl::flat_hash_map<std::string, std::vector<Address>> pools_;
};

}  // namespace stonemount
