// A control process without a disk: no replica, elector or founder. It passes the operator's calls on to the members of
// the control chain, which it knows by gossip (design.md 6.10).
#pragma once

#include "config/settings.h"
#include "control/operator_service.h"
#include "gossip/gossip.h"
#include "membership/retire.h"

namespace stonemount {

// Runs on the loop's thread. At rest it does nothing but gossip, and answer the pings of those whose seed it is.
class StandbyCore {
 public:
  StandbyCore(Ports& ports, Settings settings, GossipPlan gossip);
  ~StandbyCore();
  void begin();
  Gossip& gossip() { return gossip_; }
  OperatorService& operators() { return operators_; }
  RetireService& retireService() { return retireService_; }

 private:
  void onMet(const PeerRecord& record);
  void onPing(const Asked& asked);
  void onAsked(const HttpAsk& ask, ReplyPtr reply);
  Ports& ports_;
  Settings settings_;
  TaskRoom room_;
  RpcEndpoint rpc_;
  Gossip gossip_;
  ChainClient core_;
  ChainClient store_;
  OperatorService operators_;
  RetireByOrder retireService_;
  sigc::connection asked_;
};

}  // namespace stonemount
