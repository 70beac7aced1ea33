// A node's place among all nodes, as control numbers them.
#pragma once

#include <cmath>
#include <numeric>

#include "runtime/pack.h"

namespace stonemount {

// Every node is told by the same process, so those that are told at about the same time have places that differ and
// lie below the same number. What is bounded for the whole fleet can be dealt out by them.
struct FleetPlace {
  std::uint32_t place = 0;   // from 0
  std::uint32_t places = 0;  // how many there are; 0: not known yet
  bool known() const { return places > 0; }
  bool operator==(const FleetPlace&) const = default;
  // The same places in another order, one for one: neighbours lie far apart, and any row of them is spread evenly.
  // Nodes are numbered as they ask, so those of one zone may stand in a row.
  FleetPlace scattered() const {
    if (places < 2) return *this;
    constexpr double kGoldenRatio = 0.6180339887498949;
    auto step = static_cast<std::uint64_t>(std::lround(places * kGoldenRatio));
    while (std::gcd(step, static_cast<std::uint64_t>(places)) != 1) ++step;
    return {static_cast<std::uint32_t>(place * step % places), places};
  }
  STONEMOUNT_PACK(place, places)
};

}  // namespace stonemount
