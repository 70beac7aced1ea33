// Lots that are under way while the configuration changes: routes renamed, moved, exchanged, taken away and put back.
// Guards against taking a route's name for the place that a lot was handed in at (incident 32): its items waited for a
// name that had gone (LOST), or ran at a service to which no configuration sent them (ROUTE).
// LOT_ROUTE_SEEDS=FIRST,COUNT for others.
#include "control/lot_route_watch.h"
#include "given_seeds.h"
#include "lots_reading.h"

using namespace stonemount;

namespace {
constexpr int kItems = 120;
constexpr Us kRouteEndUs = 6 * kSecondUs;

Route lotRoute(const std::string& name, const std::string& prefix, const std::string& pool) {
  Route route;
  route.name = name;
  route.host = "h.example";
  route.prefix = prefix;
  route.pool = pool;
  route.lots = true;
  route.completionUs = 12 * kSecondUs;
  route.retentionUs = 60 * kSecondUs;
  route.attempts = 3;
  return route;
}
Route otherRoute(const std::string& name, const std::string& prefix, const std::string& pool) {
  Route route = lotRoute(name, prefix, pool);
  route.lots = false;
  return route;
}

// What the pages say, read plainly: the longest prefix that begins the path.
const Route* plainRouteFor(const ControlState& control, const std::string& path) {
  const Route* longest = nullptr;
  for (const auto& [name, route] : control.routes())
    if (path.compare(0, route.prefix.size(), route.prefix) == 0 &&
        (longest == nullptr || route.prefix.size() > longest->prefix.size()))
      longest = &route;
  return longest;
}

class ChangingRoutes {
 public:
  explicit ChangingRoutes(std::uint64_t seed) : rig(seed, 3), chance_(seed), what_(absl::StrCat("seed ", seed)) {
    rig.log.mayGo = [this](const PassOrder& order) { return maySend(order); };
    for (auto& node : rig.nodes) {
      node->workers.places = 6;
      node->workers.oddsBroken = seed % 2 == 0 ? 6 : 0;
    }
    change({lotRoute("r-first", "/bulk/", "models"), lotRoute("r-side", "/side/", "others")});
  }
  // A whole configuration, as an operator puts it.
  void change(const std::vector<Route>& routes) {
    rig.control.bump();
    std::vector<std::string> names;
    for (const auto& [name, route] : rig.control.routes()) names.push_back(name);
    for (const std::string& name : names) rig.control.removeRoute(name);
    for (const Route& route : routes) rig.control.putRoute(route);
  }
  // One change of those that operators make; the path of the lot has a route after it.
  void changeSomehow() {
    const std::string name = absl::StrCat("r-", ++changes_);
    const std::string pool = chance_.oneIn(3) ? "others" : "models";
    switch (chance_.below(6)) {
      case 0:  // another name at the same place
        return change({lotRoute(name, "/bulk/", pool), lotRoute("r-side", "/side/", "others")});
      case 1:  // its name goes to another place before another service
        return change({lotRoute("r-first", "/side/", "others"), lotRoute(name, "/bulk/", "models")});
      case 2:  // names exchanged
        return change({lotRoute("r-side", "/bulk/", "models"), lotRoute("r-first", "/side/", "others")});
      case 3:  // another name and a shorter prefix
        return change({lotRoute(name, "/", pool), lotRoute("r-side", "/side/", "others")});
      case 4:  // nested places, whose routes take no lots or belong to others
        return change({lotRoute(name, "/", "others"), lotRoute("r-first", "/bulk/", "models"),
                       otherRoute("r-page", "/bulk/page/", "others")});
      default:  // gone, and back under another name
        change({lotRoute("r-side", "/side/", "others")});
        rig.fleet.run(static_cast<Us>(chance_.below(3000)) * kMilliUs);
        return change({lotRoute(name, "/bulk/", pool), lotRoute("r-side", "/side/", "others")});
    }
  }
  bool maySend(const PassOrder& order) {
    const Route* route = plainRouteFor(rig.control, order.ask.path);
    const bool may = route != nullptr && route->lots && route->pool == order.pool;
    LotsRig::expect(may, absl::StrCat("ROUTE, ", what_, ": ", order.ask.path, " ran at ", order.pool));
    return may;
  }
  std::vector<Result> read(std::size_t items) {
    std::vector<Result> results;
    LotsRig::expect(readAll(rig, 1, "a", results, items), what_ + ": it is read");
    return results;
  }
  LotsRig rig;
  Chance& chance() { return chance_; }
  const std::string& what() const { return what_; }

 private:
  Chance chance_;
  std::string what_;
  std::uint64_t changes_ = 0;
};

std::vector<std::string> itemsOfLot() {
  std::vector<std::string> items;
  for (int i = 0; i < kItems; ++i) items.push_back(absl::StrCat("a-", i));
  return items;
}

std::size_t countOf(const std::vector<Result>& results, const std::string& state) {
  return static_cast<std::size_t>(
      std::count_if(results.begin(), results.end(), [&state](const Result& one) { return one.state == state; }));
}

// LOST and ROUTE: through any series of changes that leave its path a route, all of an accepted lot is done there.
void anyChanges(std::uint64_t seed) {
  ChangingRoutes play(seed);
  const std::vector<std::string> items = itemsOfLot();
  LotsRig::expect(play.rig.submit(0, "a", items)->status == 202, "a lot is taken");
  for (std::uint64_t left = 1 + play.chance().below(4); left > 0; --left) {
    play.rig.fleet.run(static_cast<Us>(100 + play.chance().below(700)) * kMilliUs);
    play.changeSomehow();
  }
  play.rig.fleet.run(20 * kSecondUs);
  const std::vector<Result> results = play.read(items.size());
  LotsRig::expect(countOf(results, "complete") == items.size(),
                  absl::StrCat("LOST, ", play.what(), ": ", countOf(results, "complete"), " of ", items.size()));
}

// ROUTE: an item whose own path leads elsewhere is not taken in.
void itemsElsewhere() {
  ChangingRoutes play(1);
  play.change({lotRoute("r-first", "/bulk/", "models"), otherRoute("r-page", "/page/", "others")});
  for (const char* path : {"/page/a-0", "/nowhere/a-0", "/a-0"}) {
    const Bytes body = absl::StrCat(R"({"Entries":[{"Id":"a-0","Path":")", path, R"(","Body":""}]})");
    LotsRig::expect(play.rig.ask(0, "POST", "/bulk/a", {{"attempt-id", "a"}}, body)->status == 400,
                    absl::StrCat("an item at ", path, " is refused"));
  }
  play.rig.fleet.run(2 * kSecondUs);
  LotsRig::expect(play.rig.log.items.empty(), "nothing of it runs");
}

// A lot under way whose route goes away, with a watch that tells the store.
class EndingRoute : public ChangingRoutes {
 public:
  explicit EndingRoute(std::uint64_t seed)
      : ChangingRoutes(seed),
        watch_(rig.nodes[0]->ports, rig.nodes[0]->room, rig.nodes[0]->store, rig.control),
        items_(itemsOfLot()) {
    rig.control.bumpConfig();
    watch_.begin([] { return true; });
    LotsRig::expect(rig.submit(0, "a", items_)->status == 202, "a lot is taken");
    rig.fleet.run(static_cast<Us>(200 + chance().below(600)) * kMilliUs);
  }
  void takeAway() { change({lotRoute("r-side", "/side/", "others")}); }
  void putBack() { change({lotRoute("r-again", "/bulk/", "models"), lotRoute("r-side", "/side/", "others")}); }
  void expectListed(std::size_t complete, std::size_t abandoned, const std::string& when) {
    const std::vector<Result> results = read(items_.size());
    LotsRig::expect(countOf(results, "complete") >= complete && countOf(results, "abandoned") == abandoned,
                    absl::StrCat(what(), ", ", when, ": ", countOf(results, "complete"), " complete, ",
                                 countOf(results, "abandoned"), " abandoned"));
  }
  std::size_t items() const { return items_.size(); }

 private:
  LotRouteWatch watch_;
  std::vector<std::string> items_;
};

// LOST and MIXED: where the route is gone for good, what waits is given up, and not before it has been gone for long.
void goneForGood(std::uint64_t seed) {
  EndingRoute play(seed);
  play.takeAway();
  play.rig.fleet.run(kRouteEndUs - kSecondUs);
  play.expectListed(1, 0, "gone for less than the time");
  play.rig.fleet.run(5 * kSecondUs);
  const std::vector<Result> results = play.read(play.items());
  LotsRig::expect(results.size() == play.items() && countOf(results, "abandoned") > 0,
                  absl::StrCat(play.what(), ": some stay in between, ", results.size(), " of ", play.items()));
}

// Back in time, and again: nothing is given up.
void goneAndBack(std::uint64_t seed) {
  EndingRoute play(seed);
  for (int i = 0; i < 2; ++i) {
    play.takeAway();
    play.rig.fleet.run(kRouteEndUs - 2 * kSecondUs);
    play.putBack();
    play.rig.fleet.run(1500 * kMilliUs);
  }
  play.rig.fleet.run(15 * kSecondUs);
  play.expectListed(play.items(), 0, "back in time");
}
// MIXED: what a route allows now holds for lots under way where it is more; what is less cuts no promise short.
void changedTerms(std::uint64_t seed) {
  EndingRoute play(seed);
  for (auto& node : play.rig.nodes) node->workers.places = 0;
  Route route = lotRoute("r-first", "/bulk/", "models");
  route.retentionUs = 4 * kSecondUs;
  route.attempts = 2;
  play.change({route});
  const std::vector<std::string> items = {"b-0", "b-1fails"};
  LotsRig::expect(play.rig.submit(0, "b", items)->status == 202, "a lot of short terms is taken");
  route.retentionUs = 90 * kSecondUs;
  route.attempts = 4;
  play.change({route});
  play.rig.fleet.run(2 * kSecondUs);
  route.retentionUs = kSecondUs;
  route.attempts = 1;
  play.change({route});
  play.rig.fleet.run(6 * kSecondUs);
  play.expectListed(0, 0, "kept as long as was ever allowed");
  for (auto& node : play.rig.nodes) node->workers.places = 12;
  play.rig.fleet.run(20 * kSecondUs);
  play.expectListed(play.items(), 0, "done after the shorter time");
  std::vector<Result> results;
  LotsRig::expect(readAll(play.rig, 1, "b", results, items.size()) && countOf(results, "complete") == 1 &&
                      countOf(results, "abandoned") == 1 && play.rig.log.items["b-1fails"].failures == 4,
                  absl::StrCat(play.what(), ": given up after ", play.rig.log.items["b-1fails"].failures, " failures"));
}
}  // namespace

int main() {
  itemsElsewhere();
  const Seeds seeds = givenSeeds("LOT_ROUTE_SEEDS", {1, 12});
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) {
    anyChanges(seed);
    goneForGood(seed);
    goneAndBack(seed);
    changedTerms(seed);
  }
  std::printf("%d checks passed, %d failed\n", LotsRig::passed, LotsRig::failed);
  return LotsRig::failed == 0 ? 0 : 1;
}
