#include "config/settings.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

namespace stonemount {

namespace {
constexpr char kSchema[] = R"({
  "type": "object",
  "additionalProperties": false,
  "properties": {
    "wire": {"type": "string"},
    "http": {"type": "string"},
    "zone": {"type": "string", "pattern": "^[a-z0-9][a-z0-9-]*$", "maxLength": 40},
    "seeds": {"type": "array", "items": {"type": "string"}, "maxItems": 8},
    "founders": {"type": "array", "items": {"type": "string"}, "maxItems": 9},
    "data": {"type": "string"},
    "platform": {"type": "string"},
    "ringFiles": {"type": "integer", "minimum": 4, "maximum": 1024},
    "ringFileBytes": {"type": "integer", "minimum": 65536, "maximum": 1073741824},
    "memoryBytes": {"type": "integer", "minimum": 16777216}
  }
})";

using Fault = std::optional<SettingsFault>;

Fault readAddress(const std::string& key, const std::string& text, Address& out) {
  auto parsed = parseAddress(text);
  if (std::holds_alternative<BadAddress>(parsed))
    return SettingsFault{key, "'" + text + "' is not an IP number and a port, as 127.0.0.1:7001"};
  out = std::get<Address>(parsed);
  return std::nullopt;
}

Fault readAddresses(const std::string& key, const std::vector<std::string>& texts, std::vector<Address>& out) {
  out.clear();
  for (const std::string& text : texts) {
    Address address;
    if (Fault fault = readAddress(key, text, address)) return fault;
    out.push_back(address);
  }
  return std::nullopt;
}

Fault putFlag(Settings& settings, const std::string& key, const std::string& value) {
  if (key == "wire") return readAddress(key, value, settings.wire);
  if (key == "http") return readAddress(key, value, settings.http);
  if (key == "platform") return readAddress(key, value, settings.platform);
  const std::vector<std::string> parts = absl::StrSplit(value, ',', absl::SkipEmpty());
  if (key == "seeds") return readAddresses(key, parts, settings.seeds);
  if (key == "founders") return readAddresses(key, parts, settings.founders);
  if (key == "zone")
    settings.zone = value;
  else if (key == "data")
    settings.data = value;
  else if (key == "ringFiles" || key == "ringFileBytes") {
    std::int64_t number = 0;
    if (!absl::SimpleAtoi(value, &number) || number < 4) return SettingsFault{key, "is not a number of 4 or more"};
    (key == "ringFiles" ? settings.ringFiles : settings.ringFileBytes) = number;
  } else if (key == "memoryBytes") {
    if (!absl::SimpleAtoi(value, &settings.memoryBytes) || settings.memoryBytes < 0)
      return SettingsFault{key, "is not a number of bytes"};
  } else {
    return SettingsFault{key, "is not a known key"};
  }
  return std::nullopt;
}

Fault readFile(const std::string& text, Settings& settings) {
  JsonVerdict read = parseJson(text);
  if (auto* bad = std::get_if<BadJson>(&read))
    return SettingsFault{"(file)", "is not JSON, at byte " + std::to_string(bad->offset)};
  const JsonDocument& document = std::get<JsonDocument>(read);
  if (std::optional<SchemaFault> fault = checkSchema(kSchema, document))
    return SettingsFault{fault->field.substr(fault->field.size() > 1 ? 1 : 0), "breaks the rule " + fault->keyword};
  for (const auto& member : document.GetObject()) {
    const std::string key = member.name.GetString();
    std::string value;
    if (member.value.IsString()) value = member.value.GetString();
    if (member.value.IsInt64()) value = std::to_string(member.value.GetInt64());
    if (member.value.IsArray())
      for (const JsonValue& element : member.value.GetArray()) value += std::string(element.GetString()) + ",";
    if (Fault fault = putFlag(settings, key, value)) return fault;
  }
  return std::nullopt;
}

// A store needs a folder. A core without one stands by: it is no founder, and the founders are whom it asks.
Fault checkFolder(Settings& settings, SettingsFor role) {
  if (role == SettingsFor::kNode || !settings.data.empty()) return std::nullopt;
  if (role == SettingsFor::kStore) return SettingsFault{"data", "is missing"};
  for (const Address& founder : settings.founders)
    if (founder == settings.wire) return SettingsFault{"data", "is missing, and this process is among the founders"};
  settings.seeds.insert(settings.seeds.end(), settings.founders.begin(), settings.founders.end());
  settings.founders.clear();
  return std::nullopt;
}
}  // namespace

SettingsVerdict readSettings(const std::string& fileText, const HeaderMap& flags, SettingsFor role) {
  Settings settings;
  if (!fileText.empty())
    if (Fault fault = readFile(fileText, settings)) return *fault;
  for (const auto& [key, value] : flags)
    if (Fault fault = putFlag(settings, key, value)) return *fault;
  if (!settings.wire.set()) return SettingsFault{"wire", "is missing"};
  if (!settings.http.set()) return SettingsFault{"http", "is missing"};
  if (settings.wire == settings.http) return SettingsFault{"http", "is the same address as wire"};
  if (settings.zone.empty()) return SettingsFault{"zone", "is missing"};
  if (settings.seeds.empty() && settings.founders.empty()) return SettingsFault{"seeds", "is empty"};
  if (Fault fault = checkFolder(settings, role)) return *fault;
  return settings;
}

}  // namespace stonemount
