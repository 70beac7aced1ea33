// How large the state behind a chain may grow, from what its ring of log files and its memory hold (design.md 5.2).
#pragma once

#include "stonemount.h"

namespace stonemount {

// Bytes of the packed state and of the entries since its newest checkpoint, together.
struct StateBounds {
  std::size_t growth = 0;   // above it, what enlarges the state is refused
  std::size_t command = 0;  // above it, every command is
};

// `memoryBytes`: what the process may take; 0: not bounded.
StateBounds stateBounds(std::size_t ringBytes, std::size_t memoryBytes);

}  // namespace stonemount
