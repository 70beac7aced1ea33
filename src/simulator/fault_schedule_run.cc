// The course of a chaos run (design.md 13.3).
#include <absl/strings/str_cat.h>

#include "simulator/fault_schedule.h"

namespace stonemount {

void FaultSchedule::boot() {
  for (Part& part : fleet_.parts()) fleet_.start(part);
  started_ = fleet_.runUntilReady(30 * kSecondUs);
  operators_[0]->pushRoutes(true);
  operators_[0]->createEvent("night", 24LL * 3600 * kSecondUs);
  for (int i = 0; i < 200 && !operators_[0]->idle(); ++i) step(100 * kMilliUs);
  step(kSecondUs);
  fleet_.startCallers();
  step(5 * kSecondUs);
}

void FaultSchedule::trouble() {
  const Us untilUs = fleet_.world().nowUs() + plan_.lengthUs;
  while (fleet_.world().nowUs() < untilUs) {
    const Fault fault = plan_.faults.empty()
                            ? static_cast<Fault>(chance_.below(static_cast<std::uint64_t>(Fault::kCount)))
                            : plan_.faults[chance_.below(plan_.faults.size())];
    cause(fault);
    step(plan_.everyUs / 4 + static_cast<Us>(chance_.below(static_cast<std::uint64_t>(plan_.everyUs))));
  }
}

// With all else healed and the chains whole: a machine, a disk, or a zone that never comes back.
void FaultSchedule::lastFault() {
  for (int i = 0; i < 300 && !whole(); ++i) step(100 * kMilliUs);
  std::vector<Part*> lost;
  const std::uint64_t which = chance_.below(3);
  if (which == 0) {
    const std::string zone = fleet_.shape().zones[chance_.below(fleet_.shape().zones.size())];
    for (Part& part : fleet_.parts())
      if (part.host->zone() == zone && part.kind != PartKind::kCaller && part.kind != PartKind::kPlatform)
        lost.push_back(&part);
  } else {
    lost.push_back(&anyMachine());
  }
  for (Part* part : lost) {
    fleet_.kill(*part, true);
    if (which == 2 && part->host->disk != nullptr) {
      part->host->disk->wipe();
      fleet_.start(*part);
      continue;
    }
    part->gone = true;
    for (Part* caller : fleet_.of(PartKind::kCaller)) caller->caller->forget(part->host->http());
  }
  logEvent("last_fault", {{"which", absl::StrCat(which)}, {"parts", absl::StrCat(lost.size())}});
}

void FaultSchedule::rest() {
  // Everything heals, but for the wall clocks, which stay as wrong as they are.
  for (Undo& undo : undos_) undo.atUs = fleet_.world().nowUs();
  fleet_.world().healAll();
  step(200 * kMilliUs);
  for (Part& part : fleet_.parts()) {
    part.host->frozenUntilUs = 0;
    fleet_.start(part);
  }
  for (int i = 0; i < 600 && !wishes_.empty(); ++i) step(100 * kMilliUs);
  if (plan_.lastStays) lastFault();
  const Us backUs = fleet_.world().nowUs();
  checker_.backSince(backUs);
  step(plan_.restUs);
  checker_.restUntil(fleet_.world().nowUs());
  fleet_.stopCallers();
  while (fleet_.world().nowUs() < backUs + plan_.settleUs && !fleet_.callersDone()) step(500 * kMilliUs);
}

const std::vector<std::string>& FaultSchedule::run() {
  boot();
  trouble();
  if (plan_.lateFault) cause(Fault::kKill);
  rest();
  checker_.conclude();
  return checker_.faults();
}

}  // namespace stonemount
