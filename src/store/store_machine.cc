#include "store/store_machine.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

namespace {
constexpr std::uint8_t kStateFormat = 3;
constexpr std::size_t kLeastAnswer = 256;
struct SavedOut {
  const StoreState& state;
  template <class Archive>
  void save(Archive& archive) const {
    archive(kStateFormat, state);
  }
};
struct SavedIn {
  std::uint8_t format = 0;
  StoreState state;
  STONEMOUNT_PACK(format, state)
};
}  // namespace

// What the head knows and no other member can: its clocks, and whether the sampler's session lives.
StampVerdict StoreMachine::stamp(const Bytes& bytes, const HeadSight& sight) {
  auto read = unpack<StoreCommand>(bytes);
  auto* command = std::get_if<StoreCommand>(&read);
  if (command == nullptr) return StampRefused{pack(StoreVerdict{StoreOutcome::kUnreadable})};
  const bool live = sessions_.live(state_.cut.session, sight);
  if (auto* grant = std::get_if<GrantRuns>(command)) {
    if (!certain(live)) return StampRefused{pack(StoreVerdict{StoreOutcome::kUncertain})};
    grant->certainHere = live;
  } else if (auto* claim = std::get_if<ClaimRuns>(command)) {
    if (!certain(live)) return StampRefused{pack(ClaimVerdict{StoreOutcome::kUncertain})};
    claim->certainHere = live;
  } else if (auto* seal = std::get_if<SealRuns>(command)) {
    seal->certainHere = live;
  } else if (auto* drop = std::get_if<DropRuns>(command)) {
    drop->certainHere = live;
  } else if (auto* sweep = std::get_if<Sweep>(command)) {
    sweep->certainHere = live;
    sweep->wallUs = sessions_.wallNowUs(state_.cut.session, sight);
  } else if (auto* unrouted = std::get_if<ReportUnrouted>(command)) {
    unrouted->certainHere = live;
  } else if (auto* event = std::get_if<CreateEvent>(command)) {
    event->wallUs = sessions_.wallNowUs(state_.cut.session, sight);
  } else if (auto* lot = std::get_if<SubmitLot>(command)) {
    stampLot(*lot, live, sight);
  } else if (auto* within = std::get_if<SubmitLotWithin>(command)) {
    stampLot(within->lot, live, sight);
  } else if (auto* lock = std::get_if<LockWish>(command)) {
    if (!sessions_.stampLock(*lock, sight)) return StampRefused{pack(StoreVerdict{StoreOutcome::kLost})};
  } else if (auto* proposal = std::get_if<CutProposal>(command)) {
    if (!sessions_.stampProposal(*proposal, sight)) return StampRefused{pack(StoreVerdict{StoreOutcome::kLost})};
  }
  return Stamped{pack(StoreEntry{sessions_.sinceSampleUs(state_.cut.session, sight), std::move(*command)})};
}

void StoreMachine::stampLot(SubmitLot& lot, bool live, const HeadSight& sight) const {
  lot.certainHere = live;
  lot.wallUs = sessions_.wallNowUs(state_.cut.session, sight);
}

Bytes StoreMachine::apply(const Bytes& bytes) {
  auto read = unpack<StoreEntry>(bytes);
  auto* entry = std::get_if<StoreEntry>(&read);
  if (entry == nullptr) return pack(StoreVerdict{StoreOutcome::kUnreadable});
  fromUs_ = state_.cut.cutUs + std::max<Us>(0, entry->agoUs);
  return std::visit([this](const auto& command) { return pack(run(command)); }, entry->command);
}

// Nothing here could expire, so the cut may start at wall time (design.md 8.4).
bool StoreMachine::nothingHeld() const {
  return state_.events.empty() && state_.lots.empty() && state_.tombstones.empty() && state_.charged.empty();
}

StoreVerdict StoreMachine::run(const LockWish& command) {
  state_.cut.takeLock(command);
  ++state_.workVersion;
  StoreVerdict verdict;
  verdict.epoch = state_.cut.epoch;
  return verdict;
}

StoreVerdict StoreMachine::run(const CutProposal& command) {
  const bool before = state_.cut.certain;
  StoreVerdict verdict;
  if (!state_.cut.propose(command, plan_.gauge, nothingHeld())) verdict.outcome = StoreOutcome::kLost;
  verdict.epoch = state_.cut.epoch;
  if (before != state_.cut.certain) ++state_.workVersion;
  return verdict;
}

StoreVerdict StoreMachine::run(const DoubtCut& command) {
  if (command.epoch == state_.cut.epoch) state_.cut.doubtBecause(Doubt::kSessionLost);
  return {};
}

// A lot is long, and many are refused where room is short: it is not read for this.
bool StoreMachine::enlarges(const Bytes& bytes) const {
  static const std::size_t lot = StoreCommand(SubmitLot()).index();
  static const std::size_t within = StoreCommand(SubmitLotWithin()).index();
  static const std::size_t event = StoreCommand(CreateEvent()).index();
  const std::optional<std::size_t> kind = packedAlternative(bytes);
  return kind == lot || kind == within || kind == event;
}

// Answers of items that are accepted and not over: as long as those kept are, on the whole.
std::size_t StoreMachine::owedBytes() const {
  const std::size_t sealed = index_.sealedItems();
  return index_.openItems() * std::max<std::size_t>(kLeastAnswer, sealed > 0 ? index_.answerBytes() / sealed : 0);
}

std::size_t StoreMachine::owedValueBytes() const {
  const std::size_t sealed = index_.sealedItems();
  const bool stoodBeside = sealed > 0 && index_.answerBytes() / sealed >= kLeastValueBytes;
  return stoodBeside ? owedBytes() : 0;
}

Bytes StoreMachine::save() const { return pack(SavedOut{state_}); }

SavedState StoreMachine::saveBeside() const {
  SavedState saved = packBeside(SavedOut{state_}, savedBytes_ + savedBytes_ / 16);
  savedBytes_ = saved.bytes.size();
  return saved;
}

bool StoreMachine::load(const Bytes& bytes) { return loadBeside({bytes, {}}); }

bool StoreMachine::loadBeside(const SavedState& state) {
  auto read = unpack<SavedIn>(state.bytes, &state.values);
  auto* saved = std::get_if<SavedIn>(&read);
  if (saved == nullptr || saved->format != kStateFormat) return false;
  state_ = std::move(saved->state);
  index_.rebuild(state_, plan_.retentionUs);
  return true;
}

}  // namespace stonemount
