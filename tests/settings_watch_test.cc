// The settings file of a running process: new seeds are taken at SIGHUP and without one, nothing else is, and a
// file that is half written or gone changes nothing (docs/platform.md, "On the machines").
#include "cli/settings_watch.h"

#include <absl/strings/str_cat.h>

#include <csignal>
#include <cstdio>
#include <fstream>

#include "platform/settings.h"
#include "scratch_folder.h"

using namespace stonemount;

namespace {
int passed = 0, failed = 0;

void expect(bool well, const char* what) {
  ++(well ? passed : failed);
  if (!well) std::printf("FAILED %s\n", what);
}

struct Stop : public Continuation {
  explicit Stop(Loop& given) : loop(given) {}
  void proceed() override { loop.stop(); }
  Loop& loop;
};

struct Watched {
  Watched() {
    write({"10.0.0.1:8146"});
    watch.emplace(
        loop, path, [](const std::string& text) { return platform::readBootFile(text, SettingsFor::kNode); },
        std::vector<Address>{seed("10.0.0.1")});
    watch->seedsChanged.connect(sigc::mem_fun(*this, &Watched::note));
  }
  static Address seed(const char* ip) { return std::get<Address>(parseAddress(absl::StrCat(ip, ":7660"))); }
  void note(const std::vector<Address>& given) {
    ++times;
    seeds = given;
  }
  void put(const std::string& text) const { std::ofstream(path) << text; }
  void write(const std::vector<std::string>& given) const {
    std::string list;
    for (const std::string& one : given) absl::StrAppend(&list, list.empty() ? "" : ",", "\"", one, "\"");
    put(absl::StrCat(R"({"Node":"n","Ip":"10.0.0.9","Zone":"z","InternalPorts":[7660,7675],"Seeds":[)", list, "]}"));
  }
  void run(Us lengthUs) {
    Stop stop(loop);
    loop.arm(lengthUs, stop);
    loop.run();
    loop.disarm(stop);
  }
  Loop loop;
  ScratchFolder folder;
  std::string path = folder.path() + "/settings.json";
  std::optional<SettingsWatch> watch;
  int times = 0;
  std::vector<Address> seeds;
};

void bySignal() {
  Watched watched;
  raise(SIGHUP);
  watched.run(100 * kMilliUs);
  expect(watched.times == 0, "a signal alone changes nothing");
  watched.write({"10.0.0.1:8146", "10.0.0.2:8146"});
  raise(SIGHUP);
  watched.run(100 * kMilliUs);
  expect(watched.times == 1, "new seeds are taken at the signal");
  expect(watched.seeds == std::vector<Address>({Watched::seed("10.0.0.1"), Watched::seed("10.0.0.2")}),
         "as the file names them, at the port between processes");
}

void withoutSignal() {
  Watched watched;
  watched.write({"10.0.0.3:8146"});
  watched.run(SettingsWatch::kLookUs + 500 * kMilliUs);
  expect(watched.times == 1 && watched.seeds == std::vector<Address>{Watched::seed("10.0.0.3")},
         "and without a signal soon");
}

void halfWritten() {
  Watched watched;
  watched.put(R"({"Ip":"10.0.0.9","Zone":"z","Seeds":["10.)");
  raise(SIGHUP);
  watched.run(100 * kMilliUs);
  watched.write({"not an address"});
  raise(SIGHUP);
  watched.run(100 * kMilliUs);
  std::remove(watched.path.c_str());
  raise(SIGHUP);
  watched.run(100 * kMilliUs);
  expect(watched.times == 0, "what cannot be read or understood changes nothing");
  watched.write({"10.0.0.4:8146"});
  raise(SIGHUP);
  watched.run(100 * kMilliUs);
  expect(watched.times == 1, "and is read once it is whole again");
}
}  // namespace

int main() {
  bySignal();
  withoutSignal();
  halfWritten();
  std::printf("settings_watch_test: %d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
