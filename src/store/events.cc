// Events: when they start and close, and when they are forgotten (design.md 7.4).
#include "store/store_machine.h"

namespace stonemount {

StoreVerdict StoreMachine::run(const CreateEvent& command) {
  StoreVerdict verdict;
  verdict.name = command.name;
  auto found = state_.events.find(command.name);
  if (found != state_.events.end()) {
    const KeptEvent& kept = found->second;
    const bool same = kept.startUs == command.startUs && kept.closeUs == command.closeUs &&
                      kept.quota == command.quota && kept.windowUs == command.windowUs;
    verdict.outcome = same ? StoreOutcome::kAgain : StoreOutcome::kConflict;
    return verdict;
  }
  KeptEvent event;
  event.name = command.name;
  event.startUs = command.startUs;
  event.closeUs = command.closeUs;
  event.quota = command.quota;
  event.windowUs = command.windowUs;
  judgeEvent(event, command.wallUs);
  state_.events.emplace(command.name, std::move(event));
  return verdict;
}

// The start is a fact that is written once; most wall clocks may say it, or the cut and its lag when
// they last agreed. The close is an expiry and goes by the cut: what most clocks say is allowed for,
// whichever way the cut is off, and where they are put right later it may move on, never back
// (design.md 8.5).
void StoreMachine::judgeEvent(KeptEvent& event, Us wallUs) {
  const CutState& cut = state_.cut;
  if (event.closed || !cut.anchored) return;
  const Us lagUs = wallUs != 0 ? wallUs - fromUs_ : cut.lagUs;
  if (!event.anchored)
    event.closeCutUs = event.closeUs - lagUs;
  else if (wallUs != 0)
    event.closeCutUs = std::max(event.closeCutUs, event.closeUs - lagUs);
  event.anchored = true;
  if (!event.open) event.open = fromUs_ + lagUs >= event.startUs;
  event.closed = cut.cutUs >= event.closeCutUs;
  if (event.closed) termNoted.emit({Term::kClose, event.name, event.closeUs, true});
}

StoreVerdict StoreMachine::run(const CloseEvent& command) {
  StoreVerdict verdict;
  verdict.name = command.name;
  auto found = state_.events.find(command.name);
  if (found == state_.events.end())
    verdict.outcome = StoreOutcome::kUnknownEvent;
  else if (std::exchange(found->second.closed, true))
    verdict.outcome = StoreOutcome::kAgain;
  return verdict;
}

void StoreMachine::collect() {
  const Us cutUs = state_.cut.cutUs;
  collectLots();
  // An event goes once no key of it is remembered, a horizon after its close.
  for (auto event = state_.events.begin(); event != state_.events.end();) {
    const std::pair<std::string, std::string> first(event->first, "");
    auto key = state_.tombstones.lower_bound(first);
    auto lot = state_.lotByKey.lower_bound(first);
    const bool named = (key != state_.tombstones.end() && key->first.first == event->first) ||
                       (lot != state_.lotByKey.end() && lot->first.first == event->first);
    const bool over = event->second.closed && event->second.closeCutUs + plan_.gauge.horizonUs <= cutUs;
    if (named || !over)
      ++event;
    else
      event = state_.events.erase(event);
  }
}

}  // namespace stonemount
