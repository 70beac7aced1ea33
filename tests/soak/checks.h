// What a run of the soak is held to, as far as its records tell (docs/soak.md).
#pragma once

#include "records.h"

namespace stonemount::soak {

// Nothing: the run holds it. Else what speaks against it.
using Fault = std::optional<std::string>;

Fault callersSawNoFault(const Run& run);
Fault lotsAreComplete(const Run& run);
// Every cut of a kept connection is explained by a SIGKILL of that process at that moment.
Fault cutsAreExplained(const Run& run);
Fault nothingRanThatWasRefused(const Run& run);
Fault noLiveRequestRanTwice(const Run& run);
// Each change of a race that was confirmed has a number of its own, and the history has it under that number.
Fault confirmedChangesStand(const Run& run);
// Of each role: the mean of the last third of the time against that of the middle one.
Fault memorySettles(const Run& run);
// Of each role: the most descriptors now against the most before the troubles.
Fault descriptorsReturn(const Run& run);
Fault noInvariantBroke(const Run& run);
Fault stopsKeptTheirGrace(const Run& run);
Fault chainsBecameWhole(const Run& run);
Fault membersWereReplaced(const Run& run);
Fault recordsAreReadable(const Run& run);

struct Check {
  const char* name;  // on the command line
  const char* text;  // in the report
  Fault (*run)(const Run&);
};
const std::vector<Check>& allChecks();

}  // namespace stonemount::soak
