// A look at a chain's members from outside (design.md 11).
#pragma once

#include "replication/client.h"
#include "replication/loss_margin.h"

namespace stonemount {

struct ChainSight {
  View view;
  std::vector<MemberSight> members;  // voters, then those without a vote
};
// Asks every member for its state; those that say nothing within half a second are silent.
Job<ChainSight> peekChain(RpcEndpoint& rpc, ChainClient& client);

}  // namespace stonemount
