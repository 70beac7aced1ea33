// What this node knows of each worker, and how much it may send there (design.md 9.3).
#pragma once

#include "config/control_state.h"
#include "hash_ring/hash_ring.h"
#include "runtime/await.h"

namespace stonemount {

struct HealthReport {
  std::uint32_t load = 0;   // exchanges that the worker is at now, from anyone
  std::uint32_t slots = 1;  // that it has when warm
  std::uint32_t bear = 1;   // that it can bear now; less than slots while cold
  bool leaving = false;
  std::vector<std::string> adapters;
};

struct WorkerSight {
  ListedWorker listed;
  HealthReport report;
  Us reportedUs = -1;
  std::uint32_t liveInFlight = 0;
  std::uint32_t lotInFlight = 0;
  std::uint32_t inFlightAtReport = 0;
  std::uint32_t window = 1;  // grows as it answers, halves when it refuses
  Us mutedUntilUs = 0;       // after a failed channel
  std::uint64_t answered = 0, refused = 0, broken = 0, sent = 0;
  std::uint32_t inFlight() const { return liveInFlight + lotInFlight; }
  bool cold() const { return report.bear < report.slots; }
};

struct SelectionRequest {
  std::string pool;
  std::string adapter;
  std::uint64_t spot = 0;
  bool lot = false;
  absl::flat_hash_set<Address> passedOver;
};

struct BoardPlan {
  std::string zone;
  Address self;
  Us frozenUs = 700 * kMilliUs;
  Us marksWaitUs = kSecondUs;       // after waking, wait so long for the platform before control will do
  Us newsWaitUs = 2500 * kMilliUs;  // and so long for either before going on with what is known
  Us staleUs = 1500 * kMilliUs;     // a worker that has not reported for so long gets nothing new
  Us muteUs = 500 * kMilliUs;
};

class WorkerLoadTable {
 public:
  WorkerLoadTable(const Clock& clock, const ControlState& control, BoardPlan plan)
      : clock_(clock), control_(control), plan_(std::move(plan)) {}
  void relist();  // after news from control
  void report(const Address& worker, HealthReport report, Us askedUs);
  // It could not be asked, or broke off: whatever answers there next may be another, and cold.
  void reportLost(const Address& worker);
  // A tick that must come often: without it this process was frozen and what it knows is old.
  void tick();
  // While lots wait anywhere, live traffic leaves them a quarter of each worker, one slot at least.
  void setLotsWaiting(bool waiting) { lotsWaiting_ = waiting; }
  // And lots keep to that quarter while live requests wait; else they may have half.
  void setLiveWaiting(bool waiting) { liveWaiting_ = waiting; }
  std::uint32_t lotSlots(const WorkerSight& sight) const;
  void setLeavingMarks(absl::btree_set<Address> marks, Us askedUs);
  bool markedLeaving(const Address& worker) const { return leavingMarks_.contains(worker); }
  // Control answered a question that was asked then.
  void controlHeard(Us askedUs) { controlHeardUs_ = std::max(controlHeardUs_, askedUs); }
  void setNodes(std::vector<Address> nodes);
  std::optional<Address> selectWorker(const SelectionRequest& wish) const;
  bool usable(const WorkerSight& sight) const;
  bool hasRoom(const WorkerSight& sight, bool lot) const;
  bool listed(const Address& worker) const;
  void take(const Address& worker, bool lot);
  enum class Ending : std::uint8_t { kSealed, kRefused, kBroken, kUnsent, kLeft };
  void giveBack(const Address& worker, bool lot, Ending ending);
  const absl::btree_map<Address, WorkerSight>& sights() const { return sights_; }
  bool awake() const;  // what is known is from after its start, or its last freeze
  sigc::signal<void()> roomMade;

 private:
  std::uint32_t allowance(const WorkerSight& sight) const;
  std::uint32_t coldShare(const WorkerSight& sight) const;
  const Clock& clock_;
  const ControlState& control_;
  BoardPlan plan_;
  absl::btree_map<Address, WorkerSight> sights_;
  absl::btree_map<std::string, Ring> rings_;  // by pool
  std::vector<Address> nodes_;
  absl::btree_set<Address> leavingMarks_;  // told by the platform itself
  Us tickUs_ = -1;
  Us wokeUs_ = 0;         // its start, or the end of its last freeze
  Us marksHeardUs_ = -1;  // when the questions were asked that were answered last
  Us controlHeardUs_ = -1;
  bool lotsWaiting_ = false;
  bool liveWaiting_ = false;
};

}  // namespace stonemount
