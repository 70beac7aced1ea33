// The bounds of a state by ring and memory (design.md 5.2, incident 21).
#include "replication/state_bounds.h"

#include "expect.h"
#include "store/store_machine.h"

using namespace stonemount;

namespace {
constexpr std::size_t kMega = 1 << 20;

// What brings new work is told by the kind of a packed command alone.
void growthIsToldByKind() {
  Chance chance(1);
  const StoreMachine store(chance, StorePlan());
  expect(store.enlarges(pack(StoreCommand(SubmitLot()))), "a lot enlarges");
  expect(store.enlarges(pack(StoreCommand(CreateEvent()))), "an event enlarges");
  const StoreCommand others[] = {CloseEvent(), EndLot(), GrantRuns(), RenewRuns(),   SealRuns(),
                                 DropRuns(),   Sweep(),  LockWish(),  CutProposal(), DoubtCut()};
  for (const StoreCommand& other : others)
    expect(!store.enlarges(pack(other)), "what finishes old work does not, kind " + std::to_string(other.index()));
  expect(!store.enlarges("") && !store.enlarges("abc"), "nor what is no command");
}
}  // namespace

int main() {
  growthIsToldByKind();
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
