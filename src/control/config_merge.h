// What a wish makes of the configuration that stands, and whether the result will do (design.md 7.2).
// Deterministic: every member of the chain comes to the same.
#pragma once

#include "control/commands.h"

namespace stonemount {

// The wish must be made from the configuration that stands.
ConfigStep mergeWish(const ControlState& state, const ConfigRequest& wish);
// Back to what stood before all the steps given, newest first.
ConfigStep mergeBack(const ControlState& state, const std::vector<const ConfigStep*>& steps);

struct ConfigFlawFound {
  ConfigFlaw flaw = ConfigFlaw::kNone;
  std::string route;  // or the tenant that has it
};
// Of the state as it would be after the step.
ConfigFlawFound findFlaw(const ControlState& state, const ConfigStep& step, bool poolsGiven);

}  // namespace stonemount
