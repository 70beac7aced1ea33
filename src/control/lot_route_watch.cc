#include "control/lot_route_watch.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

namespace {
constexpr Us kLookUs = kSecondUs;
constexpr Us kStoreUs = 1500 * kMilliUs;
}  // namespace

void LotRouteWatch::begin(std::function<bool()> onDuty) {
  onDuty_ = std::move(onDuty);
  room_.start(watch());
}

Task LotRouteWatch::watch() {
  while (true) {
    Pause pause(ports_.timers, kLookUs);
    co_await pause;
    // Who knows no configuration yet cannot tell what has no route.
    if (!onDuty_() || control_.configRevision() == 0) continue;
    Job<Done> looking = look();
    co_await looking;
  }
}

LotRoutesAsk LotRouteWatch::currentRoutes() {
  lotRoutes_.refresh();
  LotRoutesAsk routes;
  routes.nestedOthers = lotRoutes_.nestedOthers();
  for (const std::string& name : lotRoutes_.names()) {
    auto found = control_.routes().find(name);
    if (found == control_.routes().end()) continue;
    const Route& route = found->second;
    routes.routes.push_back({scopeOf(route), route.retentionUs, route.attempts});
  }
  return routes;
}

// The store is told only where something has no route, or had none before, or where a route allows more than before.
Job<Done> LotRouteWatch::look() {
  const LotRoutesAsk routes = currentRoutes();
  Job<ChainAnswer> asking = store_.read(pack(StoreQuery(routes)), 0, kStoreUs);
  ChainAnswer answer = co_await asking;
  if (!std::holds_alternative<Bytes>(answer)) co_return Done{};
  auto read = unpack<LotRoutesVerdict>(std::get<Bytes>(answer));
  auto* verdict = std::get_if<LotRoutesVerdict>(&read);
  if (verdict == nullptr) co_return Done{};
  if (verdict->termsGrew) {
    Job<Done> raising = tell(RaiseLotTerms{routes.routes, routes.nestedOthers});
    co_await raising;
  }
  if (verdict->unrouted.empty() && !verdict->reportedBefore) co_return Done{};
  logEvent("lots_without_route", {{"locations", absl::StrCat(verdict->unrouted.size())},
                                  {"config", absl::StrCat(control_.configRevision())}});
  Job<Done> reporting = tell(ReportUnrouted{verdict->unrouted, false});
  co_await reporting;
  co_return Done{};
}

// What does not reach the store is worked out anew at the next look.
Job<Done> LotRouteWatch::tell(StoreCommand command) {
  Job<ChainAnswer> telling = store_.submit(pack(command), kStoreUs);
  co_await telling;
  co_return Done{};
}

}  // namespace stonemount
