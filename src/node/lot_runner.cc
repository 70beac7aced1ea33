#include "node/lot_runner.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "config/lot_routes.h"
#include "proxy/pool_choice.h"

namespace stonemount {

namespace {
constexpr Us kPumpUs = 20 * kMilliUs;
constexpr Us kWatchUs = 250 * kMilliUs;
constexpr std::size_t kStartsAtOnce = 8;    // of one pool, until its room is looked at again
constexpr std::size_t kRunningForNext = 4;  // for so many at workers one more is held, to follow without a pause
constexpr Us kAgainUs = 50 * kMilliUs;
constexpr Us kMostAgainUs = kSecondUs;
constexpr Us kDueUs = 12 * kSecondUs;  // where the route does not say
constexpr Us kUnroutedUs = kSecondUs;  // that an item is held in which no route leads to workers
}  // namespace

// One item on its way: what of its text is here, and where it stands.
class LotRunner::Trip : public PassSink {
 public:
  Trip(LotRunner& runner, LotRunPtr given, Us dueUs)
      : run(std::move(given)), runner_(runner), place_(dueUs, ++runner.lastTrip_) {
    runner_.trips_.emplace(place_, this);
  }
  ~Trip() override {
    if (waits) --runner_.waiting_;
    runner_.trips_.erase(place_);
  }
  // Of a try that goes on after event n, only n + 1 and what follows without a gap may be joined on.
  void event(PassEvent&& event) override {
    heardUs = runner_.ports_.clock.monoUs();
    if (unusable || (last && event.id != *last + 1)) {
      unusable = true;
      run->knock.notify();
      return;
    }
    if (last) text += '\n';
    text += event.data;
    last = event.id;
    anyHere = true;
  }
  void head(const HttpHead&) override { heardUs = runner_.ports_.clock.monoUs(); }
  void bytes(const Bytes&) override { unusable = true; }  // no series of events
  bool left() const override { return run->over || silent || unusable; }
  Event& event() override { return run->knock; }
  void wait(bool on) {
    if (std::exchange(waits, on) == on) return;
    on ? ++runner_.waiting_ : --runner_.waiting_;
    if (on) runner_.pumpEvent_.notify();
  }
  void startAnew() {
    text.clear();
    last.reset();
    ++runner_.counts_.anew;
  }
  Us dueUs() const { return place_.first; }
  LotRunPtr run;
  std::string pool;
  Bytes text;
  std::optional<std::uint64_t> last;  // event that is in the text
  bool anyHere = false;               // an event came in this try
  bool unusable = false, silent = false;
  bool waits = false, go = false, atWorker = false;
  Us heardUs = 0, notBeforeUs = 0;
  Us unroutedSinceUs = 0;               // 0: it has a route
  Us firstLimitUs = 0, gapLimitUs = 0;  // of silence
  std::uint32_t tries = 0;
  bool began = false;

 private:
  LotRunner& runner_;
  std::pair<Us, std::uint64_t> place_;
};

const Route* LotRunner::routeOf(const LotRun& run) const { return lotRouteFor(control_, run.host, run.item.target); }

// Soon due, but not yet too late: it no longer yields to live calls.
bool LotRunner::urgent(const Trip& trip, Us nowUs) const {
  const Us lengthUs = trip.dueUs() - trip.run->takenUs;
  return nowUs < trip.dueUs() && trip.dueUs() - nowUs < lengthUs / 3;
}

// The most urgent first; those that are late only after those that are not.
void LotRunner::startWaiting(bool late) {
  const Us nowUs = ports_.clock.monoUs();
  absl::btree_map<std::string, std::size_t> places;
  for (const auto& [place, trip] : trips_) {
    if (!trip->waits || trip->go || (place.first <= nowUs) != late || trip->notBeforeUs > nowUs) continue;
    if (nowUs - trip->run->heardUs > plan_.freshUs) continue;  // its lot may have been ended: first the store is asked
    if (const Route* route = routeOf(*trip->run)) {
      trip->unroutedSinceUs = 0;
      const std::string& pool = poolFor(*route, trip->run->item.id);
      auto room = places.find(pool);
      if (room == places.end()) room = places.emplace(pool, std::min(passer_.roomForLots(pool), kStartsAtOnce)).first;
      if (room->second == 0 && !urgent(*trip, nowUs)) continue;
      if (room->second > 0) --room->second;
    } else {  // held for a little, else one whose lot has a route would be claimed again at once
      if (trip->unroutedSinceUs == 0) trip->unroutedSinceUs = nowUs;
      if (nowUs - trip->unroutedSinceUs < kUnroutedUs) continue;
    }
    trip->go = true;
    trip->run->knock.notify();
  }
}

// Of a route with several pools: what the fullest of them leaves, since each takes a fixed share of the items.
std::size_t LotRunner::roomAtWorkers(const Route& route) const {
  std::optional<std::size_t> least;
  for (const PoolShare& share : route.shares) {
    if (share.weight == 0) continue;
    const std::size_t room = passer_.roomForLots(share.pool);
    least = std::min(least.value_or(room), room);
  }
  return least ? *least : passer_.roomForLots(route.pool);
}

std::size_t LotRunner::room(const Route& route) const {
  std::size_t atWorkers = 0, held = 0;
  for (const auto& [place, trip] : trips_) {
    if (routeOf(*trip->run) != &route) continue;
    ++(trip->atWorker ? atWorkers : held);
  }
  const std::size_t most = roomAtWorkers(route) + atWorkers / kRunningForNext;
  return most - std::min(most, held);
}

// A worker that went dark says nothing. Unlike a caller's answer an item may be taken up elsewhere.
void LotRunner::endSilent() {
  const Us nowUs = ports_.clock.monoUs();
  for (const auto& [place, trip] : trips_) {
    if (!trip->atWorker || trip->silent) continue;
    if (nowUs - trip->heardUs <= (trip->anyHere ? trip->gapLimitUs : trip->firstLimitUs)) continue;
    trip->silent = true;
    ++counts_.silent;
    trip->run->knock.notify();
  }
}

Task LotRunner::pump() {
  while (true) {
    startWaiting(false);
    startWaiting(true);
    endSilent();
    EventWait hear(ports_.timers, pumpEvent_, waiting_ > 0 ? kPumpUs : trips_.empty() ? 4 * kSecondUs : kWatchUs);
    co_await hear;
  }
}

PassOrder LotRunner::orderOf(const Trip& trip, const Route& route) const {
  const Us nowUs = ports_.clock.monoUs();
  const LotItem& item = trip.run->item;
  PassOrder order;
  order.exchange = item.id;
  order.pool = trip.pool;
  order.ask.method = "POST";
  order.ask.target = item.target;
  order.ask.path = std::string(pathOf(item.target));
  for (const auto& [name, value] : item.headers) order.ask.headers[name] = value;
  order.ask.headers["host"] = trip.run->host;
  order.ask.body = item.body;
  order.spot = route.affinity ? item.spot : 0;
  order.lastEvent = trip.last;
  order.lot = true;
  order.urgent = urgent(trip, nowUs);
  order.limitUs = plan_.limitUs;
  return order;
}

Job<ItemEnding> LotRunner::carry(LotRunPtr run) {
  const Route* known = routeOf(*run);
  const Us lengthUs = known != nullptr && known->completionUs > 0 ? known->completionUs : kDueUs;
  Trip trip(*this, run, run->takenUs + lengthUs);
  trip.firstLimitUs = std::clamp<Us>(lengthUs / 3, 2 * kSecondUs, 5 * kSecondUs);
  trip.gapLimitUs = std::clamp<Us>(lengthUs / 5, 1500 * kMilliUs, 3 * kSecondUs);
  const Us grantedUs = ports_.clock.monoUs();
  times_.note(ItemStage::kGrant, std::max<Us>(0, grantedUs - run->takenUs));
  std::optional<Us> firstSentUs;
  while (true) {
    trip.wait(true);
    while (!trip.go && !run->over && !run->leaving) {
      EventWait hear(ports_.timers, run->knock, kSecondUs);
      co_await hear;
    }
    trip.wait(false);
    trip.go = false;
    const Route* route = routeOf(*run);
    const bool mayRun = !run->over && !run->leaving && route != nullptr;
    if (!mayRun || trip.tries >= plan_.mostTries) co_return ItemGivenBack{trip.began, false};
    const std::string& pool = poolFor(*route, run->item.id);
    if (trip.last && pool != trip.pool) trip.startAnew();  // other workers than those that began the text
    trip.pool = pool;
    trip.anyHere = trip.unusable = trip.silent = false;
    trip.heardUs = ports_.clock.monoUs();
    trip.atWorker = true;
    if (!firstSentUs) {
      firstSentUs = trip.heardUs;
      times_.note(ItemStage::kHold, *firstSentUs - grantedUs);
    }
    if (trip.last) ++counts_.resumed;
    ++counts_.tries;
    PassOrder order = orderOf(trip, *route);
    Job<PassEnding> passing = passer_.passItem(std::move(order), trip);
    const PassEnding ending = co_await passing;
    trip.atWorker = false;
    if (std::optional<ItemEnding> over = judge(trip, ending)) {
      times_.note(ItemStage::kWorker, ports_.clock.monoUs() - *firstSentUs);
      co_return std::move(*over);
    }
  }
}

// What became of one try. Nothing: try again.
std::optional<ItemEnding> LotRunner::judge(Trip& trip, const PassEnding& ending) {
  const Us nowUs = ports_.clock.monoUs();
  if (auto* notRun = std::get_if<PassNotRun>(&ending)) {
    ++counts_.notRun;
    trip.notBeforeUs = nowUs + std::clamp(notRun->againUs, kAgainUs, kMostAgainUs);
    return std::nullopt;
  }
  if (std::holds_alternative<PassDeclined>(ending)) {
    ++counts_.declined;
    return ItemDeclined{};
  }
  ++trip.tries;
  trip.began = true;
  auto* failed = std::get_if<PassFailed>(&ending);
  if (failed != nullptr && failed->status == 500) {
    ++counts_.failed;
    return ItemGivenBack{true, true};
  }
  // An answer without one event is not taken for an empty text.
  if (std::holds_alternative<PassWhole>(ending) && !trip.unusable && trip.last) {
    ++counts_.whole;
    return ItemWhole{std::move(trip.text)};
  }
  ++counts_.broken;
  if (trip.unusable) trip.startAnew();
  trip.notBeforeUs = nowUs + kAgainUs;
  return std::nullopt;
}

}  // namespace stonemount
