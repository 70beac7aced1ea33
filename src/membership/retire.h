// Retiring a store machine by order: answered from the control chain and the store's view alone, so that
// any core may be asked (design.md 6.10).
#pragma once

#include "config/settings.h"
#include "control/commands.h"
#include "gossip/gossip.h"
#include "membership/retire_service.h"
#include "replication/client.h"

namespace stonemount {

class RetireByOrder : public RetireService {
 public:
  RetireByOrder(Ports& ports, RpcEndpoint& rpc, Gossip& gossip, ChainClient& core, ChainClient& store,
                std::uint32_t lostMachines);
  Job<RetireOutcome> retire(std::string machine) override;
  Job<RetireState> stateOf(std::string machine) override;

 private:
  const PeerRecord* recordOf(const std::string& machine) const;
  Job<std::optional<MemberOrders>> readOrders();
  Job<bool> restHolds(Address retired);  // without it, with a loss right after
  Ports& ports_;
  RpcEndpoint& rpc_;
  Gossip& gossip_;
  ChainClient& core_;
  ChainClient& store_;
  std::size_t needed_;
};

}  // namespace stonemount
