#include "node/lot_delivery.h"

#include <algorithm>

#include "store/stored_text.h"

namespace stonemount {

namespace {
constexpr Us kDeliverUs = 3 * kSecondUs;
constexpr Us kAgainUs = 150 * kMilliUs;
constexpr std::size_t kDeliverBytes = 64 << 10;
constexpr std::size_t kDeliverRuns = 256;
}  // namespace

void LotDelivery::seal(SealedRun run) {
  run.answer = storedText(run.answer);
  toSeal_.push_back(std::move(run));
  sealedUs_.push_back(ports_.clock.monoUs());
  event_.notify();
}

void LotDelivery::drop(DroppedRun run) {
  toDrop_.push_back(std::move(run));
  event_.notify();
}

void LotDelivery::noteDelivered(std::size_t sealed) {
  const Us nowUs = ports_.clock.monoUs();
  for (std::size_t i = 0; i < sealed; ++i) {
    times_.note(ItemStage::kDelivery, nowUs - sealedUs_.front());
    sealedUs_.pop_front();
  }
}

// A part at a time: all that gathered while the store was away may be more than one record holds.
Task LotDelivery::deliver() {
  while (true) {
    EventWait hear(ports_.timers, event_, kSecondUs);
    co_await hear;
    if (gatherUs_ > 0 && !idle()) {
      Pause gathering(ports_.timers, gatherUs_);
      co_await gathering;
    }
    while (!idle()) {
      std::size_t sealed = 0;
      for (std::size_t bytes = 0; sealed < toSeal_.size(); ++sealed) {
        bytes += toSeal_[sealed].answer.size();
        if (sealed > 0 && bytes > kDeliverBytes) break;  // a long one goes alone
      }
      const std::size_t dropped = sealed > 0 ? 0 : std::min(toDrop_.size(), kDeliverRuns);
      StoreCommand command;
      if (sealed > 0)
        command = SealRuns{{toSeal_.begin(), toSeal_.begin() + static_cast<std::ptrdiff_t>(sealed)}, false};
      else
        command = DropRuns{{toDrop_.begin(), toDrop_.begin() + static_cast<std::ptrdiff_t>(dropped)}, false};
      Job<ChainAnswer> telling = store_.submit(pack(command), kDeliverUs);
      ChainAnswer answer = co_await telling;
      auto* failure = std::get_if<ChainFailure>(&answer);
      if (failure == nullptr) {
        noteDelivered(sealed);
        toSeal_.erase(toSeal_.begin(), toSeal_.begin() + static_cast<std::ptrdiff_t>(sealed));
        toDrop_.erase(toDrop_.begin(), toDrop_.begin() + static_cast<std::ptrdiff_t>(dropped));
        continue;
      }
      if (failure->trouble == ChainError::kTooLong && sealed == 1) {
        // No record could ever hold it: the item ends, and its caller is told why.
        toSeal_.front().refused = true;
        toSeal_.front().answer = "{\"verdict\":\"answer_too_long\"}";
        continue;
      }
      Pause pause(ports_.timers, kAgainUs);
      co_await pause;
    }
  }
}

}  // namespace stonemount
