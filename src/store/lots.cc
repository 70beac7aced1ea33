// Lots: handed in, ended, their results collected (design.md 7.4).
#include <absl/strings/str_cat.h>

#include "store/store_machine.h"

namespace stonemount {

namespace {
// A standing lot is known by the name that its caller gave it.
std::pair<std::string, std::string> keyOf(const SubmitLot& command) {
  return {command.event, command.standing() ? command.name : command.key};
}

std::uint64_t tokensOf(const SubmitLot& command) {
  std::uint64_t tokens = 0;
  for (const LotItem& item : command.items) tokens += item.tokens;
  return tokens;
}
}  // namespace

std::optional<StoreVerdict> StoreMachine::findKnown(const SubmitLot& command) const {
  const std::pair<std::string, std::string> key = keyOf(command);
  StoreVerdict verdict;
  auto tombstone = state_.tombstones.find(key);
  if (tombstone != state_.tombstones.end()) {
    verdict.name = tombstone->second.lot;
    verdict.outcome = tombstone->second.digest == command.digest ? StoreOutcome::kAgain : StoreOutcome::kConflict;
    return verdict;
  }
  auto known = state_.lotByKey.find(key);
  if (known == state_.lotByKey.end()) return std::nullopt;
  verdict.name = known->second;
  const bool same = state_.lots.at(known->second).digest == command.digest;
  verdict.outcome = same ? StoreOutcome::kAgain : StoreOutcome::kConflict;
  return verdict;
}

// Counted here, where all lots are decided in one order, and nowhere else: so the bound holds whichever nodes take lots
// in, and whatever they know of each other.
StoreVerdict StoreMachine::run(const SubmitLotWithin& command) {
  const std::uint64_t waiting = command.scope.empty() ? index_.queuedTokens(command.lot.route)
                                                      : index_.queuedTokensWithin(command.scope, command.nested);
  const bool fits = command.mostQueuedTokens == 0 || waiting + tokensOf(command.lot) <= command.mostQueuedTokens;
  if (std::optional<StoreVerdict> known = findKnown(command.lot)) return *known;
  if (fits) return takeNew(command.lot);
  StoreVerdict verdict;
  verdict.outcome = StoreOutcome::kOverQuota;
  return verdict;
}

StoreVerdict StoreMachine::run(const SubmitLot& command) {
  if (std::optional<StoreVerdict> known = findKnown(command)) return *known;
  return takeNew(command);
}

StoreVerdict StoreMachine::takeNew(const SubmitLot& command) {
  StoreVerdict verdict;
  const std::pair<std::string, std::string> key = keyOf(command);
  if (!command.standing()) {
    auto event = state_.events.find(command.event);
    if (event == state_.events.end()) {
      verdict.outcome = StoreOutcome::kUnknownEvent;
      return verdict;
    }
    judgeEvent(event->second, command.wallUs);
    if (event->second.closed || !event->second.open) {
      verdict.outcome = event->second.closed ? StoreOutcome::kClosed : StoreOutcome::kNotOpen;
      return verdict;
    }
    ++event->second.lots;
  } else if (command.name.empty() || state_.lots.contains(command.name)) {
    verdict.outcome = StoreOutcome::kConflict;  // the name of a lot that an event holds
    return verdict;
  }
  KeptLot lot;
  lot.name = command.standing() ? command.name : absl::StrCat("lot-", ++state_.lastLot);
  while (!command.standing() && state_.lots.contains(lot.name)) lot.name = absl::StrCat("lot-", ++state_.lastLot);
  lot.event = command.event;
  lot.key = key.second;
  lot.route = command.route;
  lot.host = command.host;
  lot.digest = command.digest;
  lot.attempts = command.attempts;
  lot.retentionUs = command.retentionUs;
  lot.keepUs = command.keepUs;
  lot.keyUs = command.keyUs;
  lot.createdUs = fromUs_;
  for (const LotItem& given : command.items) {
    KeptItem item;
    item.given = given;
    lot.waiting.insert(static_cast<std::uint32_t>(lot.items.size()));
    lot.items.push_back(std::move(item));
  }
  verdict.name = lot.name;
  state_.lotByKey[key] = lot.name;
  termNoted.emit({Term::kKey, lot.event + "/" + lot.key, lot.keyUs > 0 ? lot.keyUs : plan_.gauge.horizonUs, false});
  if (lot.retentionUs > 0) termNoted.emit({Term::kRetention, lot.name, lot.retentionUs, false});
  KeptLot& kept = state_.lots.emplace(lot.name, std::move(lot)).first->second;
  grantAtOnce(kept, command, verdict);
  if (!kept.standing() && !kept.waiting.empty()) ++state_.workVersion;
  noteTerminal(kept);
  return verdict;
}

// The node that took it in begins at once what it has places for: as if it had asked for them after it, but
// without the way there and back.
void StoreMachine::grantAtOnce(KeptLot& lot, const SubmitLot& command, StoreVerdict& verdict) {
  if (!lot.standing() || !command.node.set() || !certain(command.certainHere)) return;
  for (std::uint32_t place = 0; place < lot.items.size() && verdict.granted.size() < command.atOnce; ++place) {
    auto charged = state_.charged.find(command.node);
    if (charged != state_.charged.end() && charged->second >= command.slotCap) break;
    startRun(lot, place, command.node, command.licenceUs, command.node);
    verdict.granted.push_back({place, lot.items[place].run, {}});
  }
}

StoreVerdict StoreMachine::run(const EndLot& command) {
  StoreVerdict verdict;
  verdict.name = command.lot;
  auto found = state_.lots.find(command.lot);
  if (found == state_.lots.end()) {
    const bool gone = state_.tombstones.contains({"", command.lot});
    verdict.outcome = gone ? StoreOutcome::kAgain : StoreOutcome::kUnknownLot;
    return verdict;
  }
  KeptLot& lot = found->second;
  if (std::exchange(lot.ended, true))
    verdict.outcome = StoreOutcome::kAgain;
  else if (!lot.standing())
    ++state_.workVersion;
  // Nothing of a standing lot is owed after its end but what is listed.
  for (KeptItem& item : lot.items)
    if (lot.standing() && !item.final()) item.given.body = Bytes();
  noteTerminal(lot);
  return verdict;
}

void StoreMachine::noteWaiting(const KeptLot& lot) {
  if (lot.standing() || lot.ended || lot.waiting.empty())
    state_.openLots.erase({lot.createdUs, lot.name});
  else
    state_.openLots.insert({lot.createdUs, lot.name});
  index_.note(lot, keepOf(lot), fromUs_);
}

// Called after every change of a lot.
void StoreMachine::noteTerminal(KeptLot& lot) {
  const bool newly = lot.terminalUs == 0 && lot.finished();
  if (newly) lot.terminalUs = std::max<Us>(fromUs_, 1);
  noteWaiting(lot);
  if (!newly) return;
  termNoted.emit({Term::kResults, lot.name, keepOf(lot), false});
  termNoted.emit({Term::kKey, lot.event + "/" + lot.key, lot.keyUs > 0 ? lot.keyUs : plan_.keyLifetimeUs, false});
}

// What is not final when the retention of its lot is over is given up, by the cut alone.
void StoreMachine::retire() {
  while (std::optional<std::string> due = index_.dueRetention(state_.cut.cutUs)) {
    KeptLot& lot = state_.lots.at(*due);
    termNoted.emit({Term::kRetention, lot.name, 0, true});
    lot.retentionUs = 0;
    for (std::uint32_t place = 0; place < lot.items.size(); ++place)
      if (!lot.items[place].final()) endItem(lot, place, ItemState::kRefused, Bytes(), true);
    noteTerminal(lot);
  }
}

void StoreMachine::dropBodies() {
  while (std::optional<StoreIndex::ItemName> due = index_.takeDueBody(state_.cut.cutUs)) {
    auto lot = state_.lots.find(due->first);
    if (lot != state_.lots.end())
      lot->second.items[due->second].given = LotItem{lot->second.items[due->second].given.id};
  }
}

// Results go after their retention; the key stays as a tombstone until nobody may send it again.
void StoreMachine::collectLots() {
  const Us cutUs = state_.cut.cutUs;
  while (std::optional<std::string> due = index_.dueResults(cutUs)) {
    const KeptLot& kept = state_.lots.at(*due);
    Tombstone tombstone;
    tombstone.lot = kept.name;
    tombstone.digest = kept.digest;
    tombstone.keepUntilUs = std::max(kept.createdUs + (kept.keyUs > 0 ? kept.keyUs : plan_.gauge.horizonUs),
                                     kept.terminalUs + (kept.keyUs > 0 ? kept.keyUs : plan_.keyLifetimeUs));
    termNoted.emit({Term::kResults, kept.name, 0, true});
    const std::pair<std::string, std::string> key(kept.event, kept.key);
    state_.tombstones[key] = tombstone;
    index_.noteTombstone(key, tombstone.keepUntilUs);
    state_.lotByKey.erase(key);
    index_.forget(*due);
    state_.lots.erase(*due);
  }
  while (std::optional<StoreIndex::Key> due = index_.takeDueTombstone(cutUs)) {
    termNoted.emit({Term::kKey, due->first + "/" + due->second, 0, true});
    state_.tombstones.erase(*due);
  }
}

}  // namespace stonemount
