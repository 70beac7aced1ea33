#pragma once

#include "runtime/rpc_endpoint.h"

namespace stonemount {

// A read at the tail that is not answered yet.
struct WaitingRead {
  Asked asked;
  Bytes query;
  Us untilUs = 0;
};

}  // namespace stonemount
