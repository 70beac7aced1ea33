// Seat changes and membership orders, exhaustively: every view of up to five members in up to four zones, every set of
// dead, retired and doubted among them, every choice of up to two newcomers, followed to the end of their changes; and
// every series of up to three orders (docs/design-notes/model-checking.md). Zones are counted up to their names.
// PLACEMENT_NEWCOMERS=2 gives two newcomers to views of five members too, which takes some ten times as long.
#include <cstdio>
#include <cstdlib>

#include "control/commands.h"
#include "membership/replica_placement.h"

using namespace stonemount;

namespace {
constexpr std::size_t kMostMembers = 5;
constexpr std::size_t kMostNewcomers = 2;  // of up to four members
constexpr std::size_t kMostNewcomersOfFive = 1;
constexpr std::size_t kMostZones = 4;
constexpr std::uint64_t kMostTold = 2;  // of one rule
constexpr int kMostChanges = 20;

enum class Standing : std::uint8_t { kWell, kDead, kRetired, kDeadAndRetired, kDoubted };
constexpr std::size_t kStandings = 5;

std::uint64_t cases = 0, steps = 0;
std::map<std::string, std::uint64_t> failures;  // by rule

Address memberAddress(std::size_t number) { return {static_cast<std::uint32_t>(1 + number), 7000}; }

std::string needText(const SeatNeed& need) {
  std::string text = "wanted " + std::to_string(need.wanted) + " voters";
  const std::pair<const char*, const std::vector<Seat>*> lists[] = {
      {"", &need.view.voters}, {" nonVoters", &need.view.nonVoters}, {" fit", &need.fit}};
  for (const auto& [name, seats] : lists) {
    text += name;
    for (const Seat& seat : *seats) {
      text += " " + std::to_string(seat.address.ip) + seat.zone;
      if (need.dead.contains(seat.address)) text += "-dead";
      if (need.retired.contains(seat.address)) text += "-retired";
      if (need.doubted.contains(seat.address)) text += "-doubted";
    }
  }
  return text;
}

void require(bool holds, const char* rule, const SeatNeed& need, const ChangeVoters& change) {
  if (holds || ++failures[rule] > kMostTold) return;
  std::printf("FAILED %s: %s; add %u remove %u\n", rule, needText(need).c_str(), change.add.ip, change.remove.ip);
}

// As the voters carry it out (reconfigurer.cc).
void carryOut(SeatNeed& need, const ChangeVoters& change) {
  std::erase_if(need.view.voters, SeatAt{change.remove});
  std::erase_if(need.view.nonVoters, SeatAt{change.remove});
  if (change.add.set()) giveSeat(need.view, *findSeat(need.fit, change.add));
  std::erase_if(need.fit, SeatAt{change.add});
  if (!change.remove.set()) return;
  for (const Seat& nonVoter : std::exchange(need.view.nonVoters, {}))
    need.dead.contains(nonVoter.address) ? need.view.nonVoters.push_back(nonVoter) : giveSeat(need.view, nonVoter);
}

// By how many voters that can vote now the majority is exceeded; below zero: the chain stands still.
int margin(const SeatNeed& need) {
  int sound = 0;
  for (const Seat& voter : need.view.voters)
    sound += need.dead.contains(voter.address) || need.doubted.contains(voter.address) ? 0 : 1;
  return sound - static_cast<int>(need.view.majority());
}

std::vector<Seat> living(const SeatNeed& need) {
  std::vector<Seat> seats = need.view.voters;
  std::erase_if(seats, [&need](const Seat& seat) { return need.dead.contains(seat.address); });
  return seats;
}

bool seatsOnce(const View& view) {
  absl::btree_set<Address> seen;
  for (const std::vector<Seat>* seats : {&view.voters, &view.nonVoters})
    for (const Seat& seat : *seats)
      if (!seen.insert(seat.address).second) return false;
  return true;
}

void checkChange(const SeatNeed& before, const SeatNeed& after, const ChangeVoters& change) {
  if (change.add.set()) {
    require(findSeat(before.fit, change.add) != nullptr, "a newcomer is fit", before, change);
    require(findMember(before.view, change.add) == nullptr, "no seat is given twice", before, change);
    require(!before.retired.contains(change.add), "a retired one gets no seat", before, change);
  }
  if (change.remove.set()) {
    require(findMember(before.view, change.remove) != nullptr, "only a member leaves", before, change);
  }
  require(seatsOnce(after.view), "nobody holds two seats", before, change);
  // A majority that can vote now stays one. (Where there is none, no change comes about: each is voted on.)
  require(margin(after) >= 0 || margin(before) < 0, "a change keeps a sound majority", before, change);
  // As long as the dead are not counted: a seat of theirs may go to a zone that has others.
  require(!spansZones(living(before)) || spansZones(living(after)), "two zones stay", before, change);
  const bool ordered = before.retired.contains(change.remove);
  require(ordered || !outlivesZones(before.view.voters) || outlivesZones(after.view.voters),
          "a zone's loss can still be borne", before, change);
  require(ordered || after.view.voters.size() >= before.view.voters.size(), "silence costs no vote", before, change);
  require(after.view.voters.size() >= std::min(before.wanted, before.view.voters.size()), "enough vote", before,
          change);
}

void follow(SeatNeed need) {
  ++cases;
  for (const Address& wanted : wantedIn(need))
    require(findSeat(need.fit, wanted) != nullptr, "only who is fit is invited", need, {});
  for (int changes = 0;; ++changes) {
    const ChangeVoters change = nextChange(need);
    if (!change.add.set() && !change.remove.set()) return;
    ++steps;
    if (changes == kMostChanges) return require(false, "changes come to an end", need, change);
    const SeatNeed before = need;
    carryOut(need, change);
    checkChange(before, need, change);
  }
}

// Every list of zones, up to their names: a zone's number is at most one above those before it.
template <class Each>
void eachZoning(std::size_t count, std::vector<std::size_t>& zones, const Each& each) {
  if (zones.size() == count) return each(zones);
  std::size_t used = 0;
  for (const std::size_t zone : zones) used = std::max(used, zone + 1);
  for (std::size_t zone = 0; zone < std::min(used + 1, kMostZones); ++zone) {
    zones.push_back(zone);
    eachZoning(count, zones, each);
    zones.pop_back();
  }
}

Seat seatIn(std::size_t number, std::size_t zone) {
  return {memberAddress(number), 1, std::string(1, static_cast<char>('a' + zone))};
}

void eachStanding(std::size_t members, const SeatNeed& base) {
  std::size_t combinations = 1;
  for (std::size_t i = 0; i < members; ++i) combinations *= kStandings;
  for (std::size_t number = 0; number < combinations; ++number) {
    SeatNeed need = base;
    std::size_t rest = number;
    for (std::size_t i = 0; i < members; ++i, rest /= kStandings) {
      const Standing standing = static_cast<Standing>(rest % kStandings);
      if (standing == Standing::kDead || standing == Standing::kDeadAndRetired) need.dead.insert(memberAddress(i));
      if (standing == Standing::kRetired || standing == Standing::kDeadAndRetired)
        need.retired.insert(memberAddress(i));
      if (standing == Standing::kDoubted) need.doubted.insert(memberAddress(i));
    }
    follow(std::move(need));
  }
}

void eachView(std::size_t members, std::size_t newcomers) {
  std::vector<std::size_t> zones;
  eachZoning(members + newcomers, zones, [&](const std::vector<std::size_t>& zoning) {
    for (const std::size_t wanted : {3u, 5u}) {
      SeatNeed need;
      need.wanted = wanted;
      for (std::size_t i = 0; i < members; ++i) giveSeat(need.view, seatIn(i, zoning[i]));
      need.view.chain = need.view.voters;
      for (std::size_t i = members; i < zoning.size(); ++i) need.fit.push_back(seatIn(i, zoning[i]));
      eachStanding(members, need);
    }
  });
}

// Orders: whatever the series, no two that were granted count on each other, and the first founders stand.
void eachOrders(const MemberOrders& orders, int left) {
  if (left == 0) return;
  for (std::uint32_t number = 0; number < (kMostMembers << kMostMembers); ++number) {
    const std::size_t leaver = number >> kMostMembers;
    if ((number & (1u << leaver)) != 0) continue;
    RetireStore command{std::to_string(leaver), memberAddress(leaver), {}, 3};
    std::size_t staying = 0;
    for (std::size_t i = 0; i < kMostMembers; ++i) {
      if ((number & (1u << i)) == 0) continue;
      command.rest.push_back(memberAddress(i));
      staying += orders.retires(memberAddress(i), "") ? 0 : 1;
    }
    MemberOrders after = orders;
    const OrderOutcome outcome = applyOrder(after, command).outcome;
    ++cases;
    const bool again = orders.retires(command.address, command.machine);
    const OrderOutcome expected = again         ? OrderOutcome::kAgain
                                  : staying < 3 ? OrderOutcome::kTooFew
                                                : OrderOutcome::kDone;
    const bool grew = after.retired.size() == orders.retired.size() + 1;
    if (outcome != expected || grew != (outcome == OrderOutcome::kDone)) {
      if (++failures["an order is granted only while enough others stay"] <= kMostTold)
        std::printf("FAILED order %zu, series of %d\n", leaver, 4 - left);
    }
    eachOrders(after, left - 1);
  }
}
}  // namespace

int main() {
  const bool whole = std::getenv("PLACEMENT_NEWCOMERS") != nullptr;
  for (std::size_t members = 1; members <= kMostMembers; ++members) {
    const std::size_t most = members < kMostMembers || whole ? kMostNewcomers : kMostNewcomersOfFive;
    for (std::size_t newcomers = 0; newcomers <= most; ++newcomers) eachView(members, newcomers);
  }
  std::printf("%llu needs, %llu changes\n", static_cast<unsigned long long>(cases),
              static_cast<unsigned long long>(steps));
  cases = 0;
  eachOrders(MemberOrders(), 3);
  std::printf("%llu orders\n", static_cast<unsigned long long>(cases));
  for (const auto& [rule, count] : failures)
    std::printf("FAILED %llu times: %s\n", static_cast<unsigned long long>(count), rule.c_str());
  return failures.empty() ? 0 : 1;
}
