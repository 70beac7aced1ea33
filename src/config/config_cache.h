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

// Control answered: what it told of itself.
struct ControlContact {
  Us askedUs = 0;                // when it was asked
  std::uint64_t listNumber = 0;  // of its newest list of workers
  std::size_t followers = 0;     // nodes that follow it; 0: not known
  FleetPlace place;              // of this node among them
};

class ConfigCache {
 public:
  ConfigCache(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, ChainClient& core, Gossip& gossip);
  void begin();
  const ControlState& state() const { return state_; }
  // A configuration is known; a list of workers alone may come before it.
  bool ready() const { return state_.configRevision() != 0; }
  Us freshUs() const { return freshUs_; }  // when the question was asked that control answered last
  std::uint64_t asks = 0;
  sigc::signal<void()> news;
  sigc::signal<void(const ControlContact&)> contact;  // after the news of the same answer was taken

 private:
  Task follow();
  Task catchUpFromPeer(Address peer);
  void take(const ControlNews& given);
  void takeReply(const Bytes& reply, Us askedUs);
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
