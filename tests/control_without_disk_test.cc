// A control process on a machine that has no disk must not end: it stands by, holds no seat, and passes the operator's
// calls on. Settings of every kind, the program itself, and fleets whose seeds are such machines.
//   control_without_disk_test [PROGRAM]
// More seeds of the founding alone: FOUNDS_ONCE_SEEDS=FIRST,COUNT.
#include <fstream>

#include "asking.h"
#include "control_without_disk_rig.h"
#include "given_seeds.h"
#include "platform/settings.h"
#include "program_run.h"
#include "scratch_folder.h"

using namespace stonemount;

namespace {
constexpr std::uint64_t kSeeds = 12;
constexpr char kConfig[] = "/api/configuration";

// Settings

std::string boot(const std::string& more) {
  return R"({"Node":"edge-x-9","Ip":"10.1.0.12","Zone":"x","Zones":{"x":"r","y":"r"},"InternalPorts":[7660,7675],)"
         R"("Seeds":["10.1.0.12:8146","10.2.0.22:8146"],"BindAddresses":{"Control":"10.1.0.12:8146"})" +
         more + "}";
}

void platformSettings() {
  for (const char* disk : {"", R"(,"DataDir":null)", R"(,"DataDir":"")"}) {
    for (const char* start : {"", R"(,"InitialStart":true)", R"(,"InitialStart":false)"}) {
      const std::string text = boot(std::string(disk) + start);
      const SettingsVerdict core = platform::readBootFile(text, SettingsFor::kCore);
      auto* settings = std::get_if<Settings>(&core);
      expect(settings != nullptr, std::string("control without a disk is started:") + disk + start);
      if (settings == nullptr) continue;
      expect(settings->data.empty() && settings->founders.empty(), std::string("it founds nothing:") + disk + start);
      expect(settings->seeds.size() == 1 && settings->control.set(), std::string("it knows the seeds:") + disk + start);
    }
    const SettingsVerdict store = platform::readBootFile(boot(disk), SettingsFor::kStore);
    auto* fault = std::get_if<SettingsFault>(&store);
    expect(fault != nullptr && fault->key == "DataDir", std::string("a store needs a disk:") + disk);
  }
  for (const char* odd : {R"(,"DataDir":7)", R"(,"DataDir":[])", R"(,"DataDir":{})"})
    expect(std::holds_alternative<SettingsFault>(platform::readBootFile(boot(odd), SettingsFor::kCore)),
           std::string("what is no folder's name is a fault:") + odd);
  const SettingsVerdict with =
      platform::readBootFile(boot(R"(,"InitialStart":true,"DataDir":"/d")"), SettingsFor::kCore);
  auto* settings = std::get_if<Settings>(&with);
  expect(settings != nullptr && settings->founders.size() == 2, "with a disk it may found, from the seeds");
}

void ownSettings() {
  HeaderMap flags{{"wire", "127.0.0.1:7001"}, {"http", "127.0.0.1:8001"}, {"zone", "x"}, {"seeds", "127.0.0.2:7001"}};
  const SettingsVerdict without = readSettings("", flags, SettingsFor::kCore);
  auto* settings = std::get_if<Settings>(&without);
  expect(settings != nullptr && settings->data.empty(), "a core may be started without a folder");
  const SettingsVerdict store = readSettings("", flags, SettingsFor::kStore);
  auto* fault = std::get_if<SettingsFault>(&store);
  expect(fault != nullptr && fault->key == "data", "a store may not");
  flags["founders"] = "127.0.0.2:7001,127.0.0.3:7001,127.0.0.4:7001";
  const SettingsVerdict other = readSettings("", flags, SettingsFor::kCore);
  settings = std::get_if<Settings>(&other);
  expect(settings != nullptr && settings->founders.empty() && settings->seeds.size() >= 3,
         "the founders, of which it is none, are whom it asks");
  flags["founders"] = "127.0.0.1:7001,127.0.0.3:7001,127.0.0.4:7001";
  const SettingsVerdict founder = readSettings("", flags, SettingsFor::kCore);
  fault = std::get_if<SettingsFault>(&founder);
  expect(fault != nullptr && fault->key == "data", "one that was named a founder may not");
}

// The program itself

void program(const std::string& path) {
  ScratchFolder folder;
  // Below the ports that the kernel gives to outgoing connections (from 32,768 on).
  const std::uint16_t port = static_cast<std::uint16_t>(20'000 + getpid() % 12'000);
  const std::string file = folder.path() + "/boot.json";
  std::ofstream(file) << absl::StrCat(R"({"Node":"edge-x-9","Ip":"127.0.0.1","Zone":"x","InternalPorts":[)", port, ",",
                                      port + 15, R"(],"Seeds":["127.0.0.1:)", port + 20,
                                      R"("],"InitialStart":true,"BindAddresses":{"Control":"127.0.0.1:)", port + 20,
                                      R"("},"Limits":{"MemoryMb":160}})");
  Program running(path, "core", file);
  const bool standsBy = running.says("event=stands_by");
  expect(standsBy, "the program stands by and says so: " + running.said);
  const std::string told =
      answerOf(static_cast<std::uint16_t>(port + 20), "GET /api/configuration HTTP/1.1\r\nHost: x\r\n\r\n");
  expect(told.find(" 503 ") != std::string::npos, "where no member is known, a call may be tried elsewhere: " + told);
  const std::string metrics =
      answerOf(static_cast<std::uint16_t>(port + 2), "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
  expect(metrics.find(" 200 ") != std::string::npos, "it has metrics: " + metrics);
  const int status = running.endsBy(SIGTERM);
  expect(status == 0, absl::StrCat("it ends in order, not with ", status, ": ", running.said));
  const std::size_t first = running.said.find("event=stands_by");
  expect(running.said.find("event=stands_by", first + 1) == std::string::npos, "it says so once");
}

// Fleets

bool alive(ControlRig& rig) {
  for (std::size_t place = 0; place < rig.cores(); ++place)
    if (!rig.core(place).gone && !rig.core(place).host->up()) return false;
  return true;
}

// Any of the three seeds may have no disk: one chain is founded, grows to three, and takes what comes by a stand-by.
void founds(std::uint64_t seed, std::set<std::uint32_t> withoutDisk) {
  ControlRig rig(seed, 9, withoutDisk);
  Part& standby = rig.core(*withoutDisk.begin());
  rig.startAll();
  const auto whole = [&rig] { return rig.whole(3); };
  if (!rig.check(rig.until(10 * kSecondUs, whole), "three members with disks, in one chain")) return;
  rig.run(3 * kSecondUs);
  rig.check(alive(rig), "every process runs");
  rig.check(rig.pushes(standby, 5, 0), "a configuration is taken by a stand-by");
  const Heard told = rig.ask(rig.seated(1), "GET", kConfig);
  rig.check(told.status == 200 && told.body.find("\"Revision\":5") != Bytes::npos, "a member has it: " + told.body);
  const Heard same = rig.ask(standby, "GET", kConfig);
  rig.check(same.status == 200 && same.body == told.body, "the stand-by reads the same: " + same.body);
  rig.check(rig.ask(standby, "PUT", kConfig, plainPut(6), "4").status == 412, "a stale one is refused as by a member");
  rig.check(rig.ask(standby, "POST", "/api/evacuation/zlin").status == 200, "an evacuation by a stand-by");
  rig.check(rig.ask(standby, "DELETE", "/api/evacuation/zlin").status == 200, "and back");
  rig.check(rig.ask(standby, "POST", "/api/retire/nobody", "{}").status == 404, "a retire order for nobody");
  rig.check(rig.ask(standby, "GET", "/api/retire/store-1").status == 200, "the state of a store");
}

// Members are lost for good or lose their disks; seats go to machines with disks alone.
void replaces(std::uint64_t seed) {
  ControlRig rig(seed, 17, {1, 4, 5, 7});  // three machines or more with disks in each zone
  rig.startAll();
  const auto whole = [&rig] { return rig.whole(3); };
  if (!rig.check(rig.until(10 * kSecondUs, whole), "three members before the losses")) return;
  Part& standby = rig.core(seed % 2 == 0 ? 1 : 4);
  rig.check(rig.pushes(standby, 5, 0), "a configuration before the losses");
  Part& lost = rig.seated(seed);
  const Address lostWire = lost.host->wire();
  rig.lose(lost);
  rig.check(rig.until(12 * kSecondUs, whole), "a machine with a disk takes the seat");
  rig.check(findMember(rig.newest(), lostWire) == nullptr, "the lost one has none");
  rig.check(rig.pushes(standby, 6, 5), "a configuration after the loss");
  // The disk of one is gone, and its process stands by on the same address.
  Part& bare = rig.seated(seed + 1);
  const Address bareWire = bare.host->wire();
  rig.startAgain(bare, false);
  const auto given = [&rig, &bareWire] { return rig.whole(3) && findMember(rig.newest(), bareWire) == nullptr; };
  rig.check(rig.until(12 * kSecondUs, given), "the seat of one that lost its disk is given away");
  rig.check(rig.pushes(bare, 7, 6), "it passes a configuration on");
  // It has a disk again, and may be seated when the next is lost.
  rig.startAgain(bare, true);
  rig.run(3 * kSecondUs);
  rig.check(rig.ask(bare, "GET", kConfig).status == 200, "with a disk again it serves");
  rig.lose(rig.seated(seed + 2));
  rig.check(rig.until(12 * kSecondUs, whole), "the next loss is made good too");
  rig.check(rig.pushes(standby, 8, 7), "a configuration at the end");
  rig.check(alive(rig), "every process runs at the end");
}

// Without one seed that has a disk nobody may found: a chain that waits is better than two.
void waits(std::uint64_t seed) {
  ControlRig rig(seed, 6, {0, 1, 2});
  rig.startAll();
  rig.run(8 * kSecondUs);
  rig.check(alive(rig), "every process runs and waits");
  rig.check(rig.newest().revision == 0, "no chain is founded");
  const Heard heard = rig.ask(rig.core(0), "PUT", kConfig, plainPut(5), "0");
  rig.check(heard.status == 503 && heard.afterUs <= 1000 * kMilliUs, "calls are refused soon, to be tried elsewhere");
}

// While the chain is being founded, seeds start anew, links are cut, machines get a disk, and one loses its own:
// whatever comes of it, no two chains are founded.
void foundsOnce(std::uint64_t seed) {
  ControlRig rig(seed, 5, {static_cast<std::uint32_t>(seed % 3)});
  Chance chance(seed ^ 0x5EED);
  bool mayLose = true;
  rig.startAll();
  for (int turn = 0; turn < 60; ++turn) {
    rig.run(static_cast<Us>(chance.below(80)) * kMilliUs);
    Part& one = rig.core(chance.below(3));
    Part& other = rig.core(chance.below(3));
    for (std::size_t place = 0; place < 3; ++place)  // slow ones, so that a first view is long in being written
      if (SimDisk* disk = rig.core(place).host->disk.get(); disk != nullptr)
        disk->extraUs = static_cast<Us>(chance.below(400)) * kMilliUs;
    const bool has = one.host->disk != nullptr;
    const bool loses = has && mayLose && chance.oneIn(6);
    const bool firstStart = !chance.oneIn(6);
    if (chance.oneIn(3) && &one != &other)
      rig.fleet.world().setCut(*one.host, *other.host, chance.oneIn(2));
    else if (loses)
      rig.startAgain(one, chance.oneIn(2), firstStart);
    else if (has)
      rig.startAgainAsItWas(one, firstStart);
    else
      rig.startAgain(one, chance.oneIn(2), firstStart);
    mayLose &= !loses;
  }
  rig.fleet.world().healAll();
  rig.run(3 * kSecondUs);
  rig.check(alive(rig), "every process runs after the starts");
}

// Whoever looks at the fleet from a node is told of it, and of no other trouble of the control chain.
void shows() {
  FleetShape shape = posilkaShape();
  shape.cores = 6;
  shape.told = false;
  shape.coresWithoutDisk = {1, 3};
  Asking fleet(1, shape);
  const Answer status = fleet.ask("GET", "/op/status");
  const std::string bare = addressText(fleet.fleet.of(PartKind::kCore)[3]->host->wire());
  const std::size_t listed = status.body.find("\"controlStandbys\":[");
  expect(listed != Bytes::npos && status.body.find(bare, listed) != Bytes::npos, "status lists it: " + status.body);
  const Answer doctor = fleet.ask("GET", "/op/doctor");
  expect(doctor.has("\"D112\""), "the doctor knows it: " + doctor.body);
  for (const char* code : {"D101", "D102", "D103", "D104", "D105", "D106", "D110", "D111", "D701"})
    expect(!doctor.has("\"" + std::string(code) + "\""), std::string("and takes it for no ") + code);
}
}  // namespace

int main(int argc, char** argv) {
  platformSettings();
  ownSettings();
  shows();
  if (argc > 1) program(argv[1]);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    founds(seed, {3, 5, 8});
    founds(seed, {1, 5, 8});
    founds(seed, {0, 4});
    founds(seed, {0, 2, 6});
    replaces(seed);
    waits(seed);
  }
  const Seeds seeds = givenSeeds("FOUNDS_ONCE_SEEDS", {100, 480});
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) foundsOnce(seed);
  return expectationsVerdict();
}
