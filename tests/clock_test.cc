// Wrong wall clocks, on one machine and on two at once, before an event is made, while it is open and
// put right afterwards: an event opens when it should, closes no moment early, and the cut is never
// ahead of true time (design.md 8.4, 8.5).
#include <absl/strings/str_cat.h>

#include <cstdlib>

#include "asking.h"

using namespace stonemount;

namespace {
constexpr Us kTrueUs = World::kStartWallUs;
constexpr Us kOpenLateUs = 3 * kSecondUs;
constexpr Us kHourUs = 3600 * kSecondUs;

Us trueWallUs(Asking& fleet) { return kTrueUs + fleet.fleet.world().nowUs(); }

const CutState* cutOf(Asking& fleet) {
  for (Part* part : fleet.fleet.of(PartKind::kStore))
    if (part->store && part->store->replica().tail()) return &part->store->machine().state().cut;
  return nullptr;
}

void headAhead(Fleet& fleet, std::uint64_t seed) {
  fleet.of(PartKind::kStore)[0]->host->wallOffsetUs = (seed % 2 == 0 ? 5 : -5) * kHourUs;
}
void headAndCoreAhead(Fleet& fleet, std::uint64_t seed) {
  headAhead(fleet, seed);
  fleet.of(PartKind::kCore)[seed % 3]->host->wallOffsetUs = fleet.of(PartKind::kStore)[0]->host->wallOffsetUs;
}

// Most of them, by less than the event is long: nothing can know better until they are put right.
void mostAhead(Fleet& fleet, std::uint64_t) {
  for (const PartKind kind : {PartKind::kStore, PartKind::kCore})
    for (std::size_t i = 0; i < 2; ++i) fleet.of(kind)[i]->host->wallOffsetUs = 20 * kSecondUs;
}

enum class When { kBeforeAll, kBeforeEvent, kWhileOpen };
struct Case {
  const char* name;
  void (*harm)(Fleet&, std::uint64_t);
  When when;
  bool putRight;
  Us putRightAfterUs = 12 * kSecondUs;  // the event's start
  bool opensRight = true;
};

struct Seen {
  Us openUs = 0, closedUs = 0;
  Us farthestAheadUs = 0;
};

// An event from 10 s to 40 s from now, watched every quarter of a second.
Seen watchEvent(Asking& fleet, std::uint64_t seed, const Case& now, Us startUs, Us closeUs) {
  Seen seen;
  bool harmed = now.when != When::kWhileOpen;
  while (trueWallUs(fleet) < closeUs + 15 * kSecondUs && seen.closedUs == 0) {
    if (!harmed && trueWallUs(fleet) > startUs + 5 * kSecondUs) {
      now.harm(fleet.fleet, seed);
      harmed = true;
    }
    if (now.putRight && trueWallUs(fleet) > startUs + now.putRightAfterUs)
      for (auto& host : fleet.fleet.world().hosts()) host->wallOffsetUs = 0;
    const Answer shown = fleet.ask("GET", "/v1/events/watched");
    if (seen.openUs == 0 && (shown.has("\"open\"") || shown.has("\"closed\""))) seen.openUs = trueWallUs(fleet);
    if (shown.has("\"closed\"")) seen.closedUs = trueWallUs(fleet);
    if (const CutState* cut = cutOf(fleet))
      seen.farthestAheadUs = std::max(seen.farthestAheadUs, cut->cutUs - trueWallUs(fleet));
    fleet.fleet.run(250 * kMilliUs);
  }
  return seen;
}

void runCase(const Case& now, std::uint64_t seed) {
  Asking fleet(seed, posilkaShape(), now.when == When::kBeforeAll ? now.harm : nullptr);
  if (now.when == When::kBeforeEvent) now.harm(fleet.fleet, seed), fleet.fleet.run(2 * kSecondUs);
  const Us startUs = trueWallUs(fleet) + 10 * kSecondUs;
  const Us closeUs = startUs + 30 * kSecondUs;
  const std::string what = absl::StrCat(now.name, now.putRight ? ", put right" : "", " seed=", seed);
  fleet.ask("POST", "/op/events",
            absl::StrCat(R"({"name":"watched","startUs":)", startUs, R"(,"closeUs":)", closeUs, "}"));
  const Seen seen = watchEvent(fleet, seed, now, startUs, closeUs);
  if (now.opensRight)
    fleet.expect(seen.openUs >= startUs && seen.openUs <= startUs + kOpenLateUs,
                 absl::StrCat("opens in time: ", what, ", late by ", seen.openUs - startUs));
  fleet.expect(seen.closedUs == 0 || seen.closedUs >= closeUs,
               absl::StrCat("closes no moment early: ", what, ", late by ", seen.closedUs - closeUs));
  // Each doubt stops the cut for the grace and a little, and the close is late by as much.
  fleet.expect(seen.closedUs != 0, absl::StrCat("closes: ", what));
  fleet.expect(seen.farthestAheadUs <= 0,
               absl::StrCat("the cut is not ahead of true time: ", what, ", ", seen.farthestAheadUs));
}

// Small steps, each too small to be seen in its round, over and over on the sampler's and the head's machine.
void smallSteps() {
  Asking fleet(5);
  const Us startUs = trueWallUs(fleet) + 20 * kSecondUs;
  fleet.ask("POST", "/op/events",
            absl::StrCat(R"({"name":"watched","startUs":)", startUs, R"(,"closeUs":)", startUs + 20 * kSecondUs, "}"));
  bool early = false;
  while (trueWallUs(fleet) < startUs) {
    for (const PartKind kind : {PartKind::kStore, PartKind::kCore})
      fleet.fleet.of(kind)[0]->host->wallOffsetUs += 200 * kMilliUs;
    early |= trueWallUs(fleet) + 400 * kMilliUs < startUs && fleet.ask("GET", "/v1/events/watched").has("\"open\"");
    fleet.fleet.run(400 * kMilliUs);
  }
  fleet.expect(!early, "small steps of two clocks open nothing early");
}
}  // namespace

int main() {
  const Case cases[] = {{"one before all", headAhead, When::kBeforeAll, false},
                        {"one before all", headAhead, When::kBeforeAll, true},
                        {"two before all", headAndCoreAhead, When::kBeforeAll, false},
                        {"two before all", headAndCoreAhead, When::kBeforeAll, true},
                        {"one before the event", headAhead, When::kBeforeEvent, true},
                        {"two before the event", headAndCoreAhead, When::kBeforeEvent, true},
                        {"two while open", headAndCoreAhead, When::kWhileOpen, false},
                        {"two while open", headAndCoreAhead, When::kWhileOpen, true},
                        {"most before the event", mostAhead, When::kBeforeEvent, true, -5 * kSecondUs, false}};
  for (const Case& now : cases)
    for (std::uint64_t seed = 1; seed <= 6; ++seed) runCase(now, seed);
  smallSteps();
  std::printf("%d passed, %d failed\n", Asking::passed, Asking::failed);
  return Asking::failed == 0 ? 0 : 1;
}
