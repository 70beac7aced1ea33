// The users' operator and list of workers against simulated cores: what is acknowledged stays, what is refused
// changes nothing, who is cut off says so soon, and the list is told once.
#include "platform_rig.h"

using namespace stonemount;

namespace {
constexpr char kConfig[] = "/api/configuration";

std::string canonical(const std::string& text) {
  JsonVerdict read = parseJson(text);
  auto* document = std::get_if<JsonDocument>(&read);
  return document == nullptr ? "not JSON: " + text : canonicalJson(*document);
}

std::string say(const char* what, const Heard& heard) {
  return absl::StrCat(what, " gave ", heard.status, " after ", heard.afterUs, " us: ", heard.body.substr(0, 200));
}

void configurations(std::uint64_t seed) {
  PlatformRig rig(seed);
  const Heard none = rig.ask(0, "GET", kConfig);
  rig.expect(none.status == 503, say("a GET before the first", none));
  Heard heard = rig.ask(0, "PUT", kConfig, plainPut(5), "0");
  rig.expect(heard.status == 200, say("the first PUT", heard));
  heard = rig.ask(1, "PUT", kConfig, plainPut(5), "0");
  rig.expect(heard.status == 200, say("the same again elsewhere", heard));
  heard = rig.ask(2, "PUT", kConfig, plainPut(6), "0");
  rig.expect(heard.status == 412, say("a stale match", heard));
  std::size_t core = 0;
  for (const auto& [what, body] : invalidPuts()) {
    heard = rig.ask(core++ % 3, "PUT", kConfig, body, "5");
    rig.expect(heard.status == 400, say(what, heard));
  }
  for (const auto& [what, body] : invalidPatches()) {
    heard = rig.ask(core++ % 3, "PATCH", kConfig, body, "5");
    rig.expect(heard.status == 400, say(what, heard));
  }
  heard = rig.ask(0, "PUT", kConfig, plainPut(7), "");
  rig.expect(heard.status == 400, say("no match", heard));
  heard = rig.ask(0, "POST", kConfig, plainPut(7), "5");
  rig.expect(heard.status == 405, say("a POST", heard));
  heard = rig.ask(0, "GET", "/api/nothing");
  rig.expect(heard.status == 404, say("an unknown path", heard));
  heard = rig.ask(0, "POST", "/api/retire/storage-1", "{}");
  rig.expect(heard.status == 404, say("a retire that is not served", heard));
  for (std::size_t i = 0; i < 3; ++i) {
    heard = rig.ask(i, "GET", kConfig);
    rig.expect(heard.status == 200 && canonical(heard.body) == canonical(plainPut(5)),
               say("reads back as sent", heard));
  }
  // Two on one base, at two cores at the same moment.
  const std::string bodies[] = {patchText(8, {routeText({.prefix = "/left/"})}, {}),
                                patchText(9, {routeText({.prefix = "/right/"})}, {})};
  Heard both[2];
  for (std::size_t i = 0; i < 2; ++i) rig.send(i, configAsk("PATCH", "5", bodies[i]), both[i]);
  rig.finish();
  const std::size_t winner = both[0].status == 200 ? 0 : 1;
  rig.expect(both[winner].status == 200 && both[1 - winner].status == 412,
             say("one prevails", both[0]) + say(" of two", both[1]));
  // Everyone loses power; what was acknowledged is there, and still known when it is sent again.
  for (PlatformRig::CoreProcess& one : rig.cores) rig.kill(one, true);
  for (PlatformRig::CoreProcess& one : rig.cores) rig.start(one);
  rig.run(6 * kSecondUs);
  heard = rig.ask(2, "GET", kConfig);
  rig.expect(heard.status == 200 && heard.body.find(winner == 0 ? "/left/" : "/right/") != Bytes::npos,
             say("after the loss", heard));
  heard = rig.ask(2, "PATCH", kConfig, bodies[winner], "5");
  rig.expect(heard.status == 200, say("sent again after the loss", heard));
}

void zones(std::uint64_t seed) {
  PlatformRig rig(seed);
  Heard heard = rig.ask(0, "POST", "/api/evacuation/z2");
  rig.expect(heard.status == 200, say("an evacuation", heard));
  heard = rig.ask(1, "POST", "/api/evacuation/z2");
  rig.expect(heard.status == 200, say("again", heard));
  rig.run(500 * kMilliUs);
  rig.expect(rig.cores[0].core->machine().state().evacuated("z2"), "the zone is evacuated");
  heard = rig.ask(1, "POST", "/api/evacuation/z9");
  rig.expect(heard.status == 404, say("an unknown zone", heard));
  heard = rig.ask(1, "GET", "/api/evacuation/z2");
  rig.expect(heard.status == 405, say("a GET of it", heard));
  heard = rig.ask(2, "DELETE", "/api/evacuation/z2");
  rig.expect(heard.status == 200, say("its end", heard));
  rig.run(500 * kMilliUs);
  rig.expect(!rig.cores[0].core->machine().state().evacuated("z2"), "the evacuation has ended");
}

// A core that is cut off knows that it takes nothing, and says so soon; the others go on.
void cutOff(std::uint64_t seed) {
  PlatformRig rig(seed);
  Heard heard = rig.ask(0, "PUT", kConfig, plainPut(5), "0");
  rig.expect(heard.status == 200, say("a PUT", heard));
  const std::size_t lost = seed % 3;
  PlatformRig::CoreProcess& alone = rig.cores[lost];
  rig.isolate(alone, true);
  if (seed % 2 == 0) rig.run(3 * kSecondUs);  // else it has not noticed yet
  Heard late, other;
  rig.send(lost, configAsk("PUT", "5", plainPut(7)), late);
  rig.finish();
  rig.expect(late.status == 503 && late.afterUs <= 900 * kMilliUs, say("a PUT at a core that is cut off", late));
  heard = rig.ask(lost, "GET", kConfig);
  rig.expect(heard.status == 503 && heard.afterUs <= 1100 * kMilliUs, say("a GET there", heard));
  rig.run(4 * kSecondUs);
  heard = rig.ask((lost + 1) % 3, "PUT", kConfig, plainPut(9), "5");
  rig.expect(heard.status == 200, say("a PUT at another", heard));
  rig.isolate(alone, false);
  rig.run(5 * kSecondUs);
  heard = rig.ask(lost, "GET", kConfig);
  rig.expect(heard.status == 200 && heard.body.find(R"("Revision":9)") != Bytes::npos, say("later, there too", heard));
}

// The operator's way: the same call, unchanged, to one core after another while cores are cut off, killed and
// started; it ends as taken, and only what was acknowledged, or was never answered clearly, is in force.
void troubledPushes(std::uint64_t seed) {
  PlatformRig rig(seed);
  Chance chance(seed);
  std::uint64_t standing = 0;
  for (int round = 0; round < 8; ++round) {
    const std::uint64_t next = standing + 1 + chance.below(4);
    const std::string body = plainPut(next);
    PlatformRig::CoreProcess& troubled = rig.cores[chance.below(3)];
    const std::uint64_t trouble = chance.below(4);
    if (trouble == 1) rig.isolate(troubled, true);
    if (trouble == 2) rig.kill(troubled, true);
    int tries = 0;
    int status = 0;
    for (std::size_t core = chance.below(3); status != 200 && tries < 20; ++tries, core = (core + 1) % 3) {
      if (!rig.cores[core].host->up()) continue;
      const Heard heard = rig.ask(core, "PUT", kConfig, body, std::to_string(standing));
      status = heard.status;
      rig.expect(status == 200 || status == 503 || status == 504, say("a PUT in trouble", heard));
      rig.expect(heard.afterUs <= (status == 503 ? 1000 : 2700) * kMilliUs, say("a late answer", heard));
      if (status != 200) rig.run(200 * kMilliUs);
    }
    rig.expect(status == 200, absl::StrCat("taken in the end, seed ", seed, " round ", round, " trouble ", trouble));
    if (status == 200) standing = next;
    rig.isolate(troubled, false);
    if (trouble == 2) rig.start(troubled);
    rig.run(static_cast<Us>(chance.below(3000)) * kMilliUs);
    Heard heard;
    for (int i = 0; i < 20 && heard.status != 200; ++i, rig.run(200 * kMilliUs))
      heard = rig.ask(chance.below(3), "GET", kConfig);
    rig.expect(heard.status == 200 && canonical(heard.body) == canonical(plainPut(standing)), say("reads back", heard));
  }
}

std::string listed(const PlatformRig& rig) {
  std::string text;
  for (const auto& [address, worker] : rig.cores[0].core->machine().state().workers())
    absl::StrAppend(&text, worker.life, ":", worker.pool, worker.leaving ? ":leaving" : "",
                    worker.coldLeftUs > 0 ? ":cold " : " ");
  return text;
}
Instance instance(const std::string& id, std::uint32_t number, const std::string& state = "ready") {
  return {id, "s0", "z1", state, {PlatformRig::kNet + 50 + number, 8080}, 0};
}

void workers(std::uint64_t seed) {
  PlatformRig rig(seed);
  for (std::uint32_t i = 0; i < 5; ++i) rig.instances->instances.push_back(instance(absl::StrCat("i-", i), i));
  rig.run(3 * kSecondUs);
  rig.expect(listed(rig) == "i-0:s0 i-1:s0 i-2:s0 i-3:s0 i-4:s0 ", "all pages are listed: " + listed(rig));
  const Revision calm = rig.cores[0].core->machine().state().revision();
  const std::uint64_t callsBefore = rig.instances->calls;
  rig.run(6 * kSecondUs);
  rig.expect(rig.cores[0].core->machine().state().revision() == calm, "what did not change is not told");
  rig.expect(rig.instances->calls - callsBefore <= 33,
             absl::StrCat("one asks, for all: ", rig.instances->calls - callsBefore));
  // Cold: told as it begins, once, and not while it counts down.
  rig.instances->instances[1].coldMs = 2000;
  for (int i = 0; i < 20; ++i, rig.run(100 * kMilliUs)) rig.instances->instances[1].coldMs -= 100;
  rig.expect(listed(rig).find("i-1:s0:cold") != std::string::npos, "a worker that turned cold: " + listed(rig));
  rig.expect(rig.cores[0].core->machine().state().revision() == calm + 1, "is told once");
  rig.instances->instances[1].coldMs = 2500.5;
  rig.run(1500 * kMilliUs);
  rig.expect(rig.cores[0].core->machine().state().revision() == calm + 2, "and once more when it begins again");
  // A page that is turned away is asked for again; a broken one changes nothing.
  rig.instances->instances[2].state = "draining";
  rig.instances->turnAway = 2;
  rig.run(2500 * kMilliUs);
  rig.expect(listed(rig).find("i-2:s0:leaving") != std::string::npos, "a leaving mark within 3 s: " + listed(rig));
  const std::string before = listed(rig);
  for (const char* broken : {"{", "[]", R"({"Instances":5})", R"({"Instances":[],"NextToken":7})", "null", "\xff"}) {
    rig.instances->broken = broken;
    rig.run(1500 * kMilliUs);
  }
  rig.expect(listed(rig) == before, "a list that cannot be read changes nothing: " + listed(rig));
  rig.instances->broken.clear();
  // An address has a new owner while the old one is still listed, whichever stands first.
  rig.instances->instances.insert(rig.instances->instances.begin(), instance("i-new", 3));
  rig.run(2 * kSecondUs);
  rig.expect(listed(rig).find("i-new") != std::string::npos && listed(rig).find("i-3") == std::string::npos,
             "the new owner: " + listed(rig));
  // Every core starts anew; the numbers of lists go on.
  for (PlatformRig::CoreProcess& one : rig.cores) rig.kill(one, false);
  for (PlatformRig::CoreProcess& one : rig.cores) rig.start(one);
  rig.run(5 * kSecondUs);
  rig.instances->instances.clear();
  rig.run(3 * kSecondUs);
  rig.expect(listed(rig).empty(), "after all started anew: " + listed(rig));
}

// The duty passes on, again and again, while the list changes: the last list wins.
void listersChange(std::uint64_t seed) {
  PlatformRig rig(seed);
  Chance chance(seed);
  for (int round = 0; round < 6; ++round) {
    for (PlatformRig::CoreProcess& one : rig.cores)
      if (one.core->election().holds(Core::kWorkerDiscovery)) rig.isolate(one, true);
    for (int change = 0; change < 5; ++change) {
      rig.instances->instances.clear();
      for (std::uint32_t i = 0; i < chance.below(5); ++i)
        rig.instances->instances.push_back(instance(absl::StrCat("i-", round, "-", change, "-", i), i));
      rig.run(500 * kMilliUs);
    }
    for (PlatformRig::CoreProcess& one : rig.cores) rig.isolate(one, false);
  }
  rig.run(5 * kSecondUs);
  std::string wanted;
  for (const Instance& one : rig.instances->instances) wanted += one.id + ":s0 ";
  rig.expect(listed(rig) == wanted, "the last list: " + listed(rig) + " not " + wanted);
}
}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    configurations(seed);
    zones(seed);
    cutOff(seed);
    troubledPushes(seed);
    workers(seed);
    listersChange(seed);
  }
  std::printf("%d passed, %d failed\n", PlatformRig::passed, PlatformRig::failed);
  return PlatformRig::failed == 0 ? 0 : 1;
}
