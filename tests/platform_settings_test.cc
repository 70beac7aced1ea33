// The platform's settings file: what it must hold, what is skipped, what may be missing (docs/platform.md).
#include <cstdio>

#include "platform/settings.h"

using namespace stonemount;

namespace {
int passed = 0, failed = 0;
void expect(bool well, const char* what) {
  ++(well ? passed : failed);
  if (!well) std::printf("FAILED %s\n", what);
}

std::string boot(const std::string& more) {
  return R"({"Node":"edge-x-1","Ip":"10.1.0.12","Zone":"x","Zones":{"x":"r","y":"r"},"InternalPorts":[7660,7675],)"
         R"("Seeds":["10.1.0.12:8146","10.2.0.22:8146"],"BindAddresses":{"Front":"10.1.0.12:8144"})" +
         more + "}";
}
bool faulty(const std::string& text, SettingsFor role) {
  const SettingsVerdict read = platform::readBootFile(text, role);
  return std::holds_alternative<SettingsFault>(read);
}

void placesAndPorts() {
  const SettingsVerdict node =
      platform::readBootFile(boot(R"(,"InitialStart":true,"New":{"field":[1]})"), SettingsFor::kNode);
  auto* settings = std::get_if<Settings>(&node);
  expect(settings != nullptr, "a file with an unknown field is read");
  if (settings == nullptr) return;
  expect(addressText(settings->wire) == "10.1.0.12:7661" && addressText(settings->http) == "10.1.0.12:7663",
         "a node's ports");
  expect(addressText(settings->front) == "10.1.0.12:8144" && !settings->control.set(), "only what is bound is served");
  expect(settings->seeds.size() == 2 && addressText(settings->seeds[1]) == "10.2.0.22:7660",
         "seeds are cores' ports between processes");
  expect(settings->founders.empty() && settings->zones.size() == 2, "a node founds nothing");
  const SettingsVerdict core =
      platform::readBootFile(boot(R"(,"InitialStart":true,"DataDir":"/d")"), SettingsFor::kCore);
  expect(std::holds_alternative<Settings>(core) && std::get<Settings>(core).founders.size() == 2,
         "cores found from the seeds at the first start");
  const SettingsVerdict later =
      platform::readBootFile(boot(R"(,"InitialStart":false,"DataDir":"/d")"), SettingsFor::kCore);
  expect(std::holds_alternative<Settings>(later) && std::get<Settings>(later).founders.empty(), "and never later");
  const SettingsVerdict silent = platform::readBootFile(boot(R"(,"DataDir":"/d")"), SettingsFor::kCore);
  expect(std::holds_alternative<Settings>(silent) && !std::get<Settings>(silent).firstStart,
         "what is not told is no first start");
}

void disks() {
  for (const char* limits : {"", R"(,"Limits":{})", R"(,"Limits":{"DiskMb":0})", R"(,"Limits":{"DiskMb":64})",
                             R"(,"Limits":{"DiskMb":660.5})"}) {
    const SettingsVerdict read =
        platform::readBootFile(boot(std::string(R"(,"DataDir":"/d")") + limits), SettingsFor::kStore);
    auto* settings = std::get_if<Settings>(&read);
    expect(settings != nullptr && settings->ringFileBytes >= 65536 && settings->ringFiles >= 4,
           "any disk gives a ring that can be");
  }
  const SettingsVerdict small =
      platform::readBootFile(boot(R"(,"DataDir":"/d","Limits":{"DiskMb":64})"), SettingsFor::kStore);
  const Settings& fits = std::get<Settings>(small);
  expect(fits.ringFiles * fits.ringFileBytes <= (64 << 20) * 3 / 4, "the ring leaves room on the disk");
  const SettingsVerdict grown =
      platform::readBootFile(boot(R"(,"DataDir":"/d","Limits":{"DiskMb":140})"), SettingsFor::kStore);
  const Settings& wide = std::get<Settings>(grown);
  expect(wide.ringFiles * wide.ringFileBytes <= 124 << 20, "and 16 MiB of a larger one");
  expect(wide.ringFiles * wide.ringFileBytes >= 118 << 20, "but no more");
}

void bounds() {
  const SettingsVerdict read = platform::readBootFile(
      boot(
          R"(,"Bounds":{"DrainMs":4000,"SyncS":5.3,"GraceS":8,"WarmupOvershoot":1.5,"WarmupSlack":5},"Tolerance":{"Machines":2},"ProviderApi":{"Address":"10.0.0.9:80","LagMs":700})"),
      SettingsFor::kNode);
  const Bounds& kept = std::get<Settings>(read).bounds;
  expect(kept.drainUs == 4 * kSecondUs && kept.syncUs == 5300 * kMilliUs && kept.graceUs == 8 * kSecondUs,
         "bounds in microseconds");
  expect(kept.lostMachines == 2, "bounds that are no times");
  expect(kept.listLagUs == 700 * kMilliUs, "how far the list of workers lags behind");
}

void faults() {
  expect(faulty("", SettingsFor::kNode) && faulty("{", SettingsFor::kNode) && faulty("[]", SettingsFor::kNode),
         "no JSON object");
  expect(faulty(R"({"Zone":"x"})", SettingsFor::kNode), "fields that are missing");
  expect(faulty(boot(R"(,"ProviderApi":{"Address":"name:80"})"), SettingsFor::kNode), "a name where a number is due");
  expect(faulty(boot(""), SettingsFor::kStore), "a store without a folder");
  const std::string whole = boot(R"(,"InitialStart":true,"DataDir":"/d","Limits":{"DiskMb":64},"Bounds":{"SyncS":5})");
  for (std::size_t cut = 0; cut < whole.size(); ++cut)
    expect(faulty(whole.substr(0, cut), SettingsFor::kCore), "a file that is cut off");
}
}  // namespace

int main() {
  placesAndPorts();
  disks();
  bounds();
  faults();
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
