#include "membership/replica_placement.h"

#include <algorithm>

namespace stonemount {

namespace {
std::size_t zonesOf(const std::vector<Seat>& seats) {
  absl::btree_set<std::string> zones;
  for (const Seat& seat : seats) zones.insert(seat.zone);
  return zones.size();
}

// The view as it would be (mender.cc gives seats in the same way).
View changed(const SeatNeed& need, const Seat* add, const Address& remove) {
  View after = need.view;
  if (remove.set()) {
    std::erase_if(after.voters, SeatAt{remove});
    std::erase_if(after.nonVoters, SeatAt{remove});
  }
  if (add != nullptr) giveSeat(after, *add);
  if (!remove.set()) return after;
  for (const Seat& nonVoter : std::exchange(after.nonVoters, {})) {
    if (!need.dead.contains(nonVoter.address))
      giveSeat(after, nonVoter);
    else
      after.nonVoters.push_back(nonVoter);
  }
  return after;
}

// Where the voters who live span two zones, those who live after it do.
bool livesInZones(const SeatNeed& need, const View& after) {
  std::vector<Seat> before = need.view.voters, left = after.voters;
  for (std::vector<Seat>* living : {&before, &left})
    std::erase_if(*living, [&need](const Seat& seat) { return need.dead.contains(seat.address); });
  return spansZones(left) || !spansZones(before);
}

// And zones that could be lost before can be lost after.
bool keepsZones(const SeatNeed& need, const View& after) {
  return livesInZones(need, after) && (outlivesZones(after.voters) || !outlivesZones(need.view.voters));
}

// Could most of its voters vote now? Who is silent for a moment, or answers with a broken disk, counts as lost.
bool soundMajority(const SeatNeed& need, const View& view) {
  std::size_t sound = 0;
  for (const Seat& voter : view.voters)
    sound += need.dead.contains(voter.address) || need.doubted.contains(voter.address) ? 0 : 1;
  return sound >= view.majority();
}
bool keepsMajority(const SeatNeed& need, const View& after) {
  return soundMajority(need, after) || !soundMajority(need, need.view);
}

struct Best {
  const Seat* add = nullptr;
  std::size_t zones = 0;
  bool outlives = false;
  void weigh(const Seat& seat, const View& after) {
    const bool well = outlivesZones(after.voters);
    const std::size_t spread = zonesOf(after.voters);
    if (add != nullptr && std::make_pair(well, spread) <= std::make_pair(outlives, zones)) return;
    add = &seat;
    zones = spread;
    outlives = well;
  }
};

bool leaving(const SeatNeed& need, const Address& address) {
  return need.dead.contains(address) || need.retired.contains(address);
}

// Without another where enough stay: a nonVoter that may vote then, or, of one that was ordered out, more
// members than are needed. Else another for the seat.
ChangeVoters replacement(const SeatNeed& need, const Seat& old) {
  const View alone = changed(need, nullptr, old.address);
  const std::size_t floor =
      need.retired.contains(old.address) ? std::min(need.wanted, need.view.voters.size()) : need.view.voters.size();
  if (alone.voters.size() >= floor && keepsMajority(need, alone) && keepsZones(need, alone))
    return {Address(), old.address};
  // An operator's order stands even where a zone's loss could stop the rest for a while, as long as what was
  // acknowledged stays in two zones and enough members remain (design.md 6.10).
  const bool ordered = need.retired.contains(old.address);
  Best best, narrow;
  for (const Seat& seat : need.fit) {
    const View after = changed(need, &seat, old.address);
    if (after.voters.size() < need.view.voters.size() || !keepsMajority(need, after)) continue;
    if (keepsZones(need, after))
      best.weigh(seat, after);
    else if (ordered && livesInZones(need, after) && spansZones(after.voters))
      narrow.weigh(seat, after);
  }
  if (best.add != nullptr) return {best.add->address, old.address};
  if (ordered && alone.voters.size() >= floor && keepsMajority(need, alone) && livesInZones(need, alone) &&
      spansZones(alone.voters))
    return {Address(), old.address};
  if (narrow.add != nullptr) return {narrow.add->address, old.address};
  return {};
}
}  // namespace

ChangeVoters nextChange(const SeatNeed& need) {
  // A dead nonVoter is left where it is: it costs nobody a vote. It counts for nothing, though.
  std::vector<Seat> members = need.view.voters;
  for (const Seat& nonVoter : need.view.nonVoters)
    if (!need.dead.contains(nonVoter.address)) members.push_back(nonVoter);
  if (members.empty()) return {};
  // The dead first: while one is, a retired one still holds what the others hold.
  for (const absl::btree_set<Address>* leavers : {&need.dead, &need.retired}) {
    for (const Seat& seat : members) {
      if (!leavers->contains(seat.address)) continue;
      const ChangeVoters change = replacement(need, seat);
      if (change.remove.set()) return change;
    }
  }
  std::size_t staying = 0;
  for (const Seat& seat : members) staying += leaving(need, seat.address) ? 0 : 1;
  if (members.size() < need.wanted) {
    Best best;
    for (const Seat& seat : need.fit) {
      const View after = changed(need, &seat, Address());
      if (keepsZones(need, after)) best.weigh(seat, after);
    }
    if (best.add != nullptr) return {best.add->address, Address()};
  }
  if (staying != members.size() || outlivesZones(need.view.voters)) return {};
  // All are well, but one zone holds too many votes: a newcomer elsewhere takes one of them.
  for (const Seat& seat : need.fit) {
    for (auto old = need.view.voters.rbegin(); old != need.view.voters.rend(); ++old) {
      const View after = changed(need, &seat, old->address);
      if (after.voters.size() >= need.view.voters.size() && outlivesZones(after.voters))
        return {seat.address, old->address};
    }
  }
  return {};
}

namespace {
// What is needed once that change is done.
void apply(SeatNeed& need, const ChangeVoters& change) {
  const auto added = std::find_if(need.fit.begin(), need.fit.end(), SeatAt{change.add});
  const std::optional<Seat> add = added != need.fit.end() ? std::optional<Seat>(*added) : std::nullopt;
  need.view = changed(need, add ? &*add : nullptr, change.remove);
  if (add) need.fit.erase(added);
}

// So many machines may be wanted: one for each seat that is or may soon be empty.
std::size_t emptySeats(const SeatNeed& need) {
  std::size_t seats = 0, empty = 0;
  for (const std::vector<Seat>* members : {&need.view.voters, &need.view.nonVoters}) {
    seats += members->size();
    for (const Seat& seat : *members)
      empty += leaving(need, seat.address) || need.doubted.contains(seat.address) ? 1 : 0;
  }
  return std::max<std::size_t>(empty + need.wanted - std::min(need.wanted, seats), 1);
}
}  // namespace

// All of them at once, the certain ones first: each waits for its turn to copy, and begins as soon as it has it.
std::vector<Address> wantedIn(const SeatNeed& need) {
  std::vector<Address> wanted;
  SeatNeed feared = need;
  feared.dead.insert(need.doubted.begin(), need.doubted.end());
  const std::size_t most = emptySeats(need);
  for (SeatNeed planned : {need, feared}) {
    for (std::size_t i = 0; i < most && wanted.size() < most; ++i) {
      const ChangeVoters change = nextChange(planned);
      if (!change.add.set() && !change.remove.set()) break;
      const bool known = std::find(wanted.begin(), wanted.end(), change.add) != wanted.end();
      if (change.add.set() && !known) wanted.push_back(change.add);
      apply(planned, change);
    }
  }
  return wanted;
}

std::vector<Seat> spreadSeats(std::vector<Seat> seats, std::size_t most) {
  std::vector<Seat> chosen;
  while (chosen.size() < most && !seats.empty()) {
    auto next = seats.end();
    std::pair<std::size_t, Address> least;
    for (auto seat = seats.begin(); seat != seats.end(); ++seat) {
      std::size_t same = 0;
      for (const Seat& other : chosen) same += other.zone == seat->zone ? 1 : 0;
      const std::pair<std::size_t, Address> rank(same, seat->address);
      if (next != seats.end() && !(rank < least)) continue;
      next = seat;
      least = rank;
    }
    chosen.push_back(*next);
    seats.erase(next);
  }
  return chosen;
}

}  // namespace stonemount
