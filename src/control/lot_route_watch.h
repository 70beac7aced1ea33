// Tells the store which accepted items no route leads to any more: it knows no configuration itself. One core does,
// with the duty of the sampler; the store decides by its cut how long that has to last (design.md 7.5).
#pragma once

#include "config/lot_routes.h"
#include "replication/client.h"

namespace stonemount {

class LotRouteWatch {
 public:
  LotRouteWatch(Ports& ports, TaskRoom& room, ChainClient& store, const ControlState& control)
      : ports_(ports), room_(room), store_(store), control_(control), lotRoutes_(control) {}
  // Watches while `onDuty` says so.
  void begin(std::function<bool()> onDuty);

 private:
  Task watch();
  Job<Done> look();
  Ports& ports_;
  TaskRoom& room_;
  ChainClient& store_;
  const ControlState& control_;
  LotRoutes lotRoutes_;
  std::function<bool()> onDuty_;
};

}  // namespace stonemount
