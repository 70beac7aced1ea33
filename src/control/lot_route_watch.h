// Tells the store what the configuration in force means for lots under way: it knows none itself. That is, which items
// no route leads to any more, and what routes allow now. One core does, with the duty of the sampler; the store decides
// by its cut how long a route has to be gone (design.md 7.5).
#pragma once

#include "config/lot_routes.h"
#include "replication/client.h"
#include "store/queries.h"

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
  LotRoutesAsk currentRoutes();
  Job<Done> tell(StoreCommand command);
  Ports& ports_;
  TaskRoom& room_;
  ChainClient& store_;
  const ControlState& control_;
  LotRoutes lotRoutes_;
  std::function<bool()> onDuty_;
};

}  // namespace stonemount
