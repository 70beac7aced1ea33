// The platform's list of workers: a port with one HTTP adapter (design.md 7.7).
#pragma once

#include "jig/control_state.h"

namespace stonemount {

struct PlatformList {
  std::uint64_t version = 0;
  std::vector<ListedWorker> workers;
};
std::optional<PlatformList> readPlatformList(const Bytes& body);

}  // namespace stonemount
