// HTTP between simulated machines: channels that open, carry pieces in order, and break
// (design.md 13.2).
#pragma once

#include "simulator/world.h"

namespace stonemount {

// Every request has a channel of its own, also where `via` would let it ride on a kept one; the answer must
// repeat what `via` asks it to. The server is shown path and query as a real one reads them off the target.
std::unique_ptr<HttpFlow> openSimFlow(World& world, SimHost& client, const Address& server, const HttpAsk& ask,
                                      const HttpVia& via);

}  // namespace stonemount
