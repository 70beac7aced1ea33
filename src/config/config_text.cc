// Configurations written back in the product's own terms (docs/operators/commands.md).
#include "config/config_check.h"

namespace stonemount {

const char* routeKindText(RouteKind kind) {
  switch (kind) {
    case RouteKind::kStream:
      return "stream";
    case RouteKind::kLookup:
      return "lookup";
    case RouteKind::kWhole:
      return "whole";
  }
  return "unknown";
}

const char* configFlawText(ConfigFlaw flaw) {
  switch (flaw) {
    case ConfigFlaw::kNone:
      return "none";
    case ConfigFlaw::kUnknownPool:
      return "unknown_pool";
    case ConfigFlaw::kSamePlace:
      return "same_place";
    case ConfigFlaw::kNoWeight:
      return "no_weight";
    case ConfigFlaw::kNoTime:
      return "no_time";
    case ConfigFlaw::kSharedKey:
      return "shared_key";
  }
  return "unknown";
}

void writeRoute(JsonOut& out, const Route& route) {
  out.object().field("name", route.name).field("kind", routeKindText(route.kind)).field("pool", route.pool);
  out.field("limitUs", route.limitUs).field("prefixBytes", route.prefixBytes);
  if (!route.adapter.empty()) out.field("adapter", route.adapter);
  if (!route.when.empty()) out.field("when", route.when);
  if (!route.otherwise.empty()) out.field("otherwise", route.otherwise);
  if (!route.host.empty()) out.field("host", route.host).field("prefix", route.prefix);
  if (!route.shares.empty()) {
    out.key("shares").array();
    for (const PoolShare& share : route.shares)
      out.object().field("pool", share.pool).field("weight", share.weight).closeObject();
    out.closeArray();
  }
  if (route.targetUs != 0) out.field("targetUs", route.targetUs);
  if (route.gapTargetUs != 0) out.field("gapTargetUs", route.gapTargetUs);
  if (route.completionUs != 0) out.field("completionUs", route.completionUs);
  if (route.retentionUs != 0) out.field("retentionUs", route.retentionUs);
  if (route.mostQueuedTokens != 0) out.field("mostQueuedTokens", route.mostQueuedTokens);
  if (route.attempts != 0) out.field("attempts", route.attempts);
  if (route.precedence != 0) out.field("precedence", route.precedence);
  if (route.affinity) out.field("affinity", true);
  if (route.resumable) out.field("resumable", true);
  if (route.open) out.field("open", true);
  out.field("lots", route.lots).closeObject();
}

void writePool(JsonOut& out, const Pool& pool) {
  out.object().field("name", pool.name);
  if (!pool.healthPath.empty()) out.field("healthPath", pool.healthPath);
  out.field("mostChannels", pool.mostChannels).field("warmUs", pool.warmUs).field("warmPerKs", pool.warmPerKs);
  out.field("slots", pool.slots).field("cacheTokens", pool.cacheTokens).closeObject();
}

void writeTenant(JsonOut& out, const Tenant& tenant) {
  out.object().field("name", tenant.name).key("keys").array();
  for (const std::string& key : tenant.keys) out.text(key);
  out.closeArray().field("precedence", tenant.precedence).field("ratePerKs", tenant.ratePerKs);
  out.field("burst", tenant.burst).closeObject();
}

void writeLimits(JsonOut& out, const CallerLimits& limits) {
  out.object().field("headerBytes", limits.headerBytes).field("bodyBytes", limits.bodyBytes);
  out.field("headerUs", limits.headerUs).field("idleUs", limits.idleUs).closeObject();
}

}  // namespace stonemount
