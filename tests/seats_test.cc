// Which seat changes hands next, against what must hold of it whatever the need; and that, followed to its
// end, it comes to rest with as many live seats as the deployment asks for (design.md 6.10).
#include <rapidcheck.h>

#include "control/commands.h"
#include "membership/replica_placement.h"

using namespace stonemount;

namespace {
Seat seatOf(Chance& chance, std::uint32_t number, std::uint64_t zones) {
  return {{number, 7000}, 1, std::string(1, static_cast<char>('a' + chance.below(zones)))};
}

struct Need : SeatNeed {
  explicit Need(std::uint64_t seed) {
    Chance chance(seed);
    const std::uint64_t zones = 1 + chance.below(4);
    std::uint32_t number = 0;
    wanted = 3 + 2 * chance.below(2);
    for (std::uint64_t i = 1 + chance.below(5); i > 0; --i) giveSeat(view, seatOf(chance, ++number, zones));
    view.chain = view.voters;
    for (std::uint64_t i = chance.below(4); i > 0; --i) fit.push_back(seatOf(chance, ++number, zones));
    for (std::uint32_t i = 1; i <= number; ++i) {
      if (findMember(view, {i, 7000}) == nullptr) continue;
      if (chance.oneIn(4)) dead.insert({i, 7000});
      if (chance.oneIn(8)) retired.insert({i, 7000});
      if (chance.oneIn(4)) doubted.insert({i, 7000});
    }
  }
  // As the mender carries it out.
  void carryOut(const ChangeVoters& change) {
    std::erase_if(view.voters, SeatAt{change.remove});
    std::erase_if(view.nonVoters, SeatAt{change.remove});
    if (change.add.set()) giveSeat(view, *findSeat(fit, change.add));
    std::erase_if(fit, SeatAt{change.add});
    if (change.remove.set())
      for (const Seat& nonVoter : std::exchange(view.nonVoters, {}))
        dead.contains(nonVoter.address) ? view.nonVoters.push_back(nonVoter) : giveSeat(view, nonVoter);
  }
};

void changesAreSound(std::uint64_t seed) {
  Need need(seed);
  int changes = 0;
  while (true) {
    const ChangeVoters change = nextChange(need);
    if (!change.add.set() && !change.remove.set()) break;
    RC_ASSERT(++changes < 20);  // it comes to rest
    const View before = need.view;
    if (change.add.set()) RC_ASSERT(findSeat(need.fit, change.add) != nullptr);
    if (change.remove.set()) RC_ASSERT(findMember(before, change.remove) != nullptr);
    need.carryOut(change);
    // What any zone's loss could be borne by stays so; only by order, and where no newcomer could keep it, may
    // it end, and then two zones are left.
    if (outlivesZones(before.voters) && !outlivesZones(need.view.voters)) {
      RC_ASSERT(need.retired.contains(change.remove) && spansZones(need.view.voters));
      RC_ASSERT(need.view.voters.size() >= std::min(need.wanted, before.voters.size()));
      for (const Seat& other : need.fit) {
        Need then = need;
        then.view = before;
        then.carryOut({other.address, change.remove});
        RC_ASSERT(!outlivesZones(then.view.voters) || then.view.voters.size() < before.voters.size());
      }
    }
    // Fewer vote only by order, and then still enough.
    if (need.view.voters.size() < before.voters.size())
      RC_ASSERT(need.retired.contains(change.remove) && need.view.voters.size() >= need.wanted);
  }
  // Nobody that could be replaced still sits there.
  for (const Seat& seat : need.view.voters)
    for (const Seat& other : need.fit)
      if (need.dead.contains(seat.address) && seat.zone == other.zone) {
        Need then = need;
        then.carryOut({other.address, seat.address});
        RC_ASSERT(then.view.voters.size() < need.view.voters.size() ||
                  (outlivesZones(need.view.voters) && !outlivesZones(then.view.voters)));
      }
}

void invitesTheRight(std::uint64_t seed) {
  Need need(seed);
  for (const Address& wanted : wantedIn(need)) RC_ASSERT(findSeat(need.fit, wanted) != nullptr);
  need.dead.clear();
  need.doubted.clear();
  need.retired.clear();
  if (need.view.voters.size() >= need.wanted && outlivesZones(need.view.voters)) RC_ASSERT(wantedIn(need).empty());
}

void spreadsOverZones(std::uint64_t seed) {
  Chance chance(seed);
  std::vector<Seat> seats;
  for (std::uint32_t i = 1; i <= 1 + chance.below(8); ++i) seats.push_back(seatOf(chance, i, 4));
  absl::btree_set<std::string> zones;
  for (const Seat& seat : seats) zones.insert(seat.zone);
  const std::vector<Seat> chosen = spreadSeats(seats, 3);
  absl::btree_set<std::string> covered;
  for (const Seat& seat : chosen) covered.insert(seat.zone);
  RC_ASSERT(chosen.size() == std::min<std::size_t>(3, seats.size()));
  RC_ASSERT(covered.size() == std::min(zones.size(), chosen.size()));
  std::reverse(seats.begin(), seats.end());
  RC_ASSERT(spreadSeats(seats, 3) == chosen);
}

// Two orders that each count on the other: the second is refused.
void retiresNotTooMany() {
  MemberOrders orders;
  const std::vector<Address> all = {{1, 1}, {2, 1}, {3, 1}, {4, 1}};
  RetireStore one{"one", all[0], {all[1], all[2], all[3]}, 3};
  RetireStore two{"two", all[1], {all[0], all[2], all[3]}, 3};
  RC_ASSERT(applyOrder(orders, one).outcome == OrderOutcome::kDone);
  RC_ASSERT(applyOrder(orders, one).outcome == OrderOutcome::kAgain);
  RC_ASSERT(applyOrder(orders, two).outcome == OrderOutcome::kTooFew);
  RC_ASSERT(orders.retires(all[0], "one") && orders.retires(all[0], "") && !orders.retires(all[1], "two"));
  RC_ASSERT(!orders.retires(all[0], "another at its address"));
  RC_ASSERT(applyOrder(orders, FoundStore{{all[0]}}).outcome == OrderOutcome::kDone);
  RC_ASSERT(applyOrder(orders, FoundStore{{all[2]}}).orders.storeFounders == std::vector<Address>{all[0]});
}
}  // namespace

int main() {
  bool well = rc::check("changes are sound and end", changesAreSound);
  well &= rc::check("only who is wanted is invited", invitesTheRight);
  well &= rc::check("founders spread over zones", spreadsOverZones);
  well &= rc::check("orders do not count on each other", retiresNotTooMany);
  return well ? 0 : 1;
}
