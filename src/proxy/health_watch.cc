#include "proxy/health_watch.h"

#include "config/json.h"

namespace stonemount {

namespace {
constexpr Us kEveryUs = 300 * kMilliUs;
constexpr Us kLimitUs = 500 * kMilliUs;

std::optional<HealthReport> readReport(const Bytes& body) {
  JsonVerdict read = parseJson(body);
  auto* document = std::get_if<JsonDocument>(&read);
  if (document == nullptr || !document->IsObject()) return std::nullopt;
  HealthReport report;
  report.load = static_cast<std::uint32_t>(jsonNumber(*document, "load", 0));
  report.slots = static_cast<std::uint32_t>(jsonNumber(*document, "slots", 1));
  report.bear = static_cast<std::uint32_t>(jsonNumber(*document, "bear", report.slots));
  report.leaving = jsonFlag(*document, "leaving");
  if (document->HasMember("adapters") && (*document)["adapters"].IsArray())
    for (const JsonValue& adapter : (*document)["adapters"].GetArray())
      if (adapter.IsString()) report.adapters.push_back(adapter.GetString());
  return report;
}
}  // namespace

void HealthWatch::relist() {
  for (const auto& [address, sight] : board_.sights()) {
    const bool fresh = board_.listed(address) && watched_.insert(address).second;
    if (fresh) room_.start(watch(address));
  }
}

Task HealthWatch::watch(Address worker) {
  while (board_.listed(worker)) {
    HttpAsk ask;
    ask.method = "GET";
    ask.path = "/fitness";
    const Us askedUs = ports_.clock.monoUs();
    HttpCall call(ports_, worker, ask, kLimitUs);
    const HttpVerdict verdict = co_await call;
    if (auto* whole = std::get_if<HttpWhole>(&verdict)) {
      std::optional<HealthReport> report = whole->status == 200 ? readReport(whole->body) : std::nullopt;
      if (report) board_.report(worker, std::move(*report), askedUs);
    }
    if (std::holds_alternative<HttpFailed>(verdict)) board_.reportLost(worker);
    Pause pause(ports_.timers, kEveryUs + static_cast<Us>(ports_.chance.below(100)) * kMilliUs);
    co_await pause;
  }
  watched_.erase(worker);
}

}  // namespace stonemount
