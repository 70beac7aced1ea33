#include "replication/state_bounds.h"

namespace stonemount {

namespace {
// The old checkpoint, the new one, one that a process left unfinished when it was killed, and the entries between.
constexpr std::size_t kStatesInRing = 4;
// What finishes old work still finds room when growth is refused.
constexpr std::size_t kCommandsShare = 3;
// The state as it is used, up to two images of it (a joiner's, and one being made), and what else a process holds.
constexpr std::size_t kStatesInMemory = 6;
}  // namespace

StateBounds stateBounds(std::size_t ringBytes, std::size_t memoryBytes) {
  StateBounds bounds;
  bounds.growth = ringBytes / kStatesInRing;
  bounds.command = ringBytes / kCommandsShare;
  if (memoryBytes > 0) bounds.growth = std::min(bounds.growth, memoryBytes / kStatesInMemory);
  return bounds;
}

}  // namespace stonemount
