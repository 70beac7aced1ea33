// The control state as a snapshot keeps it: format 5; formats 3 and 4 are still read (design.md 7.1).
#include "control/control_machine.h"

namespace stonemount {

namespace {
constexpr std::uint8_t kStateFormat = 5;
// The first byte tells the format.
constexpr std::uint8_t kFormatWithoutTenants = 4;
constexpr std::uint8_t kFormatWithoutForgotten = 3;

struct Saved {
  std::uint8_t format = kStateFormat;
  ControlState state;
  std::uint64_t platformVersion = 0;
  std::deque<ConfigStep> history;
  std::deque<TakenRequest> taken;
  MemberOrders orders;
  Revision forgotten = 0;
  Revision restored = 0;
  QuotaLedger quotas;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(format, state, platformVersion, history, taken, orders, forgotten, restored);
    state.serializeTenants(archive);
    archive(quotas);
  }
};

struct StepWithoutTenants {
  Revision revision = 0;
  Revision base = 0;
  std::string note;
  std::vector<RouteChange> changes;
  std::vector<PoolChange> pools;
  ItemChange<CallerLimits> limits;
  ItemChange<std::string> given;
  STONEMOUNT_PACK(revision, base, note, changes, pools, limits, given)
  ConfigStep upgraded() const { return {revision, base, note, changes, pools, limits, given}; }
};
struct SavedBefore {
  std::uint8_t format = kFormatWithoutTenants;
  ControlState state;
  std::uint64_t platformVersion = 0;
  std::deque<StepWithoutTenants> history;
  std::deque<TakenRequest> taken;
  MemberOrders orders;
  Revision forgotten = 0;
  Revision restored = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(format, state, platformVersion, history, taken, orders);
    if (format == kFormatWithoutTenants) archive(forgotten, restored);
  }
};

// The oldest format did not say which versions it had forgotten: all before the oldest that it still knew.
Revision forgottenBy(const SavedBefore& before) {
  if (before.format == kFormatWithoutTenants) return before.forgotten;
  return before.taken.empty() ? before.state.configRevision() : before.taken.front().revision - 1;
}

Saved upgraded(SavedBefore before) {
  Saved saved;
  saved.forgotten = forgottenBy(before);
  saved.restored = before.restored;
  saved.state = std::move(before.state);
  saved.platformVersion = before.platformVersion;
  for (const StepWithoutTenants& step : before.history) saved.history.push_back(step.upgraded());
  saved.taken = std::move(before.taken);
  saved.orders = std::move(before.orders);
  return saved;
}

std::optional<Saved> readSaved(const Bytes& bytes) {
  const auto format = bytes.empty() ? std::uint8_t{0} : static_cast<std::uint8_t>(bytes.front());
  if (format == kStateFormat) {
    auto read = unpack<Saved>(bytes);
    if (auto* saved = std::get_if<Saved>(&read)) return std::move(*saved);
  } else if (format == kFormatWithoutTenants || format == kFormatWithoutForgotten) {
    auto read = unpack<SavedBefore>(bytes);
    if (auto* before = std::get_if<SavedBefore>(&read)) return upgraded(std::move(*before));
  }
  return std::nullopt;
}
}  // namespace

Bytes ControlMachine::save() const {
  return pack(Saved{kStateFormat, state_, platformVersion_, history_, taken_.kept(), orders_, taken_.forgotten(),
                    taken_.restored(), quotas_});
}

bool ControlMachine::load(const Bytes& bytes) {
  std::optional<Saved> saved = readSaved(bytes);
  if (!saved) return false;
  state_ = std::move(saved->state);
  platformVersion_ = saved->platformVersion;
  history_ = std::move(saved->history);
  taken_.load(std::move(saved->taken), saved->forgotten, saved->restored);
  orders_ = std::move(saved->orders);
  quotas_ = std::move(saved->quotas);
  packedNews_.clear();
  return true;
}

}  // namespace stonemount
