// What is wrong with a configuration is found alike by a look at what a small change alters and by a look at all of it
// (design.md 7.2).
#include <rapidcheck.h>

#include "control/config_merge.h"
#include "control/control_machine.h"

using namespace stonemount;

namespace {
ControlVerdict give(ControlMachine& machine, const ConfigRequest& wish) {
  ControlCommand command = PutConfig{wish};
  auto read = unpack<ControlVerdict>(machine.apply(pack(command)));
  return std::get<ControlVerdict>(read);
}

Route route(std::size_t number, std::size_t place) {
  Route made;
  made.name = "r-" + std::to_string(number);
  made.host = place % 7 == 0 ? "" : "h-" + std::to_string(place % 3);
  made.prefix = place % 11 == 0 ? "" : "/p" + std::to_string(place) + "/";
  made.pool = "s0";
  return made;
}

// All routes as they would stand, in the order of their names; the first flaw of any.
ConfigFlawFound flawOfAll(const std::map<std::string, Route>& routes) {
  std::set<std::pair<std::string, std::string>> places;
  for (const auto& [name, one] : routes) {
    std::uint64_t weight = one.shares.empty() ? 1 : 0;
    for (const PoolShare& share : one.shares) weight += share.weight;
    if (one.limitUs <= 0) return {ConfigFlaw::kNoTime, name};
    if (weight == 0) return {ConfigFlaw::kNoWeight, name};
    if (one.pool != "s0") return {ConfigFlaw::kUnknownPool, name};
    if ((!one.host.empty() || !one.prefix.empty()) && !places.insert({one.host, one.prefix}).second)
      return {ConfigFlaw::kSamePlace, name};
  }
  return {};
}

void foundAlike(std::uint64_t seed) {
  Chance chance(seed);
  ControlMachine machine;
  ConfigRequest whole;
  whole.pools.push_back({});
  whole.pools.back().name = "s0";
  std::map<std::string, Route> standing;
  for (std::size_t i = 0; i < 60; ++i) {
    whole.routes.push_back(route(i, i * 11 + 1));
    standing[whole.routes.back().name] = whole.routes.back();
  }
  const ConfigFlawFound first = flawOfAll(standing);
  const bool sound = give(machine, whole).outcome == ControlOutcome::kDone;
  RC_ASSERT(sound == (first.flaw == ConfigFlaw::kNone));
  std::size_t flawed = 0;
  for (int step = 0; sound && step < 60; ++step) {
    ConfigRequest patch;
    patch.whole = false;
    patch.base = machine.state().configRevision();
    std::map<std::string, Route> wished = standing;
    absl::btree_set<std::size_t> numbers;
    for (std::uint64_t count = 1 + chance.below(4); count > 0; --count) numbers.insert(chance.below(70));
    for (const std::size_t number : numbers) {
      if (chance.oneIn(4)) {
        patch.removed.push_back("r-" + std::to_string(number));
        wished.erase(patch.removed.back());
        continue;
      }
      Route made = route(number, 1 + chance.below(660));
      if (chance.oneIn(12)) made.limitUs = 0;
      if (chance.oneIn(12)) made.shares.push_back({"s0", 0});
      if (chance.oneIn(12)) made.pool = "s9";
      wished[made.name] = made;
      patch.routes.push_back(std::move(made));
    }
    const ConfigFlawFound expected = flawOfAll(wished);
    const ControlVerdict verdict = give(machine, patch);
    RC_ASSERT((verdict.outcome == ControlOutcome::kInvalid) == (expected.flaw != ConfigFlaw::kNone));
    flawed += expected.flaw != ConfigFlaw::kNone ? 1 : 0;
    if (expected.flaw != ConfigFlaw::kNone) {
      RC_ASSERT(verdict.flaw == expected.flaw);
      RC_ASSERT(verdict.flawed == expected.route);
    } else {
      standing = std::move(wished);
    }
  }
  RC_ASSERT(!sound || (flawed > 5 && flawed < 55));
}
}  // namespace

int main() { return rc::check("flaws are found alike", foundAlike) ? 0 : 1; }
