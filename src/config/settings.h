// Where a process learns its place: a settings file, then flags over it (design.md 10.2).
#pragma once

#include <set>

#include "config/json.h"

namespace stonemount {

// What the deployment promises and asks for, as far as this process has to know it.
struct Bounds {
  Us drainUs = 3 * kSecondUs;      // a leaving worker gets nothing new after this
  Us graceUs = 20 * kSecondUs;     // from the polite signal to the end
  Us syncUs = 5 * kSecondUs;       // within it a returned or new member holds everything
  Us statusUs = 120 * kSecondUs;   // a lot's results stay readable for so long after it was handed in
  Us cancelUs = 3 * kSecondUs;     // an ended lot starts nothing after this
  Us listLagUs = kSecondUs;        // by which the platform's list of workers lags behind
  std::uint32_t lostMachines = 1;  // with disks, at once
  // How strictly tenants' requests are counted: in any window no more than (rate x window + burst) x (1 + overshoot)
  // + slack.
  Us quotaWindowUs = 5 * kSecondUs;
  std::uint32_t quotaOvershootPerMille = 100;
  std::uint64_t quotaSlack = 20;
};

struct Settings {
  std::string name;                   // of the machine; empty: none
  Address front, readiness, control;  // service addresses beside `http`; unset: not served here
  bool firstStart = true;             // of the whole fleet, on empty disks: only then may chains be founded
  Bounds bounds;
  Address wire;
  Address http;
  std::string zone;
  std::set<std::string> zones;  // all that there are; empty: not told
  std::vector<Address> seeds;
  std::vector<Address> founders;
  std::string data;  // the folder on the disk; empty: none, and a core stands by (StandbyCore)
  Address platform;
  std::int64_t ringFiles = 16;
  std::int64_t ringFileBytes = 8 << 20;
  std::int64_t memoryBytes = 0;  // that the process may take; bounds the state of a chain; 0: not bounded
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
