#include "proxy/connection_shares.h"

#include <algorithm>

#include "runtime/address_hash.h"

namespace stonemount {

namespace {
constexpr std::size_t kMostSeen = 64;   // nodes that a view of peers holds (design.md 4)
constexpr std::size_t kSupposed = 512;  // where that is full
// Of what is used, where each node draws by itself whether it is an owner: room for an uneven draw.
constexpr std::size_t kDrawnPercent = 66;

// How many of the numbers below `end` fall to that place when they are dealt out in turn.
std::size_t dealtBelow(std::size_t end, const FleetPlace& place) {
  return (end + place.places - 1 - place.place) / place.places;
}
}  // namespace

bool ConnectionShares::setPlace(const FleetPlace& place) {
  if (!place.known() || place == place_) return false;
  place_ = place;
  dealtPlace_ = place.scattered();
  return true;
}

ConnectionShare ConnectionShares::of(const Address& worker, std::size_t index, std::size_t most,
                                     std::size_t nodes) const {
  const std::size_t used = std::max<std::size_t>(1, most * kUsedPercent / 100);
  if (!place_.known()) return {estimate(worker, used, std::max<std::size_t>(1, nodes)), used < nodes};
  FleetPlace place = dealtPlace_;
  // Where each node has some, all may take less. Where few own a worker, all must deal by the same number: control's.
  if (used >= place.places) place.places = std::max(place.places, static_cast<std::uint32_t>(nodes));
  return {dealtBelow((index + 1) * used, place) - dealtBelow(index * used, place), used < place.places};
}

// Without a place, where control has not been heard since the start: owners are drawn, in an order of each worker's
// own.
std::size_t ConnectionShares::estimate(const Address& worker, std::size_t used, std::size_t nodes) const {
  if (nodes >= kMostSeen) nodes = std::max(nodes, kSupposed);
  if (used >= nodes) return used / nodes;
  return addressPairHash(worker, self_) % nodes < used * kDrawnPercent / 100 ? 1 : 0;
}

}  // namespace stonemount
