// The bounds of a state by ring and memory (design.md 5.2, incident 21).
#include "replication/state_bounds.h"

#include "expect.h"

using namespace stonemount;

namespace {
constexpr std::size_t kMega = 1 << 20;
}  // namespace

int main() {
  for (std::size_t ringBytes = kMega; ringBytes <= 1024 * kMega; ringBytes += 7 * kMega) {
    const std::string name = ", ring of " + std::to_string(ringBytes / kMega) + " MiB";
    const StateBounds free = stateBounds(ringBytes, 0);
    expect(free.growth * 4 <= ringBytes, "three images and their entries fit" + name);
    expect(free.growth * 5 > ringBytes, "a fifth of the ring is state at least" + name);
    expect(free.growth < free.command && free.command * 3 <= ringBytes, "room is left for old work" + name);
    for (std::size_t memoryBytes = 64 * kMega; memoryBytes <= 512 * kMega; memoryBytes += 64 * kMega) {
      const StateBounds tight = stateBounds(ringBytes, memoryBytes);
      expect(tight.growth <= free.growth && tight.growth * 6 <= memoryBytes, "no more than the memory bears" + name);
      expect(tight.growth == free.growth || tight.growth * 7 > memoryBytes, "and no less than it does" + name);
      expect(tight.command == free.command, "what finishes old work is taken as before" + name);
    }
  }
  return expectationsVerdict();
}
