// Configurations with tenants, as the users' platform sends them.
#pragma once

#include "platform_texts.h"

namespace stonemount {

struct TenantWish {
  std::string name;
  std::vector<std::string> keys;
  std::string further = R"("Precedence":1,"RatePerS":0,"BurstSize":0)";  // 0: no limit
};
inline std::string tenantText(const TenantWish& wish) {
  std::vector<std::string> keys;
  for (const std::string& key : wish.keys) keys.push_back(absl::StrCat("\"", key, "\""));
  return absl::StrCat(R"({"Name":")", wish.name, R"(","Credentials":[)", absl::StrJoin(keys, ","), "],", wish.further,
                      "}");
}

inline std::string coldlessService(const std::string& name) {
  return absl::StrCat(R"({"Name":")", name, R"(","HealthPath":"/health","MaxConnections":230,"Protocol":"h1",)",
                      R"("Tls":false,"WarmupS":0.0,"WarmupRateS":0.0})");
}

// A route of requests that may be repeated.
inline std::string tenantRoute(const std::string& name, bool anonymous, const std::string& service = "s0",
                               const std::string& type = "idempotent") {
  const std::string further = absl::StrCat(R"("Service":")", service, R"(","Anonymous":)", anonymous ? "true" : "false",
                                           R"(,"CompletionTargetMs":10000,)", R"("RetentionS":60)");
  return routeText(
      {.name = name, .prefix = absl::StrCat("/", name, "/"), .type = type, .guard = "4000", .services = further});
}

// The text of a whole configuration with one more field, `Subscribers`.
inline std::string withTenants(std::string put, const std::vector<std::string>& tenants) {
  put.pop_back();
  return absl::StrCat(put, R"(,"Subscribers":[)", absl::StrJoin(tenants, ","), "]}");
}
inline std::string tenantPut(std::uint64_t revision, const std::vector<std::string>& tenants) {
  return withTenants(plainPut(revision), tenants);
}

inline std::string tenantPatch(std::uint64_t revision, const std::vector<std::string>& tenants,
                               const std::vector<std::string>& removed = {}) {
  std::vector<std::string> names;
  for (const std::string& name : removed) names.push_back(absl::StrCat("\"", name, "\""));
  return absl::StrCat(R"({"Revision":)", revision, R"(,"Upsert":{"Subscribers":[)", absl::StrJoin(tenants, ","),
                      R"(]},"Remove":{"Subscribers":[)", absl::StrJoin(names, ","), "]}}");
}

}  // namespace stonemount
