// A data-plane node's own copy of what control says, kept up by asking with its version
// (design.md 7.6). It goes on serving from it when control is lost.
#pragma once

#include "control/commands.h"
#include "gossip/gossip.h"
#include "replication/client.h"

namespace stonemount {

struct ConfigCacheRequest {  // from one node to another, when control itself is out of reach
  static constexpr std::uint16_t kKind = 70;
  Revision since = 0;
  STONEMOUNT_PACK(since)
};

class ConfigCache {
 public:
  ConfigCache(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, ChainClient& core, Gossip& gossip);
  void begin();
  const ControlState& state() const { return state_; }
  bool ready() const { return state_.revision() != 0; }
  Us freshUs() const { return freshUs_; }  // when the question was asked that control answered last
  std::uint64_t asks = 0;
  sigc::signal<void()> news;

 private:
  Task follow();
  Task catchUpFromPeer(Address peer);
  void take(const ControlNews& given);
  void onConfigCacheRequest(const Asked& asked);
  void onMet(const PeerRecord& record);
  Ports& ports_;
  RpcEndpoint& rpc_;
  TaskRoom& room_;
  ChainClient& core_;
  Gossip& gossip_;
  ControlState state_;
  Us freshUs_ = -1;
  bool asking_ = false;
};

}  // namespace stonemount
