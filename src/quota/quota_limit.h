// What a tenant may send, and how the rule's allowance is divided (docs/design-notes/one-count.md).
#pragma once

#include "runtime/pack.h"

namespace stonemount {

constexpr std::uint32_t kQuotaParts = 4;          // tenants are divided into so many parts by name
constexpr std::int64_t kMicroTokens = 1'000'000;  // of a token; one token admits one request
constexpr Us kStockValidUs = 4 * kSecondUs;       // a leader grants so long after it last proved that it leads
constexpr Us kStockVoidUs = 2 * kStockValidUs;    // ledger time until a lost leader's stock is surely void
constexpr Us kHeldValidUs = 5 * kSecondUs;        // a node drops tokens that it has not used for so long
constexpr Us kOutWrittenOffUs = 30 * kSecondUs;   // until what a lost node or leader's nodes held is written off

// 0 as a rate: no limit.
struct QuotaLimit {
  std::uint64_t ratePerKs = 0;  // requests in 1,000 s
  std::uint64_t burst = 0;
  bool none() const { return ratePerKs == 0; }
  friend bool operator==(const QuotaLimit&, const QuotaLimit&) = default;
};

// How strictly the deployment counts: in any window a tenant has no more than
// (rate x window + burst) x (1 + overshoot) + slack requests.
struct QuotaBounds {
  Us windowUs = 5 * kSecondUs;
  std::uint32_t overshootPerMille = 100;
  std::uint64_t slack = 20;
};

// The shares of the allowance. In any window no more is spent than
// cap + mostOut + refill x (window + mostLagUs), which is within the rule's bound.
struct QuotaBudget {
  std::uint64_t refillPerKs = 0;  // tokens in 1,000 s
  std::int64_t capMicro = 0;      // of the bucket and of what leaders have in stock from it, together
  std::uint64_t mostOut = 0;      // tokens at nodes, of this leader's and of those before it
  friend bool operator==(const QuotaBudget&, const QuotaBudget&) = default;
  STONEMOUNT_PACK(refillPerKs, capMicro, mostOut)
};

// In millionths of a request.
std::int64_t quotaAllowedMicro(const QuotaLimit& limit, const QuotaBounds& bounds);
QuotaBudget quotaBudget(const QuotaLimit& limit, const QuotaBounds& bounds);
// A reservation whose answer takes longer forgoes the rest of the time that it took.
Us quotaMostLagUs(const QuotaBounds& bounds);
std::uint32_t quotaPart(const std::string& tenant);
std::string quotaDuty(std::uint32_t part);

// Where limits are looked up: the configuration as this process knows it.
class QuotaLimits {
 public:
  virtual ~QuotaLimits() = default;
  virtual QuotaLimit limitOf(const std::string& tenant) const = 0;
  virtual std::vector<std::string> limited() const = 0;  // the tenants that have a limit
};

}  // namespace stonemount
