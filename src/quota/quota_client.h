// Admits a node's requests by their tenants' quotas: asks the leaders of the parts for tokens and holds what they grant
// (docs/design-notes/one-count.md).
#pragma once

#include <functional>

#include "quota/quota_gate.h"
#include "quota/quota_holdings.h"
#include "runtime/rpc_endpoint.h"

namespace stonemount {

class QuotaClient : public QuotaGate {
 public:
  // `cores`: the cores that are known now.
  using Cores = std::function<std::vector<Address>()>;
  QuotaClient(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, const QuotaLimits& limits, Cores cores);
  void begin();
  Job<QuotaAnswer> admit(std::string tenant, Us waitUs) override;
  void spend(const QuotaToken& token) override;
  void giveBack(const QuotaToken& token) override;
  const QuotaCounts& counts() const { return holdings_.counts(); }

 private:
  class Wait;
  Task keep(std::uint32_t part);
  Job<Done> askLeader(std::uint32_t part);
  Address coreToAsk(std::uint32_t part);
  QuotaRefusal refusal(const std::string& tenant) const;
  Ports& ports_;
  RpcEndpoint& rpc_;
  TaskRoom& room_;
  Cores cores_;
  QuotaHoldings holdings_;
  std::array<Address, kQuotaParts> leaders_;
  std::array<Event, kQuotaParts> bells_;
};

}  // namespace stonemount
