// A store process: a member of the store chain (design.md 2).
#pragma once

#include "config/settings.h"
#include "gossip/gossip.h"
#include "replication/client.h"
#include "replication/replica.h"
#include "store/store_machine.h"

namespace stonemount {

class Store {
 public:
  Store(Ports& ports, Settings settings, GossipPlan gossip, StorePlan plan);
  ~Store();
  void begin();
  const Replica& replica() const { return replica_; }
  Replica& replica() { return replica_; }
  const StoreMachine& machine() const { return machine_; }
  StoreMachine& machine() { return machine_; }
  Gossip& gossip() { return gossip_; }

 private:
  void onMet(const PeerRecord& record);
  void onView();
  Task watchSession();
  void tellCut();
  void onSession(const Asked& asked);
  void onAsked(const HttpAsk& ask, ReplyPtr reply);
  Ports& ports_;
  Settings settings_;
  TaskRoom room_;
  RpcEndpoint rpc_;
  Gossip gossip_;
  StoreMachine machine_;
  Replica replica_;
  ChainClient client_;
  CutState toldCut_;  // as it was last logged
  sigc::connection asked_;
};

}  // namespace stonemount
