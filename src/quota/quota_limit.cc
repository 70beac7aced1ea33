#include "quota/quota_limit.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

namespace {
// Of what the rule allows beyond rate x window + burst, in hundredths; what is left covers rounding.
constexpr std::int64_t kOutPercent = 55;
constexpr std::int64_t kCapPercent = 20;
// Of the overshoot, in hundredths: for a faster refill, which makes up for time and tokens forgone, and for the lag.
constexpr std::int64_t kRefillPercent = 10;
constexpr std::int64_t kLagPercent = 10;
constexpr Us kMostLagUs = 50 * kMilliUs;

// Higher limits are as good as these; sums stay within 64 bits.
constexpr std::uint64_t kMostRatePerKs = 1000 * 1000 * 1000;
constexpr std::uint64_t kMostBurst = 1000 * 1000 * 1000;

std::int64_t ratePerKsOf(const QuotaLimit& limit) {
  return static_cast<std::int64_t>(std::min(limit.ratePerKs, kMostRatePerKs));
}
std::int64_t burstMicro(const QuotaLimit& limit) {
  return static_cast<std::int64_t>(std::min(limit.burst, kMostBurst)) * kMicroTokens;
}
std::int64_t baseMicro(const QuotaLimit& limit, const QuotaBounds& bounds) {
  return ratePerKsOf(limit) * bounds.windowUs / 1000 + burstMicro(limit);
}
}  // namespace

std::int64_t quotaAllowedMicro(const QuotaLimit& limit, const QuotaBounds& bounds) {
  const std::int64_t base = baseMicro(limit, bounds);
  return base + base / 1000 * bounds.overshootPerMille + static_cast<std::int64_t>(bounds.slack) * kMicroTokens;
}

QuotaBudget quotaBudget(const QuotaLimit& limit, const QuotaBounds& bounds) {
  const std::int64_t spareMicro = quotaAllowedMicro(limit, bounds) - baseMicro(limit, bounds);
  QuotaBudget budget;
  const std::int64_t rate = ratePerKsOf(limit);
  budget.refillPerKs = static_cast<std::uint64_t>(rate + rate * bounds.overshootPerMille * kRefillPercent / 100 / 1000);
  budget.capMicro = std::max(kMicroTokens, burstMicro(limit) + spareMicro / 100 * kCapPercent);
  budget.mostOut = static_cast<std::uint64_t>(std::max<std::int64_t>(1, spareMicro / 100 * kOutPercent / kMicroTokens));
  return budget;
}

Us quotaMostLagUs(const QuotaBounds& bounds) {
  return std::min(kMostLagUs, bounds.windowUs * bounds.overshootPerMille / 1000 * kLagPercent / 100);
}

std::uint32_t quotaPart(const std::string& tenant) { return static_cast<std::uint32_t>(spread(tenant) % kQuotaParts); }

std::string quotaDuty(std::uint32_t part) { return absl::StrCat("quota-", part); }

}  // namespace stonemount
