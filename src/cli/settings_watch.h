// Watches the settings file while a process runs: a deployment changes it, with SIGHUP or without a signal.
#pragma once

#include <functional>

#include "adapters/loop.h"
#include "config/settings.h"

namespace stonemount {

// Reads the file anew at SIGHUP and every `kLookUs`. What may change in a running process are the seeds; all else
// (addresses, folders, bounds) is read at the start alone. A file that cannot be read or understood changes
// nothing. Runs on the loop's thread; the loop must outlive it.
class SettingsWatch : public Continuation {
 public:
  using Reader = std::function<SettingsVerdict(const std::string& text)>;
  SettingsWatch(Loop& loop, std::string path, Reader read, std::vector<Address> seeds);
  ~SettingsWatch() override;
  void proceed() override;  // by the loop: at SIGHUP, and when the time has come
  sigc::signal<void(const std::vector<Address>&)> seedsChanged;
  static constexpr Us kLookUs = 5 * kSecondUs;

 private:
  void readAnew();
  Loop& loop_;
  std::string path_;
  Reader read_;
  std::vector<Address> seeds_;
  std::string lastText_;
};

}  // namespace stonemount
