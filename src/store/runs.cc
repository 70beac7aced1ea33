// Runs of lot items: licences, slots, seals, expiry (design.md 7.5).
#include <absl/strings/str_cat.h>

#include "store/store_machine.h"

namespace stonemount {

namespace {
constexpr Us kLateUs = 10 * kSecondUs;
}

KeptItem* StoreMachine::findItem(const RunName& run, KeptLot*& lot) {
  auto found = state_.lots.find(run.lot);
  if (found == state_.lots.end() || run.item >= found->second.items.size()) return nullptr;
  lot = &found->second;
  return &lot->items[run.item];
}

bool StoreMachine::takeQuota(const std::string& name) {
  auto found = state_.events.find(name);
  if (found == state_.events.end() || found->second.quota == 0) return true;
  KeptEvent& event = found->second;
  if (state_.cut.cutUs >= event.windowEndUs) {  // a quota window, too, ends by the cut alone
    termNoted.emit({Term::kQuota, name, 0, true});
    termNoted.emit({Term::kQuota, name, event.windowUs, false});
    event.windowEndUs = fromUs_ + event.windowUs;
    event.used = 0;
  }
  if (event.used >= event.quota) return false;
  ++event.used;
  return true;
}

// New work with a deadline waits while the cut is uncertain; it is neither lost nor refused.
StoreVerdict StoreMachine::run(const GrantRuns& command) {
  StoreVerdict verdict;
  if (!certain(command.certainHere)) {
    verdict.outcome = StoreOutcome::kUncertain;
    return verdict;
  }
  for (std::uint32_t i = 0; i < command.wishes.size(); ++i) {
    const GrantWish& wish = command.wishes[i];
    KeptLot* lot = nullptr;
    KeptItem* item = findItem({wish.lot, wish.item, 0}, lot);
    if (item == nullptr || lot->ended || item->state != ItemState::kWaiting) continue;
    auto charged = state_.charged.find(wish.worker);
    if (charged != state_.charged.end() && charged->second >= wish.slotCap) continue;
    if (!takeQuota(lot->event)) continue;
    startRun(*lot, wish.item, command.node, command.licenceUs, wish.worker);
    verdict.granted.push_back({i, item->run, item->given});
  }
  return verdict;
}

void StoreMachine::startRun(KeptLot& lot, std::uint32_t place, const Address& node, Us licenceUs,
                            const Address& worker) {
  KeptItem& item = lot.items[place];
  STONEMOUNT_INVARIANT(item.state == ItemState::kWaiting && !lot.ended);
  item.state = ItemState::kRunning;
  ++item.run;
  item.node = node;
  item.worker = worker;
  item.limitUs = fromUs_ + licenceUs;
  index_.noteLimit(item.limitUs);
  termNoted.emit({Term::kLicence, absl::StrCat(lot.name, ".", place, ".", item.run), licenceUs, false});
  lot.waiting.erase(place);
  ++lot.running;
  ++state_.charged[worker];
  state_.runningItems.insert({lot.name, place});
  noteWaiting(lot);
}

void StoreMachine::releaseSlot(const Address& worker, bool isCertain) {
  if (!isCertain) {
    state_.pendingSlots.push_back(worker);
    return;
  }
  STONEMOUNT_INVARIANT(state_.cut.certain);  // until then a freed slot stays charged
  auto found = state_.charged.find(worker);
  STONEMOUNT_INVARIANT(found != state_.charged.end() && found->second > 0);
  if (--found->second == 0) state_.charged.erase(found);
}

// Listed for good, whatever becomes of the lot: its place in the list and its content never change.
void StoreMachine::endItem(KeptLot& lot, std::uint32_t place, ItemState state, Bytes answer, bool isCertain) {
  KeptItem& item = lot.items[place];
  STONEMOUNT_INVARIANT(!item.final());
  if (item.state == ItemState::kRunning) {
    releaseSlot(item.worker, isCertain);
    state_.runningItems.erase({lot.name, place});
    --lot.running;
  } else {
    lot.waiting.erase(place);
  }
  item.state = state;
  item.finalUs = state_.cut.cutUs;
  item.answer = SharedBytes(std::move(answer));
  lot.answerBytes += item.answer.size();
  lot.listed.push_back(place);
  state == ItemState::kSealed ? ++lot.sealed : ++lot.refused;
  STONEMOUNT_INVARIANT(lot.listed.size() == lot.sealed + lot.refused);
  index_.noteDone(lot, place);
  index_.noteFinal(lot, place);
}

// What merely never began, or is not known to have, is no reason to give an item up (design.md 7.5). Of a
// standing lot only what a worker called its own failure is one.
void StoreMachine::stopRun(KeptLot& lot, std::uint32_t place, bool isCertain, const DroppedRun& how) {
  KeptItem& item = lot.items[place];
  STONEMOUNT_INVARIANT(item.state == ItemState::kRunning);
  item.spent += how.began || how.failed ? 1 : 0;
  item.failed += how.failed ? 1 : 0;
  const bool tooOften = lot.attempts > 0 && item.failed >= lot.attempts;
  if (tooOften || (!lot.standing() && item.spent >= plan_.mostRuns)) {
    endItem(lot, place, ItemState::kRefused, lot.standing() ? "" : "{\"verdict\":\"runs_spent\"}", isCertain);
  } else {
    releaseSlot(item.worker, isCertain);
    state_.runningItems.erase({lot.name, place});
    --lot.running;
    item.state = ItemState::kWaiting;
    lot.waiting.insert(place);
    if (!lot.standing()) ++state_.workVersion;
  }
  noteTerminal(lot);
}

// The first sealed answer wins, whichever run brought it, and never changes.
void StoreMachine::sealItem(KeptLot& lot, std::uint32_t place, const SealedRun& sealed, bool isCertain) {
  KeptItem& item = lot.items[place];
  if (item.final()) return;
  if (sealed.run.run == 0 || sealed.run.run > item.run) return;  // never granted
  item.run = sealed.run.run;
  endItem(lot, place, sealed.refused ? ItemState::kRefused : ItemState::kSealed, sealed.answer, isCertain);
  noteTerminal(lot);
}

StoreVerdict StoreMachine::run(const RenewRuns& command) {
  StoreVerdict verdict;
  for (std::uint32_t i = 0; i < command.runs.size(); ++i) {
    const RunName& run = command.runs[i];
    KeptLot* lot = nullptr;
    KeptItem* item = findItem(run, lot);
    const bool counts = item != nullptr && item->state == ItemState::kRunning && item->run == run.run;
    // Of one whose licence ran out, but that nobody has begun anew, the answer is still wanted.
    const bool wanted = item != nullptr && !lot->ended && !item->final() && item->run == run.run;
    if (!wanted) verdict.over.push_back(i);  // whoever runs it still may end it
    if (!counts) continue;
    item->limitUs = renewedLimit(item->limitUs, fromUs_, command.licenceUs);
    termNoted.emit({Term::kLicence, absl::StrCat(run.lot, ".", run.item, ".", run.run), command.licenceUs, false});
  }
  return verdict;
}

StoreVerdict StoreMachine::run(const SealRuns& command) {
  for (const SealedRun& sealed : command.runs) {
    KeptLot* lot = nullptr;
    if (findItem(sealed.run, lot) != nullptr) sealItem(*lot, sealed.run.item, sealed, certain(command.certainHere));
  }
  return {};
}

StoreVerdict StoreMachine::run(const DropRuns& command) {
  for (const DroppedRun& dropped : command.runs) {
    KeptLot* lot = nullptr;
    KeptItem* item = findItem(dropped.run, lot);
    if (item == nullptr || item->state != ItemState::kRunning || item->run != dropped.run.run) continue;
    stopRun(*lot, dropped.run.item, certain(command.certainHere), dropped);
  }
  return {};
}

void StoreMachine::expireLicences() {
  if (!index_.licencesDue(state_.cut.cutUs)) return;
  index_.resetLimit();
  const std::vector<std::pair<std::string, std::uint32_t>> running(state_.runningItems.begin(),
                                                                   state_.runningItems.end());
  for (const auto& [name, place] : running) {
    KeptLot& lot = state_.lots.at(name);
    const Us limitUs = lot.items[place].limitUs;
    if (limitUs > state_.cut.cutUs) {
      index_.noteLimit(limitUs);
      continue;
    }
    ++state_.expired;
    termNoted.emit({Term::kLicence, absl::StrCat(name, ".", place, ".", lot.items[place].run), 0, true});
    if (limitUs + kLateUs < state_.cut.cutUs) ++state_.lateExpiries;
    stopRun(lot, place, true, DroppedRun());
  }
}

StoreVerdict StoreMachine::run(const Sweep& command) {
  StoreVerdict verdict;
  for (auto& [name, event] : state_.events) judgeEvent(event, command.wallUs);
  if (!certain(command.certainHere)) {
    verdict.outcome = StoreOutcome::kUncertain;
    if (!state_.runningItems.empty() || !state_.pendingSlots.empty()) ++state_.pausedExpiries;
    return verdict;
  }
  for (const Address& worker : std::exchange(state_.pendingSlots, {})) releaseSlot(worker, true);
  expireLicences();
  retire();
  dropBodies();
  collect();
  return verdict;
}

}  // namespace stonemount
