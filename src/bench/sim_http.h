// HTTP between simulated machines: channels that open, carry pieces in order, and break
// (design.md 13.2).
#pragma once

#include "bench/world.h"

namespace stonemount {

std::unique_ptr<HttpFlow> openSimFlow(World& world, SimHost& client, const Address& server, const HttpAsk& ask);

}  // namespace stonemount
