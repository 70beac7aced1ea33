// The limits of tenants as a copy of the configuration has them.
#pragma once

#include "config/control_state.h"
#include "quota/quota_limit.h"

namespace stonemount {

// Lives no longer than the state that it reads.
template <class State>
class LimitsOf : public QuotaLimits {
 public:
  explicit LimitsOf(const State& state) : state_(state) {}
  QuotaLimit limitOf(const std::string& tenant) const override {
    if constexpr (requires(const State& state) { state.tenants(); }) {
      const auto found = state_.tenants().find(tenant);
      if (found != state_.tenants().end()) return {found->second.ratePerKs, found->second.burst};
    }
    return {};
  }
  std::vector<std::string> limited() const override {
    std::vector<std::string> names;
    if constexpr (requires(const State& state) { state.tenants(); }) {
      for (const auto& [name, tenant] : state_.tenants())
        if (tenant.ratePerKs > 0) names.push_back(name);
    }
    return names;
  }

 private:
  const State& state_;
};
using ConfiguredLimits = LimitsOf<ControlState>;

}  // namespace stonemount
