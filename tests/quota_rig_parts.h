// The processes of the fleet that counts tenants' requests. For the rig's own files.
#pragma once

#include "quota_rig.h"

namespace stonemount {

class QuotaFleet::View : public QuotaLimits {
 public:
  QuotaLimit limitOf(const std::string& tenant) const override {
    auto found = limits.find(tenant);
    return found == limits.end() ? QuotaLimit() : found->second;
  }
  std::vector<std::string> limited() const override {
    std::vector<std::string> names;
    for (const auto& [name, limit] : limits) names.push_back(name);
    return names;
  }
  std::map<std::string, QuotaLimit> limits;
  std::map<std::size_t, std::size_t> spans;  // by tenant, the one that it counts as a user of
};

struct QuotaFleet::Node {
  Address address;
  std::unique_ptr<QuotaHoldings> holdings;
  std::array<std::optional<std::size_t>, kQuotaParts> leaders;
  std::array<std::uint64_t, kQuotaParts> question{};
  std::array<Us, kQuotaParts> pollUs{};
  std::uint64_t life = 0;
  bool up = false;
  Us cutUntilUs = 0, frozenUntilUs = 0;
};

struct QuotaFleet::Core {
  std::vector<QuotaBook> books;
  std::array<bool, kQuotaParts> holds{};
  std::array<bool, kQuotaParts> busy{};
  std::uint64_t life = 0;
  bool up = false;
  Us cutUntilUs = 0, frozenUntilUs = 0;         // cut: from nodes
  Us chainCutSinceUs = 0, chainCutUntilUs = 0;  // from the other cores
};

class QuotaFleet::Request : public QuotaWait {
 public:
  Request(QuotaFleet& fleet, std::size_t node, std::size_t tenant) : fleet_(fleet), node_(node), tenant_(tenant) {}
  void decided(std::optional<QuotaToken> token) override {
    over = true;
    if (token) fleet_.granted(node_, *token, tenant_);
  }
  bool over = false;

 private:
  QuotaFleet& fleet_;
  std::size_t node_, tenant_;
};

}  // namespace stonemount
