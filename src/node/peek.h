// A look at a chain's members from outside (design.md 11).
#pragma once

#include "replication/client.h"

namespace stonemount {

struct MemberLine {
  Seat seat;
  bool inChain = false;
  std::optional<Pong> pong;  // none: silent
};
struct ChainSight {
  View view;
  std::vector<MemberLine> members;
};
Job<ChainSight> peekChain(RpcEndpoint& rpc, ChainClient& client);

}  // namespace stonemount
