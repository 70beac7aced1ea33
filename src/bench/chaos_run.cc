// The course of a chaos run (design.md 13.3).
#include <absl/strings/str_cat.h>

#include "bench/chaos.h"

namespace stonemount {

void Chaos::boot() {
  for (Part& part : fleet_.parts()) fleet_.start(part);
  started_ = fleet_.runUntilReady(30 * kSecondUs);
  operators_[0]->pushRoutes(true);
  operators_[0]->createEvent("night", 24LL * 3600 * kSecondUs);
  for (int i = 0; i < 200 && !operators_[0]->idle(); ++i) step(100 * kMilliUs);
  step(kSecondUs);
  fleet_.startCallers();
  step(5 * kSecondUs);
}

void Chaos::trouble() {
  const Us untilUs = fleet_.world().nowUs() + plan_.lengthUs;
  while (fleet_.world().nowUs() < untilUs) {
    const Fault fault = plan_.faults.empty() ? static_cast<Fault>(chance_.below(static_cast<std::uint64_t>(Fault::kCount)))
                                             : plan_.faults[chance_.below(plan_.faults.size())];
    cause(fault);
    step(plan_.everyUs / 4 + static_cast<Us>(chance_.below(static_cast<std::uint64_t>(plan_.everyUs))));
  }
}

void Chaos::rest() {
  // Everything heals, but for the wall clocks, which stay as wrong as they are.
  for (Undo& undo : undos_) undo.atUs = fleet_.world().nowUs();
  fleet_.world().healAll();
  step(200 * kMilliUs);
  for (Part& part : fleet_.parts()) {
    part.host->frozenUntilUs = 0;
    fleet_.start(part);
  }
  const Us untilUs = fleet_.world().nowUs() + plan_.settleUs;
  step(10 * kSecondUs);
  fleet_.stopCallers();
  while (fleet_.world().nowUs() < untilUs && !fleet_.callersDone()) step(500 * kMilliUs);
}

const std::vector<std::string>& Chaos::run() {
  boot();
  trouble();
  if (plan_.lateFault) cause(Fault::kKill);
  rest();
  judge_.conclude();
  return judge_.faults();
}

}  // namespace stonemount
