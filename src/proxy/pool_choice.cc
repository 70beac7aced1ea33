#include "proxy/pool_choice.h"

namespace stonemount {

const std::string& poolFor(const Route& route, const std::string& name) {
  std::uint64_t sum = 0;
  for (const PoolShare& share : route.shares) sum += share.weight;
  if (sum == 0) return route.pool;
  std::uint64_t point = spread(name) % sum;
  for (const PoolShare& share : route.shares) {
    if (point < share.weight) return share.pool;
    point -= share.weight;
  }
  return route.pool;
}

}  // namespace stonemount
