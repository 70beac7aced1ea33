// Duties that one process does: won by a round of ballots each time one falls vacant (design.md 6.9).
#pragma once

#include "replication/view.h"
#include "runtime/rpc_endpoint.h"

namespace stonemount {

struct DutyBallot {
  static constexpr std::uint16_t kKind = 50;
  std::string duty;
  std::uint64_t term = 0;
  Address candidate;
  STONEMOUNT_PACK(duty, term, candidate)
};
struct DutyHeartbeat {
  static constexpr std::uint16_t kKind = 51;
  std::string duty;
  std::uint64_t term = 0;
  Address holder;
  STONEMOUNT_PACK(duty, term, holder)
};
struct DutyVote {
  bool granted = false;
  std::uint64_t incarnation = 0;
  std::uint64_t term = 0;
  STONEMOUNT_PACK(granted, incarnation, term)
};

struct ElectionPlan {
  Us heartbeatUs = 250 * kMilliUs;
  Us voteUs = 450 * kMilliUs;       // a vote given keeps others waiting so long for the first heartbeat
  Us vacantUs = 900 * kMilliUs;     // no heartbeat for so long: the duty is vacant
  Us standDownUs = 800 * kMilliUs;  // a holder that no majority nods to lets go
};

// Two holders for a moment do no harm: what a duty writes is fenced where it is written.
class Election {
 public:
  Election(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, ElectionPlan plan);
  void begin(const std::vector<std::string>& duties);
  void setElectors(std::vector<Seat> electors, std::uint64_t incarnation);
  // One that cannot vote itself, since its disk does not answer, holds no duty.
  void setAble(bool able) { able_ = able; }
  void setReluctant(bool reluctant) { reluctant_ = reluctant; }  // in an evacuated zone
  bool holds(const std::string& duty) const;
  Address holder(const std::string& duty) const;

 private:
  struct Duty {
    std::uint64_t term = 0;
    std::uint64_t voted = 0;
    Address holder;
    Us heardUs = -1;
    bool mine = false;
    Us confirmedUs = 0;
    std::uint64_t failures = 0;  // ballots of ours lost in a row
  };
  Task keep(std::string name);
  Job<Done> heartbeat(std::string name);
  Job<Done> contend(std::string name);
  void take(const std::string& name, Duty& duty, std::uint64_t term);
  void letGo(const std::string& name, Duty& duty);
  void onBallot(const Asked& asked);
  void onHeartbeat(const Asked& asked);
  bool vacant(const Duty& duty) const;
  Ports& ports_;
  RpcEndpoint& rpc_;
  TaskRoom& room_;
  ElectionPlan plan_;
  std::vector<Seat> electors_;
  std::uint64_t incarnation_ = 0;
  bool able_ = true;
  bool reluctant_ = false;
  absl::btree_map<std::string, Duty> duties_;
};

}  // namespace stonemount
