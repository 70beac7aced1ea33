// Who gets a request that is passed through (design.md 9.7): nobody who leaves, is gone, was evacuated or
// passed over; a cold worker no more in any second, and no worker more connections, than it bears from all
// boards together; and in the end everything was given back.
#include "pool_board_rig.h"

using namespace stonemount;

namespace {
void anyDay(std::uint64_t seed) {
  BoardRig rig(seed);
  for (int i = 0; i < 600; ++i) {
    const std::uint64_t deed = rig.chance.below(20);
    if (deed == 0)
      rig.operate();
    else if (deed == 1)
      rig.hear();
    else if (deed < 7)
      rig.giveBack();
    else
      rig.ask();
    rig.clock.nowUs += static_cast<Us>(rig.chance.below(rig.chance.oneIn(40) ? kSecondUs : 20 * kMilliUs));
    rig.freshen();
  }
  while (!rig.flights.empty()) rig.giveBack();
  for (const auto& board : rig.boards)
    for (const auto& [address, worker] : board->workers()) {
      RC_ASSERT(worker.inFlight() == 0u);
      RC_ASSERT(rig.control.workers().contains(address));  // what is gone is forgotten with its last request
    }
}

// One board over workers of one pool with the same slots.
struct Small {
  explicit Small(std::size_t count, std::uint32_t slots) {
    PoolLoadTablePlan plan;
    plan.zone = "a";
    for (std::size_t i = 0; i < count; ++i) put(i, i % 2 == 0 ? "a" : "b", slots, "i-1");
    board = std::make_unique<PoolLoadTable>(clock, control, plan);
    board->relist();
  }
  void put(std::size_t place, const char* zone, std::uint32_t slots, const char* life) {
    control.bump();
    control.putWorker({workerAddress(place), "p", zone, slots, false, life});
  }
  std::optional<Address> take(std::uint64_t spot = 0) {
    PoolRequest wish;
    wish.pool = "p";
    wish.spot = spot;
    std::optional<Address> chosen = board->choose(wish);
    if (chosen) board->take(*chosen, false);
    return chosen;
  }
  HandClock clock;
  ControlState control;
  std::unique_ptr<PoolLoadTable> board;
};

// This zone until it is no longer calm, then the other's calm ones, then all there is room for; evenly.
void nearFirst() {
  Small small(4, 10);
  std::string order;
  std::map<Address, int> held;
  while (std::optional<Address> chosen = small.take()) {
    order += small.control.workers().at(*chosen).zone;
    ++held[*chosen];
    if (order.size() <= 16) RC_ASSERT(std::abs(held[workerAddress(0)] - held[workerAddress(2)]) <= 1);
  }
  RC_ASSERT(order.substr(0, 32) == std::string(16, 'a') + std::string(16, 'b'));
  RC_ASSERT(order.size() == 4u * 14u);
}

void failedLast() {
  Small small(2, 10);
  small.take();
  small.board->giveBack(workerAddress(0), false, PoolLoadTable::Ending::kBroken);
  for (int i = 0; i < 14; ++i) RC_ASSERT(*small.take() == workerAddress(1));  // another zone's, though it is full
  RC_ASSERT(*small.take() == workerAddress(0));
  RC_ASSERT(!small.take());  // one at a time while it is suspected
  small.clock.nowUs += 5 * kSecondUs;
  RC_ASSERT(*small.take() == workerAddress(0));
}

// One spot meets at one worker, whichever node it comes to, until that one has clearly more; spots spread.
void spotsMeet() {
  Small small(8, 40), other(8, 40);
  std::map<Address, int> met;
  for (std::uint64_t spot = 1; spot <= 40; ++spot) {
    const std::optional<Address> first = small.take(spot);
    RC_ASSERT(first == other.take(spot));
    small.board->giveBack(*first, false, PoolLoadTable::Ending::kWhole);
    other.board->giveBack(*first, false, PoolLoadTable::Ending::kWhole);
    for (int i = 0; i < 3; ++i) RC_ASSERT(small.take(spot) == first);  // though the others have less
    for (int i = 0; i < 3; ++i) small.board->giveBack(*first, false, PoolLoadTable::Ending::kWhole);
    ++met[*first];
  }
  RC_ASSERT(met.size() >= 3u);
  std::map<Address, int> crowd;
  for (int i = 0; i < 40; ++i) ++crowd[*small.take(1)];
  RC_ASSERT(crowd.size() >= 3u);
}

void othersCount() {
  Small small(2, 10);
  small.board->heard(workerAddress(0), {12, 3, 10});
  RC_ASSERT(*small.take() == workerAddress(1));
  small.clock.nowUs += 5 * kSecondUs;  // forgotten by and by
  RC_ASSERT(*small.take() == workerAddress(0));
}
}  // namespace

int main() {
  bool well = rc::check("any day", anyDay);
  well &= rc::check("near first", nearFirst);
  well &= rc::check("failed last", failedLast);
  well &= rc::check("spots meet", spotsMeet);
  well &= rc::check("others count", othersCount);
  return well ? 0 : 1;
}
