// A stand-in caller on raw sockets: it keeps its connections open and goes on using each until the process behind it
// closes it, whatever that process says of its readiness. For soaks (docs/soak.md).
#pragma once

#include "stonemount.h"

namespace stonemount {

struct KeepAlivePlan {
  std::vector<Address> nodes;
  int connections = 2;  // to each node
  Us lengthUs = 10 * kSecondUs;
  std::string record;  // file; a line for each request that was cut, as it happens
  std::uint64_t seed = 1;
};

struct KeepAliveCounts {
  std::uint64_t sent = 0, connects = 0, closesAnnounced = 0;
  std::uint64_t crossed = 0;  // unanswered, sent just before the connection was closed
  std::uint64_t cut = 0;      // unanswered though sent well before, or cut within the answer
  std::uint64_t malformed = 0;
  std::uint64_t left = 0;  // the caller left before they were answered
  std::map<int, std::uint64_t> byStatus;
};

// Blocks until the plan's length is over and what is open was answered, or a few seconds longer.
KeepAliveCounts callKeepingAlive(const KeepAlivePlan& plan);

}  // namespace stonemount
