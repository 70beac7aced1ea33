#include "cli/settings_watch.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <sstream>

namespace stonemount {

SettingsWatch::SettingsWatch(Loop& loop, std::string path, Reader read, std::vector<Address> seeds)
    : loop_(loop), path_(std::move(path)), read_(std::move(read)), seeds_(std::move(seeds)) {
  loop_.hangup = this;
  loop_.arm(kLookUs, *this);
}

SettingsWatch::~SettingsWatch() {
  loop_.hangup = nullptr;
  loop_.disarm(*this);
}

void SettingsWatch::proceed() {
  loop_.disarm(*this);  // it may be SIGHUP that calls
  readAnew();
  loop_.arm(kLookUs, *this);
}

void SettingsWatch::readAnew() {
  std::ifstream file(path_, std::ios::binary);
  std::ostringstream text;
  if (file) text << file.rdbuf();
  if (!file || text.view() == lastText_) return;
  lastText_ = text.str();
  SettingsVerdict verdict = read_(lastText_);
  if (auto* fault = std::get_if<SettingsFault>(&verdict)) {
    logDoubt("settings_not_taken", {{"key", fault->key}, {"why", fault->why}});
    return;
  }
  std::vector<Address>& seeds = std::get<Settings>(verdict).seeds;
  if (seeds == seeds_) return;
  seeds_ = std::move(seeds);
  logEvent("seeds_changed", {{"seeds", absl::StrCat(seeds_.size())}});
  seedsChanged.emit(seeds_);
}

}  // namespace stonemount
