// Single matters of requests that are passed through (design.md 9.6): who is next, callers that do not read,
// final answers as they came, leaving.
#include <rapidcheck.h>

#include "gateway_rig.h"

using namespace stonemount;

namespace {
constexpr std::uint64_t kEvents = 5;
const Address kFirst{0x0a000001, 8080}, kSecond{0x0a000002, 8080};

PassWorkerPlan workerPlan(PassDeed deed) {
  PassWorkerPlan plan;
  plan.pool = "p";
  plan.life = "i-1";
  plan.events = kEvents;
  plan.deeds = {{deed, 1}};
  return plan;
}

struct Case : public GatewayRig {
  explicit Case(std::uint64_t seed, Us holdUs = 2 * kSecondUs) : GatewayRig(seed, planWith(holdUs)) {}
  static GatewayPlan planWith(Us holdUs) {
    GatewayPlan plan;
    plan.holdUs = holdUs;
    return plan;
  }
  void add(const Address& address, PassDeed deed, std::uint32_t slots, Us coldLeftUs = 0) {
    startWorker(address, "a", workerPlan(deed));
    list({address, "p", "a", slots, false, "i-1", coldLeftUs});
  }
  Asked& come(RouteKind kind, std::uint32_t precedence = 0, bool resumable = false) {
    LiveRequest request;
    request.route.kind = kind;
    request.route.pool = "p";
    request.route.precedence = precedence;
    request.route.resumable = resumable;
    request.route.limitUs = 10 * kSecondUs;
    request.exchange = "x" + std::to_string(asked.size());
    request.ask.method = "POST";
    request.ask.path = kind == RouteKind::kStream ? "/stream" : "/whole";
    request.ask.headers = {{platform::kAttempt, request.exchange}};
    return enter(std::move(request));
  }
  // The places of the callers in the order in which a worker was asked.
  std::vector<std::size_t> order() const {
    std::vector<std::size_t> places;
    for (const PassAsk& ask : ledger) places.push_back(std::stoul(ask.ask.headers.at(platform::kAttempt).substr(1)));
    return places;
  }
};

// Whoever waits goes by rank, then as they came; nobody who comes later and ranks lower goes first.
void byRank(std::uint64_t seed) {
  Chance chance(seed);
  Case day(seed);
  day.add(kFirst, PassDeed::kWhole, 1);
  const std::size_t count = 2 + chance.below(20);
  for (std::size_t i = 0; i < count; ++i) {
    day.come(RouteKind::kWhole, static_cast<std::uint32_t>(chance.below(4)));
    if (chance.oneIn(2)) day.world.runUntil(day.world.nowUs() + static_cast<Us>(chance.below(60 * kMilliUs)));
  }
  day.world.runUntil(20 * kSecondUs);
  const std::vector<std::size_t> order = day.order();
  RC_ASSERT(order.size() == count);
  for (std::size_t i = 0; i < count; ++i) {
    const Us sentUs = day.echoing.opened["x" + std::to_string(order[i])].front();
    const std::uint32_t rank = day.asked[order[i]]->request.route.precedence;
    for (std::size_t later = i + 1; later < count; ++later) {
      const Asked& other = *day.asked[order[later]];
      const bool waited = other.atUs < sentUs || (other.atUs == sentUs && order[later] < order[i]);
      RC_ASSERT(!waited ||
                std::make_pair(rank, order[i]) < std::make_pair(other.request.route.precedence, order[later]));
    }
  }
}

// Room that time makes, without a word from anyone, is the waiting ones' too.
void roomByTime() {
  Case day(1);
  Pool pool;
  pool.name = "p";
  pool.warmPerKs = 1000;  // one a second
  day.control.putPool(pool);
  day.add(kFirst, PassDeed::kWhole, 4, 60 * kSecondUs);
  day.come(RouteKind::kWhole);
  day.world.runUntil(500 * kMilliUs);
  Asked& waiting = day.come(RouteKind::kWhole, 0);
  day.world.runUntil(1300 * kMilliUs);
  day.come(RouteKind::kWhole, 5);
  day.world.runUntil(20 * kSecondUs);
  RC_ASSERT(day.order().size() >= 2u);
  RC_ASSERT(day.order()[1] == 1u);
  RC_ASSERT(waiting.answer->status == 200);
  RC_ASSERT(day.echoing.opened["x1"].front() <= 1300 * kMilliUs);
}

// A caller that reads nothing is as good as gone: it ends, and no worker is set to work for it again.
void nobodyReads() {
  Case day(1);
  day.add(kFirst, PassDeed::kSilentInside, 4);
  day.add(kSecond, PassDeed::kSilentInside, 4);
  Asked& caller = day.come(RouteKind::kStream, 0, true);
  caller.answer->readsNothing = true;
  day.world.runUntil(20 * kSecondUs);
  RC_ASSERT(caller.answer->state == Answer::State::kAborted);
  RC_ASSERT(caller.answer->overUs < kSecondUs);
  RC_ASSERT(day.ledger.size() == 1u);
}

// What a request meant for the former life meets says nothing of the worker that has the address now, and is
// listed by the time the answer comes.
void formerLife(std::uint64_t seed) {
  Chance chance(seed);
  Case day(seed);
  day.add(kFirst, PassDeed::kWhole, 4);
  PassWorkerPlan plan = workerPlan(PassDeed::kWhole);
  plan.life = "i-2";
  day.startWorker(kFirst, "a", plan);
  Asked& early = day.come(RouteKind::kWhole);
  day.world.runUntil(static_cast<Us>(chance.below(2 * kMilliUs)));
  day.list({kFirst, "p", "a", 4, false, "i-2"});
  day.world.runUntil(5 * kSecondUs);
  Asked& late = day.come(RouteKind::kWhole);
  day.world.runUntil(20 * kSecondUs);
  RC_ASSERT(early.answer->status == 200 || early.answer->status == 503);
  RC_ASSERT(late.answer->status == 200);
}

// A worker's own final failure is given as it came: status, head and all its bytes.
void failuresAsTheyCame(std::uint64_t seed) {
  Case day(seed);
  day.add(kFirst, PassDeed::kFail, 4);
  Asked& caller = day.come(RouteKind::kWhole);
  day.world.runUntil(20 * kSecondUs);
  RC_ASSERT(caller.answer->status == 500);
  RC_ASSERT(caller.answer->body == passBody(0, false));
  RC_ASSERT(caller.answer->headers.at(platform::kSeal) == passSeal(0));
}
void declinedAsItCame() {
  Case day(1);
  day.add(kFirst, PassDeed::kDecline, 4);
  Asked& caller = day.come(RouteKind::kWhole);
  day.world.runUntil(20 * kSecondUs);
  RC_ASSERT(caller.answer->status == 422);
  RC_ASSERT(caller.answer->body == passBody(0, false));
}
// A failure of any length: either all of its bytes or none that look complete.
void longFailure() {
  Case day(1);
  day.add(kFirst, PassDeed::kBigFail, 4);
  Asked& caller = day.come(RouteKind::kWhole);
  day.world.runUntil(20 * kSecondUs);
  RC_ASSERT(caller.answer->status != 500 || caller.answer->state != Answer::State::kWhole ||
            caller.answer->body == passBody(0, true));
}

// Whoever is here when the node is told to leave gets a whole answer.
void drained(std::uint64_t seed) {
  Case day(seed);
  day.add(kFirst, PassDeed::kWhole, 1);
  for (int i = 0; i < 5; ++i) day.come(i % 2 == 0 ? RouteKind::kWhole : RouteKind::kStream);
  day.world.runUntil(10 * kMilliUs);
  day.gateway.drain();
  day.world.runUntil(20 * kSecondUs);
  for (const auto& caller : day.asked) {
    RC_ASSERT(caller->answer->state == Answer::State::kWhole);
    RC_ASSERT(caller->answer->status == 200);
  }
}

// Nobody is there: refused at the end of the hold, not before and not later; who is listed meanwhile serves.
void emptyPool(std::uint64_t seed) {
  Chance chance(seed);
  Case day(seed, 150 * kMilliUs);
  Asked& caller = day.come(RouteKind::kWhole);
  const bool listed = chance.oneIn(2);
  day.world.runUntil(static_cast<Us>(chance.below(149)) * kMilliUs);
  if (listed) day.add(kFirst, PassDeed::kWhole, 1);
  day.world.runUntil(20 * kSecondUs);
  RC_ASSERT(caller.answer->status == (listed ? 200 : 503));
  RC_ASSERT(listed || caller.answer->overUs == 150 * kMilliUs);
}
}  // namespace

int main() {
  bool well = rc::check("by rank", byRank);
  well &= rc::check("room by time", roomByTime);
  well &= rc::check("nobody reads", nobodyReads);
  well &= rc::check("former life", formerLife);
  well &= rc::check("failures as they came", failuresAsTheyCame);
  well &= rc::check("declined as it came", declinedAsItCame);
  well &= rc::check("long failure", longFailure);
  well &= rc::check("drained", drained);
  well &= rc::check("empty pool", emptyPool);
  return well ? 0 : 1;
}
