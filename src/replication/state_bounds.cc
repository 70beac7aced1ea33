#include "replication/state_bounds.h"

#include <algorithm>

namespace stonemount {

namespace {
// The old checkpoint, the new one, one that a process left unfinished when it was killed, and the entries between.
constexpr std::size_t kStatesInRing = 4;
// What finishes old work still finds room when growth is refused.
constexpr std::size_t kCommandsShare = 3;
// Values may take the rest of the ring; below it the log could not bear the entries between two checkpoints.
constexpr std::size_t kLeastLogShare = 4;
// The state as it is used, up to two images of it (a joiner's, and one being made), and what else a process holds.
constexpr std::size_t kStatesInMemory = 6;
// Values are shared by all of these; a replica that copies another's state holds those of both for a while.
constexpr std::size_t kValuesInMemory = 2;
}  // namespace

StateBounds stateBounds(std::size_t ringBytes, std::size_t memoryBytes, const ValueRoom& values) {
  StateBounds bounds;
  const std::size_t growthLog = ringBytes - std::min(ringBytes, values.growthBytes);
  const std::size_t commandLog = ringBytes - std::min(ringBytes, values.commandBytes);
  bounds.growth = growthLog >= ringBytes / kLeastLogShare ? growthLog / kStatesInRing : 0;
  bounds.command = commandLog / kCommandsShare;
  if (memoryBytes == 0) return bounds;
  const std::size_t forStates = memoryBytes - std::min(memoryBytes, kValuesInMemory * values.memoryBytes);
  bounds.growth = std::min(bounds.growth, forStates / kStatesInMemory);
  return bounds;
}

}  // namespace stonemount
