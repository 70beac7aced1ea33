// What a node knows of the use of a whole pool, from the answers of any of its workers (design.md 9.7).
#pragma once

#include "stonemount.h"

namespace stonemount {

// In large fleets a node hears of one worker only every few seconds, of some worker of its pool many times a second:
// so the mean of these stands in for what it has not heard lately. Runs on the loop's thread.
class PoolUse {
 public:
  // A worker told that it has so many requests, `others` of them of other nodes, for its slots.
  void told(std::uint32_t all, std::uint32_t others, std::uint32_t slots, Us nowUs);
  // Requests by slot, of late; forgotten where nothing is told any more.
  double allBySlot(Us nowUs) const { return all_ * kept(nowUs); }
  double othersBySlot(Us nowUs) const { return others_ * kept(nowUs); }

 private:
  double kept(Us nowUs) const;
  double all_ = 0, others_ = 0;
  Us toldUs_ = -1;
};

// How many requests of lots a node may have at the workers of a pool. It follows how busy workers say they are, as a
// congestion window follows delay: each answer to a lot changes it by the distance from the target, so that many nodes
// that see the same idle workers do not fill them at once. Runs on the loop's thread.
class LotWindow {
 public:
  // `share`: this node's even share of what lots may take; where it begins.
  std::size_t most(std::size_t share) const;
  // A lot's answer came from workers that have `use` requests by slot, where `target` is wanted.
  void answered(double use, double target, std::size_t share);

 private:
  double window_ = -1;  // -1: no lot was answered yet
};

// Of all slots, how many may be in use so that a request that comes seldom waits for one: the fewer a worker has, the
// more must be free (square-root staffing).
double lotTarget(std::uint32_t slots);

}  // namespace stonemount
