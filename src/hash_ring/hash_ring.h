// The ring of spots: where prompts and lots are at home (design.md 9.2).
#pragma once

#include "stonemount.h"

namespace stonemount {

class Ring {
 public:
  static constexpr std::size_t kSpots = 64;
  void put(const Address& member);
  void remove(const Address& member);
  bool holds(const Address& member) const { return members_.contains(member); }
  std::size_t size() const { return members_.size(); }
  // Members in the order in which they inherit the spot; a lost one's share goes to its neighbours.
  std::vector<Address> heirs(std::uint64_t spot, std::size_t most) const;
  const absl::btree_set<Address>& members() const { return members_; }

 private:
  absl::btree_map<std::pair<std::uint64_t, Address>, Address> spots_;
  absl::btree_set<Address> members_;
};

}  // namespace stonemount
