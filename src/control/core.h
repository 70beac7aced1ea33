// A core process: a member of the control chain, and the duties of sampler and lister (design.md 2).
#pragma once

#include "config/platform_list.h"
#include "config/settings.h"
#include "control/control_machine.h"
#include "control/lot_route_watch.h"
#include "control/operator_service.h"
#include "control/worker_discovery.h"
#include "gossip/gossip.h"
#include "membership/membership_manager.h"
#include "membership/retire.h"
#include "quota/configured_limits.h"
#include "quota/quota_leader.h"
#include "replication/replica.h"
#include "restore/rebuild.h"
#include "safe_time/sampler.h"

namespace stonemount {

struct CorePlan {
  GossipPlan gossip;
  ElectionPlan election;
  SafeTimePlan gauge;
  Us listUs = 600 * kMilliUs;
  WorkerListSource* list = nullptr;  // none: the settings' platform, if there is one
  MembershipPlan membershipManager;
};

class Core {
 public:
  Core(Ports& ports, Settings settings, CorePlan plan);
  ~Core();
  void begin();
  const Replica& replica() const { return replica_; }
  Replica& replica() { return replica_; }
  const ControlMachine& machine() const { return machine_; }
  std::uint64_t sentBytes() const { return rpc_.sentBytes; }
  const Election& election() const { return election_; }
  Gossip& gossip() { return gossip_; }
  OperatorService& operators() { return operators_; }
  RetireService& retireService() { return retireService_; }
  static constexpr const char* kWorkerDiscovery = "lister";

 private:
  Task list();
  Task watchZone();
  Task watchDisk();
  void onMet(const PeerRecord& record);
  void onView();
  void onAsked(const HttpAsk& ask, ReplyPtr reply);
  Ports& ports_;
  Settings settings_;
  CorePlan plan_;
  TaskRoom room_;
  RpcEndpoint rpc_;
  Gossip gossip_;
  ControlMachine machine_;
  Replica replica_;
  ChainClient core_;
  ChainClient store_;
  Election election_;
  Sampler sampler_;
  LotRouteWatch lotRouteWatch_;
  Rebuilder rebuilder_;
  PlatformListSource ownList_;
  WorkerDiscovery workerDiscovery_;
  OperatorService operators_;
  MembershipManager membershipManager_;
  RetireByOrder retireService_;
  ConfiguredLimits quotaLimits_;
  QuotaLeader quotaLeader_;
  sigc::connection asked_;
};

}  // namespace stonemount
