// The control state as a snapshot keeps it: format 5; formats 4 and 3 are still read (design.md 7.1).
#include "control/control_machine.h"

namespace stonemount {

namespace {
constexpr std::uint8_t kStateFormat = 5;
constexpr std::uint8_t kFormatFour = 4;   // at the same place in the bytes, and shorter
constexpr std::uint8_t kFormatThree = 3;  // the same
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
  STONEMOUNT_PACK(format, state, platformVersion, history, taken, orders, forgotten, restored, quotas)
};
struct SavedFour {
  std::uint8_t format = kFormatFour;
  ControlState state;
  std::uint64_t platformVersion = 0;
  std::deque<ConfigStep> history;
  std::deque<TakenRequest> taken;
  MemberOrders orders;
  Revision forgotten = 0;
  Revision restored = 0;
  STONEMOUNT_PACK(format, state, platformVersion, history, taken, orders, forgotten, restored)
};
struct SavedThree {
  std::uint8_t format = kFormatThree;
  ControlState state;
  std::uint64_t platformVersion = 0;
  std::deque<ConfigStep> history;
  std::deque<TakenRequest> taken;
  MemberOrders orders;
  STONEMOUNT_PACK(format, state, platformVersion, history, taken, orders)
};

// What both formats before have in common; no count of quotas: every bucket is full.
template <class Before>
Saved upgraded(Before before, Revision forgotten, Revision restored) {
  return {kStateFormat,
          std::move(before.state),
          before.platformVersion,
          std::move(before.history),
          std::move(before.taken),
          std::move(before.orders),
          forgotten,
          restored,
          QuotaLedger()};
}

std::optional<Saved> readFour(const Bytes& state) {
  auto read = unpack<SavedFour>(state);
  auto* before = std::get_if<SavedFour>(&read);
  if (before == nullptr || before->format != kFormatFour) return std::nullopt;
  const Revision forgotten = before->forgotten;
  const Revision restored = before->restored;
  return upgraded(std::move(*before), forgotten, restored);
}

// It did not say which versions it had forgotten: all before the oldest that it still knew.
std::optional<Saved> readThree(const Bytes& state) {
  auto read = unpack<SavedThree>(state);
  auto* before = std::get_if<SavedThree>(&read);
  if (before == nullptr || before->format != kFormatThree) return std::nullopt;
  const Revision forgotten =
      before->taken.empty() ? before->state.configRevision() : before->taken.front().revision - 1;
  return upgraded(std::move(*before), forgotten, 0);
}

std::optional<Saved> readState(const Bytes& state) {
  auto read = unpack<Saved>(state);
  auto* saved = std::get_if<Saved>(&read);
  if (saved != nullptr && saved->format == kStateFormat) return std::move(*saved);
  std::optional<Saved> before = readFour(state);
  return before ? std::move(before) : readThree(state);
}
}  // namespace

Bytes ControlMachine::save() const {
  return pack(Saved{kStateFormat, state_, platformVersion_, history_, taken_.kept(), orders_, taken_.forgotten(),
                    taken_.restored(), quotas_});
}

bool ControlMachine::load(const Bytes& state) {
  std::optional<Saved> saved = readState(state);
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
