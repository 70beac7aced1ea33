// Repair from those who were told first: control state that was lost with every core disk is rebuilt
// from the nodes' configCaches (design.md 7.8).
#pragma once

#include "control/control_machine.h"
#include "gossip/gossip.h"
#include "replication/client.h"

namespace stonemount {

class Rebuilder {
 public:
  Rebuilder(RpcEndpoint& rpc, Gossip& gossip, ChainClient& core, const ControlMachine& machine)
      : rpc_(rpc), gossip_(gossip), core_(core), machine_(machine) {}
  // One look; does nothing unless control is empty and some node knows more.
  Job<Done> look();

 private:
  RpcEndpoint& rpc_;
  Gossip& gossip_;
  ChainClient& core_;
  const ControlMachine& machine_;
};

}  // namespace stonemount
