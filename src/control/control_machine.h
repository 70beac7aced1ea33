// The state behind the control chain (design.md 7.1).
#pragma once

#include "control/commands.h"
#include "control/taken_requests.h"
#include "replication/machine.h"

namespace stonemount {

class ControlMachine : public Machine {
 public:
  Bytes apply(const Bytes& command) override;
  StampVerdict stamp(const Bytes& command, const HeadSight& sight) override;
  QueryVerdict answer(const Bytes& query, bool mustAnswer) override;
  void setFollowers(const FollowerSight& followers) override { followers_ = followers; }
  // Only a configuration with more in it. Evacuations, worker lists, orders and removals go on where the ring is
  // tight: they are small, and the last of them is the way out.
  bool enlarges(const Bytes& command) const override;
  bool takesLong() const override { return true; }  // a push of 10,000 routes is one command
  Bytes save() const override;
  // Also reads the two formats before this one: the newer had no count of quotas, the older besides kept no more than
  // 256 requests and none of what it forgot.
  bool load(const Bytes& state) override;
  const ControlState& state() const { return state_; }
  std::uint64_t platformVersion() const { return platformVersion_; }
  const MemberOrders& orders() const { return orders_; }
  const TakenRequests& taken() const { return taken_; }
  const QuotaLedger& quotas() const { return quotas_; }
  // The revision of the newest order for that zone; 0: none.
  Revision zoneOrdered(const std::string& zone) const;

 private:
  ControlVerdict put(const PutConfig& command);
  ControlVerdict put(const SetZone& command);
  ControlVerdict put(const SetZoneSince& command);
  ControlVerdict put(const PutWorkers& command);
  ControlVerdict put(const ConfirmWorkers& command);
  ControlVerdict put(const ReturnConfig& command);
  ControlVerdict put(const Rebuild& command);
  ControlVerdict take(ConfigStep step);
  ControlVerdict verdict(ControlOutcome outcome) const;
  void boundHistory();
  // Changes since that revision, packed; none: there are none yet, and the question may wait.
  std::optional<Bytes> newsFor(Revision since, bool mustAnswer) const;
  ControlState state_;
  std::uint64_t platformVersion_ = 0;
  std::deque<ConfigStep> history_;
  TakenRequests taken_;
  MemberOrders orders_;
  QuotaLedger quotas_;
  FollowerSight followers_;                       // not kept: what this replica was told of its readers
  mutable std::map<Revision, Bytes> packedNews_;  // many nodes ask from the same revision
};

}  // namespace stonemount
