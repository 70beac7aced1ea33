// What the scheduler does for runs that it has: renews, gives back.
#include <algorithm>

#include "node/scheduler.h"

namespace stonemount {

// A task counts as renewed while its request is open at a worker that is still listed. What the store does
// not want any more is told in its answer, and ended.
Task Scheduler::renew() {
  while (true) {
    Pause pause(ports_.timers, plan_.renewUs);
    co_await pause;
    const Us nowUs = ports_.clock.monoUs();
    RenewRuns command;
    command.node = rpc_.self();
    command.licenceUs = plan_.licenceUs;
    std::vector<LotRunPtr> runs;
    for (const auto& [key, run] : running_) {
      if (nowUs - run->heardUs < plan_.renewUs) continue;  // most items are over before
      if (!(run->worker == rpc_.self() && runner_ != nullptr ? runner_->mayRenew(*run) : sealer_.mayRenew(*run)))
        continue;
      command.runs.push_back(run->name);
      runs.push_back(run);
    }
    // Sealed here but not yet told to the store: its licence matters still.
    for (const SealedRun& sealed : delivery_.undelivered()) command.runs.push_back(sealed.run);
    if (command.runs.empty()) continue;
    const Us askedUs = ports_.clock.monoUs();
    Job<ChainAnswer> sending = store_.submit(pack(StoreCommand(std::move(command))), plan_.renewUs);
    ChainAnswer answer = co_await sending;
    if (!std::holds_alternative<Bytes>(answer)) continue;
    auto read = unpack<StoreVerdict>(std::get<Bytes>(answer));
    auto* verdict = std::get_if<StoreVerdict>(&read);
    if (verdict == nullptr || verdict->outcome != StoreOutcome::kDone) continue;
    for (const LotRunPtr& run : runs) run->heardUs = askedUs;
    for (const std::uint32_t place : verdict->over) {
      if (place >= runs.size()) continue;
      ++counts_.over;
      runs[place]->heardUs = 0;
      runs[place]->over = true;
      runs[place]->knock.notify();
    }
  }
}

// The node is to stop: what is at no worker goes back at once, the rest may end until the time is up.
void Scheduler::drain() {
  if (std::exchange(draining_, true)) return;
  delivery_.hurry();
  for (const auto& [key, run] : running_) {
    run->leaving = true;
    run->knock.notify();
  }
  room_.start(endDrain());
}

Task Scheduler::endDrain() {
  Pause pause(ports_.timers, plan_.drainUs);
  co_await pause;
  for (const auto& [key, run] : running_) {
    run->over = true;
    run->knock.notify();
  }
}

}  // namespace stonemount
