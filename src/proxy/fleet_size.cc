#include "proxy/fleet_size.h"

#include <algorithm>

namespace stonemount {

void FleetSize::note(std::size_t nodes, bool controlHeard) {
  const Us nowUs = clock_.monoUs();
  if (controlHeard && lastUs_ >= 0) heardUs_ += nowUs - lastUs_;
  lastUs_ = nowUs;
  while (!counted_.empty() && counted_.back().nodes <= nodes) counted_.pop_back();
  counted_.push_back({heardUs_, nodes});
  while (heardUs_ - counted_.front().atUs > kMemoryUs) counted_.pop_front();
}

std::size_t FleetSize::count() const { return counted_.empty() ? 1 : std::max<std::size_t>(1, counted_.front().nodes); }

}  // namespace stonemount
