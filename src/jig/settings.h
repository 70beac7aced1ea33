// Where a process learns its place: a settings file, then flags over it (design.md 10.2).
#pragma once

#include "jig/json.h"

namespace stonemount {

struct Settings {
  Address wire;
  Address http;
  std::string zone;
  std::vector<Address> seeds;
  std::vector<Address> founders;
  std::string data;
  Address platform;
  std::int64_t ringFiles = 16;
  std::int64_t ringFileBytes = 8 << 20;
};
struct SettingsFault {
  std::string key;
  std::string why;
};
using SettingsVerdict = std::variant<Settings, SettingsFault>;
enum class SettingsFor : std::uint8_t { kCore, kStore, kNode };
// Flags are given as the same keys; a value there stands over the file's.
SettingsVerdict readSettings(const std::string& fileText, const HeaderMap& flags, SettingsFor role);

}  // namespace stonemount
