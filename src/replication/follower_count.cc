#include "replication/follower_count.h"

#include <bit>

namespace stonemount {

namespace {
constexpr std::uint32_t kExactPlaces = 16;

// A number of places that seldom changes as followers come and go: each change of it moves everybody's share.
std::uint32_t roundedUp(std::uint32_t places) {
  if (places <= kExactPlaces) return places;
  const std::uint32_t step = std::bit_floor(places) / 8;
  return (places + step - 1) / step * step;
}
}  // namespace

void FollowerCount::note(const Address& follower, Us nowUs) {
  if (sinceUs_ < 0) sinceUs_ = nowUs;
  auto [found, added] = followers_.try_emplace(follower);
  found->second.lastUs = nowUs;
  unplaced_ |= added;
}

void FollowerCount::reset() { *this = FollowerCount(); }

void FollowerCount::refresh(Us nowUs) {
  const std::size_t before = followers_.size();
  absl::erase_if(followers_, [nowUs](const auto& entry) { return nowUs - entry.second.lastUs > kPlaceMemoryUs; });
  count_ = 0;
  if (sinceUs_ < 0 || nowUs - sinceUs_ < kSettledUs) return;
  for (const auto& [address, follower] : followers_) count_ += nowUs - follower.lastUs <= kMemoryUs ? 1 : 0;
  if (unplaced_ || followers_.size() != before) givePlaces();
}

// Whoever has a place keeps it; the others get the lowest that are free, in the order of their addresses, so that the
// next tail gives much the same.
void FollowerCount::givePlaces() {
  absl::btree_set<std::uint32_t> taken;
  for (const auto& [address, follower] : followers_)
    if (follower.place) taken.insert(*follower.place);
  std::uint32_t next = 0;
  for (auto& [address, follower] : followers_) {
    if (follower.place) continue;
    while (taken.contains(next)) ++next;
    follower.place = next++;
    taken.insert(*follower.place);
  }
  places_ = taken.empty() ? 0 : roundedUp(*taken.rbegin() + 1);
  unplaced_ = false;
}

FollowerSight FollowerCount::sight(const Address& follower) const {
  auto found = followers_.find(follower);
  if (count_ == 0 || found == followers_.end() || !found->second.place) return {count_, {}};
  return {count_, {*found->second.place, places_}};
}

}  // namespace stonemount
