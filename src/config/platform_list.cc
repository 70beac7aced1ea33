#include "config/platform_list.h"

#include "config/json.h"
#include "runtime/http_call.h"

namespace stonemount {

namespace {
constexpr Us kLimitUs = kSecondUs;
}

const char* listTroubleText(ListTrouble trouble) {
  switch (trouble) {
    case ListTrouble::kUnreachable:
      return "unreachable";
    case ListTrouble::kBusy:
      return "busy";
    case ListTrouble::kUnreadable:
      return "unreadable";
  }
  return "unknown";
}

Job<WorkerListVerdict> PlatformListSource::fetch() {
  HttpAsk ask;
  ask.method = "GET";
  ask.path = "/platform/workers";
  HttpCall call(ports_, platform_, ask, kLimitUs);
  const HttpVerdict verdict = co_await call;
  auto* whole = std::get_if<HttpWhole>(&verdict);
  if (whole == nullptr) co_return ListTrouble::kUnreachable;
  if (whole->status == 429 || whole->status == 503) co_return ListTrouble::kBusy;
  if (whole->status != 200) co_return ListTrouble::kUnreadable;
  std::optional<PlatformList> list = readPlatformList(whole->body);
  if (!list) co_return ListTrouble::kUnreadable;
  co_return WorkerList{list->version, std::move(list->workers)};
}

std::optional<PlatformList> readPlatformList(const Bytes& body) {
  JsonVerdict read = parseJson(body);
  auto* document = std::get_if<JsonDocument>(&read);
  if (document == nullptr || !document->IsObject() || !document->HasMember("workers") ||
      !(*document)["workers"].IsArray())
    return std::nullopt;
  PlatformList list;
  list.version = static_cast<std::uint64_t>(jsonNumber(*document, "version"));
  for (const JsonValue& given : (*document)["workers"].GetArray()) {
    auto address = parseAddress(jsonString(given, "address"));
    if (!std::holds_alternative<Address>(address)) continue;
    ListedWorker worker;
    worker.address = std::get<Address>(address);
    worker.pool = jsonString(given, "pool");
    worker.zone = jsonString(given, "zone");
    worker.slots = static_cast<std::uint32_t>(std::max<std::int64_t>(1, jsonNumber(given, "slots", 1)));
    worker.leaving = jsonFlag(given, "leaving");
    list.workers.push_back(worker);
  }
  return list;
}

}  // namespace stonemount
