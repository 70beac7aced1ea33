// Requests that are passed through to workers that do all that workers may do, well and badly, while they are
// listed, drained, evacuated, crash and give their addresses to others (design.md 9.6, docs/platform.md).
#include <algorithm>
#include <cstdio>

#include "gateway_judge.h"

using namespace stonemount;

namespace {
constexpr std::uint64_t kEvents = 5;
constexpr Us kDayUs = 2 * kSecondUs;
constexpr std::size_t kWorkers = 5;
using Deeds = std::vector<std::pair<PassDeed, std::uint32_t>>;

Route routeOf(const char* name, RouteKind kind) {
  Route route;
  route.name = name;
  route.kind = kind;
  route.pool = "p";
  route.limitUs = 2 * kSecondUs;
  return route;
}

LiveRequest requestFor(const Route& route, const std::string& exchange) {
  LiveRequest request;
  request.route = route;
  request.exchange = exchange;
  request.ask.method = "POST";
  request.ask.path = route.kind == RouteKind::kStream ? "/stream/" + route.name : "/" + route.name;
  request.ask.target = request.ask.path + "?q=%20" + exchange;
  request.ask.headers = {{platform::kAttempt, exchange}, {"host", "h.example"}, {"model", "m"}};
  request.ask.body = "body of " + exchange;
  return request;
}

// Calm: nothing is changed; crowded: little is held; frozen: the node stands still now and then, all else goes on.
enum class DayKind : std::uint8_t { kAny, kCalm, kCrowded, kFrozen };

// A day of anything: who does what and when follows from the seed.
class AnyDay {
 public:
  AnyDay(std::uint64_t seed, Deeds odd, DayKind kind)
      : chance_(seed * 7919 + 1),
        rig_(seed, planOf(chance_, kind == DayKind::kCrowded)),
        checker_(rig_, kEvents),
        quiet_(kind == DayKind::kCalm),
        freezes_(kind == DayKind::kFrozen) {
    Deeds deeds{{PassDeed::kWhole, 6}};
    for (const auto& [deed, weight] : odd)
      if (chance_.oneIn(2)) deeds.emplace_back(deed, weight);
    plan_.deeds = deeds;
    plan_.events = kEvents;
    plan_.queueUs = static_cast<Us>(chance_.below(40)) * kMilliUs;
    plan_.slots = static_cast<std::uint32_t>(chance_.below(6));
    plan_.tellsLoad = chance_.oneIn(2);
    plan_.oddsGoesOn = chance_.oneIn(2) ? 3 : 0;
    for (const char* name : {"p", "q"}) {
      Pool pool;
      pool.name = name;
      rig_.control.putPool(pool);
    }
    for (std::size_t i = 0; i < kWorkers; ++i) start(i, i == 4 ? "q" : "p", true);
    routes_ = {routeOf("whole", RouteKind::kWhole), routeOf("lookup", RouteKind::kLookup),
               routeOf("once", RouteKind::kStream), routeOf("goeson", RouteKind::kStream)};
    routes_[3].resumable = true;
    for (Route& route : routes_) {
      route.attempts = static_cast<std::uint32_t>(chance_.below(4));
      route.targetUs = chance_.oneIn(2) ? 0 : static_cast<Us>(200 + chance_.below(800)) * kMilliUs;
      if (chance_.oneIn(4)) route.shares = {{"p", 3}, {"q", 1}};
      if (chance_.oneIn(4)) route.shares = {{"p", 2}, {"q", 0}};
    }
  }
  const std::vector<std::string>& play() {
    const std::size_t count = 60 + chance_.below(60);
    std::vector<Us> comingUs;
    for (std::size_t i = 0; i < count; ++i) comingUs.push_back(static_cast<Us>(chance_.below(kDayUs)));
    std::sort(comingUs.begin(), comingUs.end());
    for (const Us atUs : comingUs) {
      rig_.world.runUntil(atUs);
      if (freezes_ && standsStill()) continue;
      if (chance_.oneIn(15) && !quiet_) operate();
      if (chance_.oneIn(6) && !rig_.asked.empty())
        rig_.leave(*rig_.asked[rig_.asked.size() - 1 - chance_.below(std::min<std::size_t>(8, rig_.asked.size()))]);
      ask();
    }
    rig_.world.runUntil(kDayUs + 5 * kSecondUs);
    return checker_.judge();
  }
  GatewayJudge& judge() { return checker_; }

 private:
  static GatewayPlan planOf(Chance& chance, bool crowded) {
    GatewayPlan plan;
    plan.holdUs = static_cast<Us>(20 + chance.below(200)) * kMilliUs;
    if (crowded && chance.oneIn(2)) plan.relayBound = 4 + chance.below(8);
    if (crowded) plan.holdBound = chance.below(4);
    return plan;
  }
  static Address addressOf(std::size_t place) { return {0x0a000001u + static_cast<std::uint32_t>(place), 8080}; }
  void start(std::size_t place, const char* pool, bool listed) {
    plan_.pool = pool;
    plan_.life = "i-" + std::to_string(++lives_);
    const std::string zone = place % 2 == 0 ? "a" : "b";
    rig_.startWorker(addressOf(place), zone, plan_);
    if (!listed) return;
    if (!rig_.control.evacuated(zone)) checker_.unbar(addressOf(place));
    rig_.list({addressOf(place), pool, zone, 1 + static_cast<std::uint32_t>(chance_.below(6)), false, plan_.life});
  }
  // True: it is frozen, and takes nothing in; workers end and lose their addresses meanwhile.
  bool standsStill() {
    if (rig_.node.frozen()) {
      const std::size_t place = chance_.below(kWorkers);
      if (chance_.oneIn(6)) start(place, chance_.oneIn(3) ? "q" : "p", false);
      if (chance_.oneIn(12)) rig_.stopWorker(addressOf(place));
      return true;
    }
    if (!chance_.oneIn(12)) return false;
    const Us lengthUs = static_cast<Us>(20 + chance_.below(400)) * kMilliUs;
    rig_.node.frozenUntilUs = rig_.world.nowUs() + lengthUs;
    checker_.slackUs += lengthUs;
    return true;
  }
  void operate() {
    const std::size_t place = chance_.below(kWorkers);
    const Address address = addressOf(place);
    auto found = rig_.control.workers().find(address);
    switch (chance_.below(6)) {
      case 0:
        return start(place, chance_.oneIn(3) ? "q" : "p", true);  // a new life, and known at once
      case 1:
        return start(place, chance_.oneIn(3) ? "q" : "p", false);  // somebody else, and nobody knows
      case 2:
        return rig_.stopWorker(address);
      case 3:
        rig_.control.bump();
        rig_.control.removeWorker(address);
        rig_.board.relist();
        return checker_.bar(address);
      case 4:
        if (found == rig_.control.workers().end()) return;
        checker_.bar(address);
        return leaveList(found->second);
      case 5:
        return setZone(chance_.oneIn(2) ? "a" : "b");
    }
  }
  void leaveList(ListedWorker worker) {
    worker.leaving = true;
    rig_.list(worker);
  }
  void setZone(const std::string& zone) {
    const bool evacuates = !rig_.control.evacuated(zone);
    rig_.control.bump();
    rig_.control.setZone(zone, evacuates);
    rig_.board.relist();
    for (std::size_t i = zone == "a" ? 0 : 1; i < kWorkers; i += 2) {
      auto found = rig_.control.workers().find(addressOf(i));
      if (evacuates)
        checker_.bar(addressOf(i));
      else if (found != rig_.control.workers().end() && !found->second.leaving)
        checker_.unbar(addressOf(i));
    }
  }
  void ask() {
    const bool item = chance_.oneIn(5);
    Route route = item ? routes_[3] : routes_[chance_.below(routes_.size())];
    route.precedence = static_cast<std::uint32_t>(chance_.below(3));
    if (item) route.shares.clear();
    LiveRequest request = requestFor(route, "x" + std::to_string(rig_.asked.size()) + "-" + hexText(chance_.next()));
    if (chance_.oneIn(2) || item) request.limitUs = static_cast<Us>(20 + chance_.below(1500)) * kMilliUs;
    request.spot = chance_.below(3);
    if (route.resumable && chance_.oneIn(4)) request.lastEvent = chance_.below(kEvents + 1);
    item ? rig_.enterItem(std::move(request)) : rig_.enter(std::move(request));
  }
  Chance chance_;
  GatewayRig rig_;
  GatewayJudge checker_;
  bool quiet_, freezes_;
  PassWorkerPlan plan_;
  std::vector<Route> routes_;
  std::uint64_t lives_ = 0;
};

const Deeds kOdd{{PassDeed::kBig, 1},
                 {PassDeed::kRefuse, 3},
                 {PassDeed::kBareRefusal, 1},
                 {PassDeed::kFail, 2},
                 {PassDeed::kDecline, 1},
                 {PassDeed::kUnsealed, 1},
                 {PassDeed::kForeign, 1},
                 {PassDeed::kSilent, 1},
                 {PassDeed::kSilentInside, 1},
                 {PassDeed::kBreakBeforeHead, 1},
                 {PassDeed::kBreakAfterHead, 1},
                 {PassDeed::kBreakInside, 2},
                 {PassDeed::kBreakBetween, 2},
                 {PassDeed::kEndInside, 1},
                 {PassDeed::kGap, 1},
                 {PassDeed::kRepeat, 1},
                 {PassDeed::kDeaf, 2}};

struct Sum {
  std::uint64_t whole = 0, refused = 0, broken = 0, resumed = 0, lapsed = 0, failed = 0;
};

bool days(const char* name, const Deeds& odd, DayKind kind, std::uint64_t seeds, Sum& sum) {
  int failed = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    AnyDay day(seed, odd, kind);
    const std::vector<std::string>& faults = day.play();
    for (const std::string& fault : faults)
      std::printf("%s seed=%d fault: %s\n", name, static_cast<int>(seed), fault.c_str());
    failed += faults.empty() ? 0 : 1;
    const GatewayJudge& judge = day.judge();
    sum.whole += judge.countWhole, sum.refused += judge.countRefused, sum.broken += judge.countBroken;
    sum.resumed += judge.countResumed, sum.lapsed += judge.countLapsed, sum.failed += judge.countFailed;
  }
  std::printf("%s: %d of %d days failed\n", name, failed, static_cast<int>(seeds));
  return failed == 0;
}
}  // namespace

int main() {
  Sum sum;
  bool well = days("any_day", kOdd, DayKind::kAny, 300, sum);
  well &= days("calm_day", kOdd, DayKind::kCalm, 150, sum);
  well &= days("crowded_day", kOdd, DayKind::kCrowded, 50, sum);
  Deeds bodies = kOdd;  // where events were asked for
  bodies.insert(bodies.end(), {{PassDeed::kBodyForEvents, 3}, {PassDeed::kBigForEvents, 2}});
  well &= days("frozen_day", kOdd, DayKind::kFrozen, 200, sum);
  well &= days("bodies_day", bodies, DayKind::kCalm, 150, sum);
  std::printf("whole=%d refused=%d broken=%d resumed=%d lapsed=%d failed=%d\n", static_cast<int>(sum.whole),
              static_cast<int>(sum.refused), static_cast<int>(sum.broken), static_cast<int>(sum.resumed),
              static_cast<int>(sum.lapsed), static_cast<int>(sum.failed));
  // All of it did happen, and work went on.
  well &= sum.whole > 8000 && sum.refused > 2000 && sum.broken > 2000 && sum.resumed > 250 && sum.lapsed > 400 &&
          sum.failed > 400;
  return well ? 0 : 1;
}
