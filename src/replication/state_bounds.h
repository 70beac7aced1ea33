// How large the state behind a chain may grow, from what its ring of log files and its memory hold (design.md 5.2).
#pragma once

#include "stonemount.h"

namespace stonemount {

// Bytes of the packed state, without the values that stand beside it, and of the entries since its newest checkpoint,
// together.
struct StateBounds {
  std::size_t growth = 0;   // above it, what enlarges the state is refused
  std::size_t command = 0;  // above it, every command is
};

// What values that stand beside the state take, or will take once all that is owed has come.
struct ValueRoom {
  std::size_t growthBytes = 0;   // of the ring, with files to spare: what is taken anew must leave these
  std::size_t commandBytes = 0;  // of the ring, with fewer to spare
  std::size_t memoryBytes = 0;
};

// `memoryBytes`: what the process may take; 0: not bounded.
StateBounds stateBounds(std::size_t ringBytes, std::size_t memoryBytes, const ValueRoom& values = {});

}  // namespace stonemount
