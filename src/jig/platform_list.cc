#include "jig/platform_list.h"

#include "jig/json.h"

namespace stonemount {

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
