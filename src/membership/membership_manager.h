// The membershipManager: one core's duty. It founds the store chain once, and sees to it that live machines hold
// the seats of both chains without anybody telling it where machines are (design.md 6.10).
#pragma once

#include "config/settings.h"
#include "control/control_machine.h"
#include "election/election.h"
#include "gossip/gossip.h"
#include "membership/chain_seats.h"
#include "replication/client.h"
#include "replication/replica.h"

namespace stonemount {

struct MembershipPlan {
  FailureDetectorPlan watch;
  Us roundUs = 250 * kMilliUs;  // where there is something to do
  Us restUs = 500 * kMilliUs;
  Us peekUs = 250 * kMilliUs;
  Us changeUs = 2500 * kMilliUs;
  Us settledUs = 800 * kMilliUs;   // no other empty store came for so long
  Us foundWaitUs = 3 * kSecondUs;  // the most that is waited for more stores or zones
  std::size_t seats = 3;           // twice the machines that may be lost at once, and one
};
MembershipPlan membershipPlanOf(const Settings& settings, MembershipPlan plan);

class MembershipManager {
 public:
  MembershipManager(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, Election& election, Gossip& gossip,
                    const Replica& control, const ControlMachine& machine, ChainClient& core, ChainClient& store,
                    MembershipPlan plan);
  void begin();
  static constexpr const char* kDuty = "steward";

 private:
  Task tendControl();
  Task tendStore();
  Job<Done> found();  // the store chain
  Job<Done> rememberFounded();
  Job<bool> peek(const View& view);  // the store's members and those who may become one
  Job<bool> tend(ChainClient& client, ChainSeats& seats, View view, Role role);  // true: there is more to do
  Job<bool> ordered(Address add);                // may it be seated, by the control chain's own word?
  void nameAlive(ChainSeats& seats, Role role);  // whom gossip counts as alive
  SeatNeed needOf(const ChainSeats& seats, const View& view, Role role) const;
  void invite(Role role, const std::vector<Address>& wanted);  // to copy the chain
  void noteEmpties();
  Ports& ports_;
  RpcEndpoint& rpc_;
  TaskRoom& room_;
  Election& election_;
  Gossip& gossip_;
  const Replica& control_;
  const ControlMachine& machine_;
  ChainClient& core_;
  ChainClient& store_;
  MembershipPlan plan_;
  ChainSeats controlSeats_, storeSeats_;
  std::vector<Address> invitedCores_, invitedStores_;  // at the last look
  std::vector<Address> founders_;                      // of the store, as the control chain agreed
  absl::btree_set<Address> empties_;
  Us emptiesSinceUs_ = -1;  // when the set last changed
  Us firstEmptyUs_ = -1;
};

}  // namespace stonemount
