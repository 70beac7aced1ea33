// Live requests and their tenants' quotas (docs/design-notes/one-count.md).
#include <algorithm>

#include "proxy/gateway_caller.h"

namespace stonemount {

namespace {
constexpr Us kMostWaitUs = 150 * kMilliUs;  // for a token; less where a route's target is short
}  // namespace

Job<bool> Gateway::admitByQuota(std::shared_ptr<Caller> caller) {
  if (quotas_ == nullptr || caller->request.tenant.empty()) co_return true;
  const Us targetUs = caller->request.route.targetUs;
  const Us leftUs = std::max<Us>(0, caller->limitAtUs - ports_.clock.monoUs());
  const Us waitUs = std::min({kMostWaitUs, targetUs > 0 ? targetUs / 5 : kMostWaitUs, leftUs / 3});
  Job<QuotaAnswer> admitting = quotas_->admit(caller->request.tenant, waitUs);
  ++admitting_;
  QuotaAnswer answer = co_await admitting;
  --admitting_;
  if (auto* token = std::get_if<QuotaToken>(&answer)) caller->quota.take(*quotas_, std::move(*token));
  if (caller->gone) {
    ++counts_.left;
    co_return false;
  }
  auto* refusal = std::get_if<QuotaRefusal>(&answer);
  if (refusal == nullptr) co_return true;
  refuseByQuota(*caller, *refusal);
  co_return false;
}

// Another machine may be in touch with the leader where this one is not: that is no 429.
void Gateway::refuseByQuota(Caller& caller, const QuotaRefusal& refusal) {
  const bool over = refusal.why == QuotaDenial::kOverLimit;
  ++(over ? counts_.overQuota : counts_.quotaUnreachable);
  if (caller.mayHaveRun) return fail(caller, 502, "not_whole");
  sendRefusal(*caller.reply, over ? 429 : 503, over ? "over_quota" : "quota_unreachable", refusal.againUs);
}

}  // namespace stonemount
