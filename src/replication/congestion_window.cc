#include "replication/congestion_window.h"

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kIdleUs = 3 * kSecondUs;  // after so long the path may be another (RFC 7661 names minutes)
}  // namespace

void CongestionWindow::set(std::size_t bytes) { bytes_ = std::clamp(bytes, limits_.leastBytes, limits_.mostBytes); }

void CongestionWindow::delivered(std::size_t bytes, Us sentUs, Us nowUs) {
  if (nowUs - deliveredUs_ > kIdleUs) {
    set(std::min(bytes_, limits_.initialBytes));
    baseUs_ = -1;
  }
  deliveredUs_ = nowUs;
  const Us delayUs = std::max<Us>(nowUs - sentUs, 1);
  shortestUs_ = shortestUs_ < 0 ? delayUs : std::min(shortestUs_, delayUs);
  baseUs_ = baseUs_ < 0 ? delayUs : std::min(baseUs_, delayUs);
  roundBytes_ += bytes;
  if (sentUs >= roundBeganUs_) adjust(nowUs);
}

void CongestionWindow::lost(Us nowUs) {
  set(bytes_ / 2);
  beginRound(nowUs);
}

void CongestionWindow::beginRound(Us nowUs) {
  roundBeganUs_ = nowUs;
  shortestUs_ = -1;
  roundBytes_ = 0;
  limited_ = false;
}

// Above the target it shrinks to what would have met it, by half at most; below it grows by what was delivered, the
// less the nearer it is to the target.
void CongestionWindow::adjust(Us nowUs) {
  const Us targetUs = limits_.targetUs + (limits_.yields ? baseUs_ : 0);
  const double ratio = static_cast<double>(targetUs) / static_cast<double>(shortestUs_);
  if (ratio < 1)
    set(static_cast<std::size_t>(static_cast<double>(bytes_) * std::max(ratio, 0.5)));
  else if (limited_)
    set(bytes_ + static_cast<std::size_t>(static_cast<double>(roundBytes_) * (1 - 1 / ratio)));
  beginRound(nowUs);
}

}  // namespace stonemount
