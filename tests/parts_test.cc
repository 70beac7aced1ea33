// Properties of the parts that need no fleet: news, the ring, seals, the cut.
#include <rapidcheck.h>

#include <cstdio>

#include "config/control_state.h"
#include "hash_ring/hash_ring.h"
#include "proxy/sealed_reader.h"
#include "safe_time/session.h"

using namespace stonemount;

namespace {
std::string wholeOf(const ControlState& state) {
  ControlNews news = state.newsSince(0);
  return pack(news);
}

// A node that takes changes from any earlier revision ends with the same as one that takes the whole.
void newsAddUp(std::uint64_t seed) {
  Chance chance(seed);
  ControlState state;
  std::vector<ControlState> followers(3);
  for (int i = 0; i < 200; ++i) {
    state.bump();
    const std::string name = "route-" + std::to_string(chance.below(20));
    const Address worker{1, static_cast<std::uint16_t>(1 + chance.below(9))};
    switch (chance.below(5)) {
      case 0:
        state.removeRoute(name);
        break;
      case 1:
        state.putWorker({worker, "pool", "zone", 1 + static_cast<std::uint32_t>(chance.below(4))});
        break;
      case 2:
        state.removeWorker(worker);
        break;
      case 3:
        state.setZone("zone", chance.oneIn(2));
        break;
      default: {
        Route route;
        route.name = name;
        route.limitUs = static_cast<Us>(chance.below(1000));
        state.putRoute(route);
        state.bumpConfig();
      }
    }
    ControlState& follower = followers[chance.below(followers.size())];
    const ControlNews news = state.newsSince(follower.revision());
    RC_ASSERT(follower.absorb(news));
    RC_ASSERT(wholeOf(follower) == wholeOf(state));
    // Old news, come late, changes nothing.
    ControlNews late = news;
    late.to = follower.revision() - 1;
    late.routes.clear();
    late.whole = true;
    RC_ASSERT(follower.absorb(late));
    RC_ASSERT(wholeOf(follower) == wholeOf(state));
    // One follower may learn from another.
    ControlState& other = followers[chance.below(followers.size())];
    other.absorb(follower.newsSince(other.revision()));
    RC_ASSERT(other.revision() >= follower.revision());
  }
}

std::size_t spotsMoved = 0, spotsSeen = 0;

// A lost member's spots go to others; nobody else's spots move.
void ringKeepsShares(std::uint64_t seed) {
  Chance chance(seed);
  Ring ring;
  std::vector<Address> members;
  for (std::uint16_t i = 1; i <= 12; ++i) members.push_back({static_cast<std::uint32_t>(chance.next()), i});
  for (const Address& member : members) ring.put(member);
  std::map<std::uint64_t, Address> before;
  for (int i = 0; i < 500; ++i) {
    const std::uint64_t spot = chance.next();
    before[spot] = ring.heirs(spot, 1).front();
  }
  const Address lost = members[chance.below(members.size())];
  ring.remove(lost);
  std::size_t moved = 0;
  for (const auto& [spot, heir] : before) {
    const Address now = ring.heirs(spot, 1).front();
    RC_ASSERT(heir == lost || now == heir);
    moved += now != heir ? 1 : 0;
  }
  RC_ASSERT(moved < before.size() / 4);
  spotsMoved += moved;
  spotsSeen += before.size();
  ring.put(lost);
  for (const auto& [spot, heir] : before) RC_ASSERT(ring.heirs(spot, 1).front() == heir);
}

// Only the whole of our own answer is sealed, however it is cut into pieces.
void onlyWholeIsSealed(std::uint64_t seed) {
  Chance chance(seed);
  const std::string exchange = hexText(seed);
  std::string lines;
  Bytes answer;
  std::uint32_t digest = 0;
  const std::uint32_t parts = 1 + static_cast<std::uint32_t>(chance.below(6));
  for (std::uint32_t i = 0; i < parts; ++i) {
    const Bytes data = hexText(chance.next()).substr(0, chance.below(16)) + "\"\\n\n";
    digest = checksum(data, digest);
    answer += data;
    lines += partLine(exchange, i, data);
  }
  const std::string whole = lines + sealLine(exchange, parts, digest);
  std::string given = whole;
  const std::uint64_t harm = chance.below(5);
  if (harm == 1) given = whole.substr(0, chance.below(whole.size()));
  if (harm == 2) given[chance.below(given.size())] ^= 1;
  if (harm == 3) given = lines.substr(lines.find('\n') + 1) + sealLine(exchange, parts, digest);
  if (harm == 4) given = partLine("other", 0, "x") + sealLine("other", 1, checksum("x"));
  SealedReader reader(exchange);
  std::vector<Bytes> got;
  bool sound = true;
  for (std::size_t at = 0; at < given.size() && sound;) {
    const std::size_t length = 1 + chance.below(40);
    sound = reader.feed(given.substr(at, length), got);
    at += length;
  }
  Bytes joined;
  for (const Bytes& part : got) joined += part;
  if (harm == 0) RC_ASSERT(reader.sealed());
  if (reader.sealed()) RC_ASSERT(joined == answer);
  if (harm == 3 || harm == 4) RC_ASSERT(!reader.sealed());
}

// Whatever samplers and clocks do: the cut never goes back, is never faster than the slower
// monotonic clock, moves only while certain, and each taker of the lock has an epoch of its own.
void cutIsSafe(std::uint64_t seed) {
  Chance chance(seed);
  SafeTimePlan plan;
  CutState cut;
  SessionKeeper keeper(chance, plan);
  HeadSight sight{kSecondUs, 1000 * kSecondUs, 7, 1};
  std::set<std::uint64_t> epochs;
  Us trueUs = 0, begunCutUs = -1, begunTrueUs = 0;
  std::uint64_t session = 0, round = 0, epoch = 0;
  for (int i = 0; i < 300; ++i) {
    const Us passedUs = chance.oneIn(12) ? static_cast<Us>(chance.below(9 * kSecondUs)) : 500 * kMilliUs;
    trueUs += passedUs;
    sight.monoUs += passedUs;
    sight.wallUs += passedUs;
    if (chance.oneIn(15)) sight.wallUs += static_cast<Us>(chance.below(7200)) * kSecondUs - 3600 * kSecondUs;
    if (chance.oneIn(25)) ++sight.viewRevision;
    if (session == 0 || chance.oneIn(30)) {
      const SessionVerdict opened = keeper.open({1, static_cast<std::uint16_t>(1 + chance.below(2))}, sight);
      if (!opened.granted) continue;
      session = opened.session;
      LockWish wish{{1, 1}, session};
      const bool held = keeper.stampLock(wish, sight) || keeper.stampLock(wish = {{1, 2}, session}, sight);
      RC_ASSERT(held);
      cut.takeLock(wish);
      RC_ASSERT(epochs.insert(cut.epoch).second);
      RC_ASSERT(!cut.certain);
      epoch = cut.epoch;
      round = 0;
      if (begunCutUs < 0) begunCutUs = cut.cutUs, begunTrueUs = trueUs;
      continue;
    }
    CutProposal proposal;
    proposal.epoch = epoch;
    proposal.session = session;
    proposal.round = ++round;
    proposal.samplerElapsedUs = passedUs * (chance.oneIn(10) ? 3 : 1);  // a sampler that errs
    proposal.wallsUs = {sight.wallUs, sight.wallUs};
    proposal.clocks = 2;
    const Us beforeUs = cut.cutUs;
    const bool certainBefore = cut.certain;
    if (!keeper.stampProposal(proposal, sight) || !cut.propose(proposal, plan, false)) {
      session = 0;
      continue;
    }
    RC_ASSERT(cut.cutUs >= beforeUs);
    if (!certainBefore) RC_ASSERT(cut.cutUs == beforeUs);
    RC_ASSERT(cut.cutUs - begunCutUs <= trueUs - begunTrueUs);
  }
}

// Two monotonic clocks of different rates: the cut keeps to the slower one, and a difference that no two
// sound clocks have is found, while one that they may have is never a doubt.
void ratesAreSeen(std::uint64_t seed) {
  Chance chance(seed);
  const SafeTimePlan plan;
  for (const Us apart : {100, 10000, -10000}) {  // in a million
    CutState cut;
    cut.takeLock({{1, 1}, 7});
    const std::uint64_t doubtsBefore = cut.doubts;
    Us trueUs = 0;
    Us lateUs = 0;  // a proposal's way to the head is now shorter, now longer
    for (std::uint64_t round = 1; round <= 4000; ++round) {
      const Us passedUs = 450 * kMilliUs + static_cast<Us>(chance.below(100)) * kMilliUs;
      const Us laterUs = static_cast<Us>(chance.below(200)) * kMilliUs;
      trueUs += passedUs;
      CutProposal proposal{1, 7,  round, passedUs + passedUs * apart / 1000000, 0, passedUs + laterUs - lateUs,
                           0, {}, 6};
      lateUs = laterUs;
      RC_ASSERT(cut.propose(proposal, plan, false));
      RC_ASSERT(cut.cutUs <= trueUs + std::max<Us>(0, apart) * trueUs / 1000000);
    }
    RC_ASSERT((cut.doubts > doubtsBefore) == (apart != 100));
  }
}

void renewalNeverShortens(std::uint64_t seed) {
  Chance chance(seed);
  Us limitUs = static_cast<Us>(chance.below(1000));
  Us cutUs = 0;
  for (int i = 0; i < 100; ++i) {
    cutUs += static_cast<Us>(chance.below(50));
    const Us renewed = renewedLimit(limitUs, cutUs, static_cast<Us>(chance.below(100)));
    RC_ASSERT(renewed >= limitUs);
    limitUs = renewed;
  }
}
}  // namespace

int main() {
  bool well = rc::check("news add up to the whole", newsAddUp);
  well &= rc::check("the ring keeps shares", ringKeepsShares);
  std::printf("share of spots moved on the loss of one of 12: %.4f (a twelfth is 0.0833)\n",
              static_cast<double>(spotsMoved) / static_cast<double>(spotsSeen));
  well &= rc::check("only the whole is sealed", onlyWholeIsSealed);
  well &= rc::check("the cut is safe", cutIsSafe);
  well &= rc::check("rates are seen", ratesAreSeen);
  well &= rc::check("a renewal never shortens", renewalNeverShortens);
  return well ? 0 : 1;
}
