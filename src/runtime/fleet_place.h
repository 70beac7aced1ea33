// A node's place among all nodes, as control numbers them.
#pragma once

#include "runtime/pack.h"

namespace stonemount {

// Every node is told by the same process, so those that are told at about the same time have places that differ and
// lie below the same number. What is bounded for the whole fleet can be dealt out by them.
struct FleetPlace {
  std::uint32_t place = 0;   // from 0
  std::uint32_t places = 0;  // how many there are; 0: not known yet
  bool known() const { return places > 0; }
  bool operator==(const FleetPlace&) const = default;
  STONEMOUNT_PACK(place, places)
};

}  // namespace stonemount
