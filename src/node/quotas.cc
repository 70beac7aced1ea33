// A node and the count of tenants' requests (docs/design-notes/one-count.md).
#include "config/json.h"
#include "node/node.h"

namespace stonemount {

// Those that are heard, or else the voters of control as they were told last.
std::vector<Address> Node::knownCores() const {
  std::vector<Address> known;
  for (const PeerRecord& record : gossip_.alive(Role::kCore)) known.push_back(record.wire);
  if (known.empty())
    for (const Seat& voter : core_.view().voters) known.push_back(voter.address);
  return known;
}

// From now on live requests of tenants are counted.
void Node::countQuotas() {
  quotas_ = std::make_unique<QuotaClient>(ports_, rpc_, room_, quotaLimits_, [this] { return knownCores(); });
  gateway_->setQuotas(*quotas_);
  quotas_->begin();
}

void Node::showQuotas(JsonOut& out) const {
  const QuotaCounts& counts = quotas_->counts();
  out.field("quotaHeld", counts.held).field("quotaWaited", counts.waited).field("quotaFree", counts.free);
  out.field("quotaRefusedEmpty", counts.refusedEmpty).field("quotaRefusedFull", counts.refusedFull);
  out.field("quotaRefusedLate", counts.refusedLate).field("quotaReturned", counts.returned);
  out.field("quotaDropped", counts.dropped).field("quotaAsks", counts.asks);
  out.field("quotaReports", counts.reports).field("quotaSilent", counts.silent);
  out.field("quotaOver", gateway_->counts().overQuota);
  out.field("quotaUnreachable", gateway_->counts().quotaUnreachable);
}

}  // namespace stonemount
