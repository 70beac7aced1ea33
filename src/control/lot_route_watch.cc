#include "control/lot_route_watch.h"

#include <absl/strings/str_cat.h>

#include "store/queries.h"

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

// The store is told only where something has no route, or had none before.
Job<Done> LotRouteWatch::look() {
  lotRoutes_.refresh();
  Bytes query = pack(StoreQuery(UnroutedAsk{lotRoutes_.scopes(), lotRoutes_.nestedOthers()}));
  Job<ChainAnswer> asking = store_.read(std::move(query), 0, kStoreUs);
  ChainAnswer answer = co_await asking;
  if (!std::holds_alternative<Bytes>(answer)) co_return Done{};
  auto read = unpack<UnroutedVerdict>(std::get<Bytes>(answer));
  auto* verdict = std::get_if<UnroutedVerdict>(&read);
  if (verdict == nullptr || (verdict->locations.empty() && !verdict->reported)) co_return Done{};
  logEvent("lots_without_route", {{"locations", absl::StrCat(verdict->locations.size())},
                                  {"config", absl::StrCat(control_.configRevision())}});
  Job<ChainAnswer> reporting = store_.submit(pack(StoreCommand(ReportUnrouted{verdict->locations, false})), kStoreUs);
  co_await reporting;
  co_return Done{};
}

}  // namespace stonemount
