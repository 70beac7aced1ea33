// A stable hash of two addresses, alike in every process: for orders of nodes that each worker has of its own.
#pragma once

#include "stonemount.h"

namespace stonemount {

inline std::uint64_t addressPairHash(const Address& worker, const Address& node) {
  const std::uint64_t workerName = static_cast<std::uint64_t>(worker.ip) << 16 | worker.port;
  return spread(std::string_view(reinterpret_cast<const char*>(&node.ip), sizeof(node.ip)), workerName + node.port);
}

}  // namespace stonemount
