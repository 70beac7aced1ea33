// Several nodes' boards over the same workers, with all that may be done to them at random (design.md 9.7).
#pragma once

#include <rapidcheck.h>

#include <algorithm>

#include "hand_clock.h"
#include "proxy/pool_load_table.h"

namespace stonemount {

inline constexpr std::uint64_t kWarmPerKs = 12'500;  // 12 a second
inline constexpr std::uint32_t kChannels = 9;
inline constexpr std::size_t kWorkers = 6;
inline const char* const kZones[] = {"a", "b"};
inline const char* const kPools[] = {"p", "q"};

inline Address workerAddress(std::size_t place) { return {0x0a000001u + static_cast<std::uint32_t>(place), 8080}; }

struct Flight {
  std::size_t board;
  Address worker;
  std::string life;
  bool lot;
};

// Several nodes' boards over the same workers, and an operator and a list that change at any time.
struct BoardRig {
  explicit BoardRig(std::uint64_t seed) : chance(seed), nodes(1 + chance.below(4)) {
    for (const char* name : kPools) control.putPool(poolOf(name));
    for (std::size_t i = 0; i < kWorkers; ++i) list(workerAddress(i));
    for (std::size_t i = 0; i < nodes; ++i) {
      PoolLoadTablePlan plan;
      plan.zone = kZones[chance.below(2)];
      boards.push_back(std::make_unique<PoolLoadTable>(clock, control, plan));
      boards.back()->cold().setSharers({}, nodes, true);
      boards.back()->relist();
    }
  }
  static Pool poolOf(const char* name) {
    Pool pool;
    pool.name = name;
    pool.mostChannels = kChannels;
    pool.warmPerKs = kWarmPerKs;
    return pool;
  }
  void list(const Address& address) {
    ListedWorker worker;
    worker.address = address;
    worker.pool = kPools[chance.oneIn(4) ? 1 : 0];
    worker.zone = kZones[chance.below(2)];
    worker.slots = 1 + static_cast<std::uint32_t>(chance.below(8));
    worker.life = "i-" + std::to_string(++lives);
    worker.coldLeftUs = chance.oneIn(2) ? static_cast<Us>(chance.below(5 * kSecondUs)) : 0;
    coldUntilUs[address] = clock.nowUs + worker.coldLeftUs;
    sentUs[address].clear();
    for (std::size_t board = 0; board < nodes; ++board) contacts.erase({board, address});
    for (auto& strange : strangers) strange.erase(address);
    control.bump();
    control.putWorker(worker);
    relist();
  }
  void relist() {
    for (auto& board : boards) board->relist();
  }
  void operate() {
    const Address address = workerAddress(chance.below(kWorkers));
    auto found = control.workers().find(address);
    const std::uint64_t deed = chance.below(5);
    if (found == control.workers().end() || deed == 0) return list(address);
    control.bump();
    if (deed == 1) control.setZone(kZones[chance.below(2)], chance.oneIn(2));  // in force even before the next relist
    if (deed == 2) control.removeWorker(address);
    if (deed == 3) {
      ListedWorker leaving = found->second;
      leaving.leaving = true;
      leaving.coldLeftUs = 0;
      control.putWorker(leaving);
    }
    if (deed > 1) relist();
  }
  std::uint32_t inFlight(std::optional<std::size_t> board, const Address& worker) const {
    std::uint32_t sum = 0;
    for (const Flight& flight : flights) sum += flight.worker == worker && (!board || flight.board == *board) ? 1 : 0;
    return sum;
  }
  bool mayGet(std::size_t board, const PoolRequest& wish, const ListedWorker& worker) const {
    return worker.pool == wish.pool && !worker.leaving && !control.evacuated(worker.zone) &&
           !wish.passedOver.contains(worker.address) && !strangers[board].contains(worker.address);
  }
  // The list is as new as can be: who failed and is on it still may get requests again.
  void freshen() {
    for (auto& board : boards) board->cold().listIsAsOf(clock.nowUs);
  }
  std::uint64_t sentLately(std::size_t board, const Address& worker) const {
    auto found = sentByUs.find({board, worker});
    if (found == sentByUs.end()) return 0;
    std::uint64_t count = 0;
    for (const Us atUs : found->second) count += clock.nowUs - atUs < ColdAllowance::kWindowUs ? 1 : 0;
    return count;
  }
  // This board has heard of that life of it without a long gap for long enough to know that it is warm.
  bool wellKnown(std::size_t board, const Address& worker) const {
    auto found = contacts.find({board, worker});
    return found != contacts.end() && clock.nowUs - found->second.lastUs <= ColdAllowance::kContactGapUs &&
           clock.nowUs - found->second.sinceUs >= ColdAllowance::kUnprovenUs;
  }
  // A worker that this board has only just met gets one at first, one that it knows well a few whatever the others are
  // (docs/design-notes/cold-workers.md).
  bool mayGetOneMore(std::size_t board, const Address& worker) const {
    const std::uint64_t bound = wellKnown(board, worker) ? ColdAllowance::kLeastWarm : 1;
    return sentLately(board, worker) < bound;
  }
  void hearOf(std::size_t board, const Address& worker) {
    auto [found, first] = contacts.try_emplace({board, worker});
    if (first || clock.nowUs - found->second.lastUs > ColdAllowance::kContactGapUs) found->second.sinceUs = clock.nowUs;
    found->second.lastUs = clock.nowUs;
  }
  // A node that has a lot at the pool holds further ones back for what any of its workers told: there may be no room
  // for them although one worker is idle as far as this node knows (docs/design-notes/lots-beside-live.md).
  bool lotsMayWait(std::size_t board, const std::string& pool) const {
    bool has = false;
    for (const auto& [address, worker] : boards[board]->workers()) has |= worker.listed.pool == pool && worker.lots > 0;
    return has && toldPools.contains({board, pool});
  }
  // Nothing at all speaks against it.
  bool mustFind(std::size_t board, const PoolRequest& wish) const {
    if (wish.lot && lotsMayWait(board, wish.pool)) return false;
    for (const auto& [address, worker] : control.workers()) {
      const bool idle = inFlight(board, address) == 0 && !told.contains(address) && mayGetOneMore(board, address);
      if (mayGet(board, wish, worker) && idle && clock.nowUs >= coldUntilUs.at(address)) return true;
    }
    return false;
  }
  void ask() {
    const std::size_t board = chance.below(nodes);
    PoolRequest wish;
    wish.pool = kPools[chance.oneIn(4) ? 1 : 0];
    wish.spot = chance.below(4);
    wish.lot = chance.oneIn(4);
    while (chance.oneIn(4)) wish.passedOver.insert(workerAddress(chance.below(kWorkers)));
    const std::optional<Address> chosen = boards[board]->choose(wish);
    if (!chosen) {
      RC_ASSERT(!mustFind(board, wish));
      return;
    }
    auto listed = control.workers().find(*chosen);
    RC_ASSERT(listed != control.workers().end());
    RC_ASSERT(mayGet(board, wish, listed->second));
    RC_ASSERT(boards[board]->serves(wish.pool));
    RC_ASSERT(boards[board]->lifeOf(*chosen) == listed->second.life);
    const std::uint32_t own = inFlight(board, *chosen), slots = listed->second.slots;
    RC_ASSERT(own == 0 || 100 * (own + 1) <= 140 * slots);
    RC_ASSERT(own == 0 || !wish.lot || 100 * (own + 1) <= 80 * slots);
    boards[board]->take(*chosen, wish.lot);
    flights.push_back({board, *chosen, listed->second.life, wish.lot});
    sentByUs[{board, *chosen}].push_back(clock.nowUs);
    RC_ASSERT(inFlight(std::nullopt, *chosen) <= std::max<std::uint32_t>(kChannels, static_cast<std::uint32_t>(nodes)));
    if (clock.nowUs >= coldUntilUs.at(*chosen)) return;
    std::deque<Us>& sent = sentUs[*chosen];
    sent.push_back(clock.nowUs);
    while (clock.nowUs - sent.front() > kSecondUs) sent.pop_front();
    RC_ASSERT(sent.size() <= kWarmPerKs / 1000);
    ++coldSends;
  }
  void giveBack() {
    if (flights.empty()) return;
    const std::size_t place = chance.below(flights.size());
    const Flight flight = flights[place];
    flights.erase(flights.begin() + static_cast<std::ptrdiff_t>(place));
    const PoolLoadTable::Ending endings[] = {PoolLoadTable::Ending::kWhole, PoolLoadTable::Ending::kRefused,
                                             PoolLoadTable::Ending::kUnsent, PoolLoadTable::Ending::kBroken,
                                             PoolLoadTable::Ending::kLeft};
    PoolLoadTable::Ending ending = endings[chance.oneIn(2) ? 0 : chance.below(5)];
    auto listed = control.workers().find(flight.worker);
    if (chance.oneIn(20) && listed != control.workers().end() && listed->second.life == flight.life) {
      ending = PoolLoadTable::Ending::kOtherLife;
      strangers[flight.board].insert(flight.worker);
    }
    const bool answered = ending == PoolLoadTable::Ending::kWhole || ending == PoolLoadTable::Ending::kRefused;
    if (answered && listed != control.workers().end() && listed->second.life == flight.life) {
      boards[flight.board]->contact(flight.worker, flight.life);
      hearOf(flight.board, flight.worker);
    }
    boards[flight.board]->giveBack(flight.worker, flight.lot, ending);
  }
  void hear() {
    const Address address = workerAddress(chance.below(kWorkers));
    WorkerLoad load{static_cast<std::uint32_t>(chance.below(6)), static_cast<std::uint32_t>(chance.below(3)), 4};
    const std::size_t board = chance.below(nodes);
    auto known = boards[board]->workers().find(address);
    if (known != boards[board]->workers().end()) toldPools.insert({board, known->second.listed.pool});
    boards[board]->heard(address, load);
    told.insert(address);
  }
  Chance chance;
  std::size_t nodes;
  HandClock clock;
  ControlState control;
  std::vector<std::unique_ptr<PoolLoadTable>> boards;
  std::vector<Flight> flights;
  std::map<Address, Us> coldUntilUs;
  std::map<Address, std::deque<Us>> sentUs;
  struct Contact {
    Us sinceUs = 0, lastUs = 0;
  };
  std::set<std::pair<std::size_t, std::string>> toldPools;             // of which any worker told this board its load
  std::map<std::pair<std::size_t, Address>, std::deque<Us>> sentByUs;  // by board
  std::map<std::pair<std::size_t, Address>, Contact> contacts;         // with the worker's present life
  // by board: who was found to be somebody else, until they are listed anew
  std::vector<std::set<Address>> strangers = std::vector<std::set<Address>>(4);
  std::set<Address> told;
  std::uint64_t lives = 0, coldSends = 0;
  static inline constexpr std::uint32_t leftOver = 0;
};

}  // namespace stonemount
