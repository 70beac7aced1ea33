// The parts of tenant_keys_test, and what they share.
#pragma once

#include "tenant_rig.h"

namespace stonemount {

inline HeaderMap bearing(const std::string& key) { return {{"authorization", "Bearer " + key}}; }

// Routes that want a key, by their own word or by none; one that wants none, and one of lots.
inline std::vector<std::string> tenantRoutes() {
  return {routeText({.name = "plain", .prefix = "/plain/", .type = "idempotent", .guard = "4000"}),
          tenantRoute("keyed", false), tenantRoute("open", true), tenantRoute("other", false, "s1"),
          tenantRoute("lots", false, "s0", "bulk")};
}
inline std::string tenantConfig(std::uint64_t revision, const std::vector<std::string>& tenants) {
  return withTenants(putText(revision, tenantRoutes(), {coldlessService("s0"), coldlessService("s1")}), tenants);
}
inline std::vector<std::string> twoTenants() {
  return {tenantText({"anna", {"key-a1", "key-a2"}}), tenantText({"bert", {"key-b1"}})};
}

void tenantLotCases();             // tenant_lots_cases.cc
void tenantOpenConnectionCases();  // tenant_open_connections.cc
void tenantHistoryCases();         // tenant_histories.cc

}  // namespace stonemount
