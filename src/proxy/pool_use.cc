#include "proxy/pool_use.h"

#include <algorithm>
#include <cmath>

namespace stonemount {

namespace {
constexpr double kNewestWeight = 1.0 / 8;   // one worker alone says little of a pool: the mean begins at 0
constexpr Us kMeanKeepsUs = 2 * kSecondUs;  // without any word the mean stands so long,
constexpr Us kMeanHalvesUs = kSecondUs;     // then counts half after each
constexpr double kFreeByRoot = 1.1;         // 0.81 of 32 slots, 0.72 of 16, 0.61 of 8
constexpr double kLeastTarget = 0.3;
constexpr double kLeastWindow = 1;
constexpr double kMostShares = 8;
constexpr double kGain = 1;
constexpr double kMostStep = 1;  // by one answer
}  // namespace

void PoolUse::told(std::uint32_t all, std::uint32_t others, std::uint32_t slots, Us nowUs) {
  const double atAll = std::max<std::uint32_t>(1, slots);
  const double rest = kept(nowUs) * (1 - kNewestWeight);
  all_ = all_ * rest + all / atAll * kNewestWeight;
  others_ = others_ * rest + others / atAll * kNewestWeight;
  toldUs_ = nowUs;
}

double PoolUse::kept(Us nowUs) const {
  if (toldUs_ < 0) return 0;
  const Us staleUs = std::max<Us>(0, nowUs - toldUs_ - kMeanKeepsUs);
  return std::exp2(-static_cast<double>(staleUs) / kMeanHalvesUs);
}

double lotTarget(std::uint32_t slots) {
  return std::max(kLeastTarget, 1 - kFreeByRoot / std::sqrt(static_cast<double>(std::max<std::uint32_t>(1, slots))));
}

std::size_t LotWindow::most(std::size_t share) const {
  return window_ < 0 ? share : static_cast<std::size_t>(std::min(window_, kMostShares * static_cast<double>(share)));
}

void LotWindow::answered(double use, double target, std::size_t share) {
  const double step = std::clamp(kGain * (1 - use / target), -kMostStep, kMostStep);
  const double before = window_ < 0 ? static_cast<double>(share) : window_;
  window_ = std::clamp(before + step, kLeastWindow, kMostShares * static_cast<double>(share));
}

}  // namespace stonemount
