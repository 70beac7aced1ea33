// Checking of the operators' configurations: schema first, then what spans fields (design.md 7.2).
#pragma once

#include "config/control_state.h"
#include "config/json.h"

namespace stonemount {

struct ConfigFault {
  std::string field;
  std::string why;
};
// What an operator asks for. A patch names only what changes; a push is the whole. Routes and pools stand in
// the operator's order.
struct ConfigRequest {
  bool whole = true;
  Revision base = 0;
  Revision next = 0;         // the operator's own number for the new revision; 0: the one after the base
  std::uint64_t digest = 0;  // of the wish as it was handed in; 0: sent again, it is another wish
  bool poolsGiven = false;   // a pool that is not configured is unknown, even where none at all is
  std::string note;
  std::vector<Route> routes;
  std::vector<std::string> removed;
  std::vector<Pool> pools;
  std::vector<std::string> removedPools;
  std::optional<CallerLimits> limits;  // absent: a push takes the standing ones away, a patch leaves them
  std::string given;                   // what else the operator's text held; of a push only
  bool tenantsGiven = false;           // from now on requests need keys, even where no tenant is named
  std::vector<Tenant> tenants;
  std::vector<std::string> removedTenants;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(whole, base, next, digest, poolsGiven, note, routes, removed, pools, removedPools, limits, given);
    packTrailing(archive, tenantsGiven, tenants, removedTenants);
  }
};
// What is wrong with a configuration as a whole.
enum class ConfigFlaw : std::uint8_t { kNone, kUnknownPool, kSamePlace, kNoWeight, kNoTime, kSharedKey };
const char* configFlawText(ConfigFlaw flaw);
using ConfigVerdict = std::variant<ConfigRequest, ConfigFault>;
ConfigVerdict readConfig(const JsonValue& document, bool whole);
void writeRoute(JsonOut& out, const Route& route);
void writePool(JsonOut& out, const Pool& pool);
void writeTenant(JsonOut& out, const Tenant& tenant);
void writeLimits(JsonOut& out, const CallerLimits& limits);
const char* routeKindText(RouteKind kind);

}  // namespace stonemount
