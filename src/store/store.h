// A store process: a member of the store chain (design.md 2).
#pragma once

#include "anvil/client.h"
#include "anvil/member.h"
#include "jig/settings.h"
#include "shim/shim.h"
#include "store/store_machine.h"

namespace stonemount {

class Store {
 public:
  Store(Ports& ports, Settings settings, ShimPlan shim, StorePlan plan);
  ~Store();
  void begin();
  const Member& member() const { return member_; }
  Member& member() { return member_; }
  const StoreMachine& machine() const { return machine_; }
  StoreMachine& machine() { return machine_; }

 private:
  void onMet(const Card& card);
  void onView();
  Task watchSession();
  void tellCut();
  void onSession(const Asked& asked);
  void onAsked(const HttpAsk& ask, ReplyPtr reply);
  Ports& ports_;
  Settings settings_;
  TaskRoom room_;
  RpcEndpoint rpc_;
  Shim shim_;
  StoreMachine machine_;
  Member member_;
  ChainClient client_;
  CutState toldCut_;  // as it was last logged
  sigc::connection asked_;
};

}  // namespace stonemount
