#include "quota/quota_holdings.h"

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kAskEveryUs = 20 * kMilliUs;     // at the most often, of one part
constexpr Us kReportUs = 300 * kMilliUs;      // from a token spent until it is told
constexpr Us kTightReportUs = 40 * kMilliUs;  // the same, where tokens at nodes are about to reach their bound
constexpr Us kInTouchUs = kSecondUs;
constexpr Us kAheadUs = 250 * kMilliUs;      // tokens are held for the demand of so long
constexpr double kDemandSpanUs = kSecondUs;  // over which it is smoothed
constexpr std::size_t kMostWaiting = 256;    // requests of one tenant
constexpr Us kIdleUs = kSecondUs;
constexpr Us kMostRetryUs = kSecondUs;
}  // namespace

QuotaHoldings::Holding& QuotaHoldings::holding(Part& part, const std::string& tenant, const QuotaLimit& limit,
                                               Us nowUs) {
  Holding& holding = part.holdings[tenant];
  // What was granted under another limit is not used: a lower one binds at once.
  if (holding.held > 0 && (holding.limit != limit || nowUs - holding.heldUs > kHeldValidUs)) {
    counts_.dropped += std::exchange(holding.held, 0);
    noteSpent(part, nowUs);
  }
  if (holding.limit != limit) holding.emptyUntilUs = 0;
  holding.limit = limit;
  return holding;
}

bool QuotaHoldings::noteSpent(Part& part, Us nowUs) {
  if (std::exchange(part.spent, true)) return false;
  part.spentUs = nowUs;
  return true;
}

void QuotaHoldings::noteDemand(Holding& holding, Us nowUs) {
  const double faded = 1 - static_cast<double>(std::min<Us>(nowUs - holding.cameUs, kSecondUs)) / kDemandSpanUs;
  holding.perS = holding.perS * faded + 1;
  holding.cameUs = nowUs;
}

Admission QuotaHoldings::admit(const std::string& tenant, QuotaToken& token, QuotaWait& wait, Us nowUs) {
  const QuotaLimit limit = limits_.limitOf(tenant);
  if (limit.none()) {
    ++counts_.free;
    return Admission::kAdmitted;
  }
  Part& part = parts_[quotaPart(tenant)];
  Holding& holding = this->holding(part, tenant, limit, nowUs);
  noteDemand(holding, nowUs);
  if (holding.held > 0) {
    --holding.held;
    ++holding.inHand;
    ++counts_.held;
    token = {tenant, part.epoch};
    return Admission::kAdmitted;
  }
  if (nowUs < holding.emptyUntilUs) {
    ++counts_.refusedEmpty;
    return Admission::kRefused;
  }
  if (holding.waiting.size() >= kMostWaiting) {
    ++counts_.refusedFull;
    return Admission::kRefused;
  }
  holding.waiting.push_back(&wait);
  return Admission::kWaits;
}

void QuotaHoldings::leave(const std::string& tenant, QuotaWait& wait, bool late) {
  Part& part = parts_[quotaPart(tenant)];
  auto found = part.holdings.find(tenant);
  if (found == part.holdings.end()) return;
  if (std::erase(found->second.waiting, &wait) > 0 && late) ++counts_.refusedLate;
}

bool QuotaHoldings::spend(const QuotaToken& token, Us nowUs) {
  if (token.tenant.empty()) return false;
  Part& part = parts_[quotaPart(token.tenant)];
  if (token.epoch != part.epoch) return false;
  Holding& holding = part.holdings[token.tenant];
  if (holding.inHand > 0) --holding.inHand;
  return noteSpent(part, nowUs);
}

void QuotaHoldings::giveBack(const QuotaToken& token, Us nowUs) {
  if (token.tenant.empty()) return;
  Part& part = parts_[quotaPart(token.tenant)];
  Holding& holding = part.holdings[token.tenant];
  if (token.epoch != part.epoch || holding.inHand == 0) return;
  --holding.inHand;
  ++counts_.returned;
  if (!holding.waiting.empty()) {
    QuotaWait* next = holding.waiting.front();
    holding.waiting.pop_front();
    ++holding.inHand;
    return next->decided(token);
  }
  if (holding.held == 0) holding.heldUs = nowUs;
  ++holding.held;
}

Us QuotaHoldings::refusedUs(const std::string& tenant, Us nowUs) const {
  const Part& part = parts_[quotaPart(tenant)];
  auto found = part.holdings.find(tenant);
  if (found == part.holdings.end() || found->second.limit.none()) return kMostRetryUs;
  const Us tokenUs = 1000 * kSecondUs / static_cast<Us>(found->second.limit.ratePerKs);
  return std::clamp(std::max(found->second.emptyUntilUs - nowUs, tokenUs), kAskEveryUs, kMostRetryUs);
}

// So many tokens should be here, beyond those that requests wait for.
std::uint32_t QuotaHoldings::aheadOf(const Holding& holding, Us nowUs) {
  const Us sinceUs = std::min<Us>(nowUs - holding.cameUs, kSecondUs);
  const double perS = holding.perS * (1 - static_cast<double>(sinceUs) / kDemandSpanUs);
  return static_cast<std::uint32_t>(perS * kAheadUs / kSecondUs);
}

bool QuotaHoldings::askDue(std::uint32_t number, Us nowUs) const {
  const Part& part = parts_[number];
  if (part.underWay || nowUs - part.askedUs < kAskEveryUs) return false;
  for (const auto& [tenant, holding] : part.holdings) {
    if (!holding.waiting.empty()) return true;
    if (nowUs >= holding.emptyUntilUs && 2 * holding.held < aheadOf(holding, nowUs)) return true;
  }
  return false;
}

bool QuotaHoldings::reportDue(std::uint32_t number, Us nowUs) const {
  const Part& part = parts_[number];
  return !part.underWay && part.spent && nowUs - part.spentUs >= (part.tight ? kTightReportUs : kReportUs);
}

Us QuotaHoldings::idleUs(std::uint32_t number, Us nowUs) {
  Part& part = parts_[number];
  dropOld(part, nowUs);
  if (askDue(number, nowUs) || reportDue(number, nowUs)) return 0;
  Us idleUs = kIdleUs;
  if (part.spent) idleUs = std::min(idleUs, part.spentUs + (part.tight ? kTightReportUs : kReportUs) - nowUs);
  if (!part.underWay && nowUs - part.askedUs < kAskEveryUs)
    idleUs = std::min(idleUs, part.askedUs + kAskEveryUs - nowUs);
  return std::max<Us>(kMilliUs, idleUs);
}

// Tokens that nobody used are let go, and with them what there is to know of tenants that send nothing.
void QuotaHoldings::dropOld(Part& part, Us nowUs) {
  for (auto entry = part.holdings.begin(); entry != part.holdings.end();) {
    Holding& holding = entry->second;
    if (holding.held > 0 && nowUs - holding.heldUs > kHeldValidUs) {
      counts_.dropped += std::exchange(holding.held, 0);
      noteSpent(part, nowUs);
    }
    const bool idle = holding.held == 0 && holding.inHand == 0 && holding.waiting.empty() &&
                      nowUs - holding.cameUs > kHeldValidUs && nowUs > holding.emptyUntilUs;
    entry = idle ? part.holdings.erase(entry) : std::next(entry);
  }
}

bool QuotaHoldings::inTouch(std::uint32_t number, Us nowUs) const {
  const Part& part = parts_[number];
  return part.answeredUs > 0 && nowUs - part.answeredUs <= kInTouchUs;
}

std::uint64_t QuotaHoldings::held(const std::string& tenant) const {
  const Part& part = parts_[quotaPart(tenant)];
  auto found = part.holdings.find(tenant);
  return found == part.holdings.end() ? 0 : found->second.held;
}

}  // namespace stonemount
