// The limits of tenants as a copy of the configuration has them.
#pragma once

#include "config/control_state.h"
#include "quota/quota_limit.h"

namespace stonemount {

// Lives no longer than the state that it reads.
class ConfiguredLimits : public QuotaLimits {
 public:
  explicit ConfiguredLimits(const ControlState& state) : state_(state) {}
  QuotaLimit limitOf(const std::string& tenant) const override {
    const auto found = state_.tenants().find(tenant);
    if (found == state_.tenants().end()) return {};
    return {found->second.ratePerKs, found->second.burst};
  }
  std::vector<std::string> limited() const override {
    std::vector<std::string> names;
    for (const auto& [name, tenant] : state_.tenants())
      if (tenant.ratePerKs > 0) names.push_back(name);
    return names;
  }

 private:
  const ControlState& state_;
};

}  // namespace stonemount
