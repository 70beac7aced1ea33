// Room for lots at workers that tell nothing of their load (docs/incidents/31-lots-held-at-one-node.md).
#include <absl/strings/str_cat.h>

#include "expect.h"
#include "hand_clock.h"
#include "proxy/pool_load_table.h"

using namespace stonemount;

namespace {
constexpr const char* kPool = "p";

// Where workers tell nothing, a node may take what it sees idle, and not only a few items beyond its share.
void roomWhereNothingIsTold() {
  constexpr std::uint32_t kWorkers = 93, kSlots = 8;
  ControlState control;
  Pool pool;
  pool.name = kPool;
  control.putPool(pool);
  for (std::uint32_t i = 0; i < kWorkers; ++i) {
    ListedWorker worker;
    worker.address = {0x0a000001u + i, 8080};
    worker.pool = kPool;
    worker.slots = kSlots;
    control.putWorker(worker);
  }
  HandClock clock;
  PoolLoadTable table(clock, control, PoolLoadTablePlan());
  table.cold().setSharers({}, 92, true);
  table.relist();
  const std::size_t before = table.roomForLots(kPool);
  expect(before >= kWorkers * kSlots / 2, absl::StrCat("room by idle workers: ", before));
  PoolRequest wish;
  wish.pool = kPool;
  wish.lot = true;
  for (std::uint32_t i = 0; i < kWorkers; ++i) table.take(*table.choose(wish), true);
  expect(table.roomForLots(kPool) + kWorkers == before, "and what is sent takes of it");
}
}  // namespace

int main() {
  roomWhereNothingIsTold();
  return expectationsVerdict();
}
