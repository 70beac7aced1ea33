// The control state as a snapshot keeps it: format 4, and format 3 is still read (design.md 7.1).
#include "control/control_machine.h"

namespace stonemount {

namespace {
constexpr std::uint8_t kStateFormat = 4;
constexpr std::uint8_t kFormatBefore = 3;  // at the same place in the bytes, and shorter
struct Saved {
  std::uint8_t format = kStateFormat;
  ControlState state;
  std::uint64_t platformVersion = 0;
  std::deque<ConfigStep> history;
  std::deque<TakenRequest> taken;
  MemberOrders orders;
  Revision forgotten = 0;
  Revision restored = 0;
  STONEMOUNT_PACK(format, state, platformVersion, history, taken, orders, forgotten, restored)
};
struct SavedBefore {
  std::uint8_t format = kFormatBefore;
  ControlState state;
  std::uint64_t platformVersion = 0;
  std::deque<ConfigStep> history;
  std::deque<TakenRequest> taken;
  MemberOrders orders;
  STONEMOUNT_PACK(format, state, platformVersion, history, taken, orders)
};
}  // namespace

Bytes ControlMachine::save() const {
  return pack(Saved{kStateFormat, state_, platformVersion_, history_, taken_.kept(), orders_, taken_.forgotten(),
                    taken_.restored()});
}

bool ControlMachine::load(const Bytes& state) {
  auto read = unpack<Saved>(state);
  auto* saved = std::get_if<Saved>(&read);
  Saved upgraded;
  if (saved == nullptr) {
    auto readBefore = unpack<SavedBefore>(state);
    auto* before = std::get_if<SavedBefore>(&readBefore);
    if (before == nullptr || before->format != kFormatBefore) return false;
    // It did not say which versions it had forgotten: all before the oldest that it still knew.
    const Revision forgotten =
        before->taken.empty() ? before->state.configRevision() : before->taken.front().revision - 1;
    upgraded = {kStateFormat,
                std::move(before->state),
                before->platformVersion,
                std::move(before->history),
                std::move(before->taken),
                std::move(before->orders),
                forgotten,
                0};
    saved = &upgraded;
  }
  if (saved->format != kStateFormat) return false;
  state_ = std::move(saved->state);
  platformVersion_ = saved->platformVersion;
  history_ = std::move(saved->history);
  taken_.load(std::move(saved->taken), saved->forgotten, saved->restored);
  orders_ = std::move(saved->orders);
  packedNews_.clear();
  return true;
}

}  // namespace stonemount
