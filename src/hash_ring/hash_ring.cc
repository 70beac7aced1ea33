#include "hash_ring/hash_ring.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

namespace {
std::uint64_t spotOf(const Address& member, std::size_t number) {
  return spread(absl::StrCat(addressText(member), "#", number));
}
}  // namespace

void Ring::put(const Address& member) {
  if (!members_.insert(member).second) return;
  for (std::size_t i = 0; i < kSpots; ++i) spots_[{spotOf(member, i), member}] = member;
}

void Ring::remove(const Address& member) {
  if (members_.erase(member) == 0) return;
  for (std::size_t i = 0; i < kSpots; ++i) spots_.erase({spotOf(member, i), member});
}

std::vector<Address> Ring::heirs(std::uint64_t spot, std::size_t most) const {
  std::vector<Address> order;
  absl::flat_hash_set<Address> seen;
  auto at = spots_.lower_bound({spot, Address()});
  for (std::size_t step = 0; step < spots_.size(); ++step) {
    if (at == spots_.end()) at = spots_.begin();
    if (seen.insert(at->second).second) order.push_back(at->second);
    if (order.size() >= most || order.size() == members_.size()) break;
    ++at;
  }
  return order;
}

}  // namespace stonemount
