// One node of the modelled fleet: its own copy of the control state, its load table, what it knows of the others.
#pragma once

#include "hand_clock.h"
#include "node/worker_sharing.h"

namespace stonemount {

struct ColdNode {
  ColdNode(const Clock& clock, Address given, const std::string& zone)
      : address(given), table(clock, control, planOf(zone, given)), sharing(clock, table, kListLagUs) {}
  static PoolLoadTablePlan planOf(const std::string& zone, Address self) {
    PoolLoadTablePlan plan;
    plan.zone = zone;
    plan.self = self;
    return plan;
  }
  static constexpr Us kListLagUs = 800 * kMilliUs;
  Address address;
  ControlState control;
  PoolLoadTable table;
  WorkerSharing sharing;
  std::uint64_t life = 0;  // 0: it does not run
  Us startedUs = 0;
  Us cutUntilUs = 0;  // from control and from other nodes
  Us frozenUntilUs = 0;
  bool secondHalf = false;  // where the nodes are split
};

}  // namespace stonemount
