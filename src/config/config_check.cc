#include "config/config_check.h"

#include <absl/strings/str_cat.h>

#include "config/config_schema.h"
#include "config/rule.h"

namespace stonemount {

namespace {
std::string whyText(const std::string& keyword) {
  if (keyword == "required") return "is missing";
  if (keyword == "additionalProperties") return "is not a known field";
  if (keyword == "type") return "has the wrong type";
  if (keyword == "enum") return "is not one of the allowed values";
  if (keyword == "pattern") return "may hold only small letters, digits, '.', '_' and '-'";
  if (keyword == "minimum" || keyword == "maximum") return "is out of range";
  return "breaks the rule " + keyword;
}

// A rule is tried when it is pushed: it has to be read, and to say yes or no.
std::optional<ConfigFault> checkRule(const Route& route, const std::string& field) {
  if (route.when.empty() && !route.otherwise.empty())
    return ConfigFault{field + "/otherwise", "needs a rule under when"};
  if (route.when.empty()) return std::nullopt;
  if (route.lots) return ConfigFault{field + "/when", "a route for lots takes no rule"};
  if (route.otherwise == route.name) return ConfigFault{field + "/otherwise", "names its own route"};
  RuleBook book;
  const RuleVerdict verdict = book.judge(route.when, RuleSight{1, 1, "zone"});
  auto* fault = std::get_if<RuleFault>(&verdict);
  if (fault == nullptr) return std::nullopt;
  return ConfigFault{field + "/when",
                     absl::StrCat(ruleTroubleText(fault->trouble), fault->detail.empty() ? "" : ": ", fault->detail)};
}

RouteKind kindOf(const std::string& text) {
  if (text == "stream") return RouteKind::kStream;
  return text == "lookup" ? RouteKind::kLookup : RouteKind::kWhole;
}

std::optional<ConfigFault> readShares(const JsonValue& given, const std::string& field, Route& route) {
  if (given.HasMember("shares")) {
    for (const JsonValue& share : given["shares"].GetArray())
      route.shares.push_back({jsonString(share, "pool"), static_cast<std::uint32_t>(jsonNumber(share, "weight"))});
    if (route.pool.empty() && !route.shares.empty()) route.pool = route.shares.front().pool;
  }
  if (route.pool.empty()) return ConfigFault{field + "/pool", "is missing"};
  return std::nullopt;
}

Route readRoute(const JsonValue& given) {
  Route route;
  route.name = jsonString(given, "name");
  route.kind = kindOf(jsonString(given, "kind"));
  route.pool = jsonString(given, "pool");
  route.limitUs = jsonNumber(given, "limitUs", route.limitUs);
  route.prefixBytes = static_cast<std::uint32_t>(jsonNumber(given, "prefixBytes", route.prefixBytes));
  route.adapter = jsonString(given, "adapter");
  route.lots = jsonFlag(given, "lots");
  route.when = jsonString(given, "when");
  route.otherwise = jsonString(given, "otherwise");
  route.host = jsonString(given, "host");
  route.prefix = jsonString(given, "prefix");
  route.targetUs = jsonNumber(given, "targetUs");
  route.gapTargetUs = jsonNumber(given, "gapTargetUs");
  route.completionUs = jsonNumber(given, "completionUs");
  route.retentionUs = jsonNumber(given, "retentionUs");
  route.mostQueuedTokens = static_cast<std::uint64_t>(jsonNumber(given, "mostQueuedTokens"));
  route.attempts = static_cast<std::uint32_t>(jsonNumber(given, "attempts"));
  route.precedence = static_cast<std::uint32_t>(jsonNumber(given, "precedence"));
  route.affinity = jsonFlag(given, "affinity");
  route.resumable = jsonFlag(given, "resumable");
  route.open = jsonFlag(given, "open");
  return route;
}

std::optional<ConfigFault> checkRoute(const Route& route, const std::string& field) {
  if (route.lots && route.kind != RouteKind::kWhole)
    return ConfigFault{field + "/lots", "lots need a route of kind whole"};
  if (route.kind == RouteKind::kLookup && !route.adapter.empty())
    return ConfigFault{field + "/adapter", "a lookup takes no adapter"};
  if (route.mostQueuedTokens != 0 && !route.lots) return ConfigFault{field + "/mostQueuedTokens", "needs lots"};
  if (route.resumable && route.kind != RouteKind::kStream) return ConfigFault{field + "/resumable", "needs a stream"};
  if (route.host.empty() != route.prefix.empty())
    return ConfigFault{field + (route.host.empty() ? "/host" : "/prefix"), "is missing: host and prefix go together"};
  return checkRule(route, field);
}

Pool readPool(const JsonValue& given) {
  Pool pool;
  pool.name = jsonString(given, "name");
  pool.healthPath = jsonString(given, "healthPath");
  pool.mostChannels = static_cast<std::uint32_t>(jsonNumber(given, "mostChannels"));
  pool.warmUs = jsonNumber(given, "warmUs");
  pool.warmPerKs = static_cast<std::uint64_t>(jsonNumber(given, "warmPerKs"));
  pool.slots = static_cast<std::uint32_t>(jsonNumber(given, "slots"));
  pool.cacheTokens = static_cast<std::uint64_t>(jsonNumber(given, "cacheTokens"));
  return pool;
}

Tenant readTenant(const JsonValue& given) {
  Tenant tenant;
  tenant.name = jsonString(given, "name");
  if (given.HasMember("keys"))
    for (const JsonValue& key : given["keys"].GetArray()) tenant.keys.emplace_back(key.GetString());
  tenant.precedence = static_cast<std::uint32_t>(jsonNumber(given, "precedence"));
  tenant.ratePerKs = static_cast<std::uint64_t>(jsonNumber(given, "ratePerKs"));
  tenant.burst = static_cast<std::uint64_t>(jsonNumber(given, "burst"));
  return tenant;
}

CallerLimits readLimits(const JsonValue& given) {
  CallerLimits limits;
  limits.headerBytes = static_cast<std::uint32_t>(jsonNumber(given, "headerBytes", limits.headerBytes));
  limits.bodyBytes = static_cast<std::uint32_t>(jsonNumber(given, "bodyBytes", limits.bodyBytes));
  limits.headerUs = jsonNumber(given, "headerUs", limits.headerUs);
  limits.idleUs = jsonNumber(given, "idleUs", limits.idleUs);
  return limits;
}

// Names of a patch's list of what goes.
std::optional<ConfigFault> readRemoved(const JsonValue& document, const char* list, const char* beside, bool whole,
                                       const absl::btree_set<std::string>& named, std::vector<std::string>& removed) {
  if (!document.HasMember(list)) return std::nullopt;
  std::size_t place = 0;
  for (const JsonValue& given : document[list].GetArray()) {
    const std::string field = absl::StrCat("/", list, "/", place++);
    if (whole) return ConfigFault{field, "only a patch removes; a push is the whole"};
    if (named.contains(given.GetString())) return ConfigFault{field, absl::StrCat("is also given under ", beside)};
    removed.emplace_back(given.GetString());
  }
  return std::nullopt;
}
}  // namespace

ConfigVerdict readConfig(const JsonValue& document, bool whole) {
  if (std::optional<SchemaFault> fault = checkSchema(kConfigSchema, document))
    return ConfigFault{fault->field, whyText(fault->keyword)};
  ConfigRequest wish;
  wish.whole = whole;
  wish.base = static_cast<Revision>(document["base"].GetInt64());
  wish.note = jsonString(document, "note");
  wish.next = static_cast<Revision>(jsonNumber(document, "next"));
  absl::btree_set<std::string> names, poolNames, tenantNames;
  if (document.HasMember("routes")) {
    for (const JsonValue& given : document["routes"].GetArray()) {
      const std::string field = absl::StrCat("/routes/", wish.routes.size());
      Route route = readRoute(given);
      if (!names.insert(route.name).second) return ConfigFault{field + "/name", "names a route twice"};
      if (std::optional<ConfigFault> fault = readShares(given, field, route)) return *fault;
      if (std::optional<ConfigFault> fault = checkRoute(route, field)) return *fault;
      wish.routes.push_back(std::move(route));
    }
  }
  if (document.HasMember("pools")) {
    for (const JsonValue& given : document["pools"].GetArray()) {
      Pool pool = readPool(given);
      if (!poolNames.insert(pool.name).second)
        return ConfigFault{absl::StrCat("/pools/", wish.pools.size(), "/name"), "names a pool twice"};
      wish.pools.push_back(std::move(pool));
    }
  }
  wish.tenantsGiven = document.HasMember("tenants");
  if (wish.tenantsGiven) {
    for (const JsonValue& given : document["tenants"].GetArray()) {
      const std::string field = absl::StrCat("/tenants/", wish.tenants.size(), "/name");
      Tenant tenant = readTenant(given);
      if (!fitsAsTenantName(tenant.name)) return ConfigFault{field, "does not fit into a header"};
      if (!tenantNames.insert(tenant.name).second) return ConfigFault{field, "names a tenant twice"};
      wish.tenants.push_back(std::move(tenant));
    }
  }
  if (document.HasMember("limits")) wish.limits = readLimits(document["limits"]);
  if (std::optional<ConfigFault> fault = readRemoved(document, "remove", "routes", whole, names, wish.removed))
    return *fault;
  if (std::optional<ConfigFault> fault =
          readRemoved(document, "removePools", "pools", whole, poolNames, wish.removedPools))
    return *fault;
  if (std::optional<ConfigFault> fault =
          readRemoved(document, "removeTenants", "tenants", whole, tenantNames, wish.removedTenants))
    return *fault;
  if (whole && !document.HasMember("routes")) return ConfigFault{"/routes", "is missing"};
  return wish;
}

}  // namespace stonemount
