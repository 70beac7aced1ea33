// Checking of the operators' configurations: schema first, then what spans fields (design.md 7.2).
#pragma once

#include "jig/control_state.h"
#include "jig/json.h"

namespace stonemount {

struct ConfigFault {
  std::string field;
  std::string why;
};
// What an operator asks for. A patch names only what changes; a push is the whole.
struct ConfigWish {
  bool whole = true;
  Revision base = 0;
  std::string note;
  std::vector<Route> routes;
  std::vector<std::string> removed;
  STONEMOUNT_PACK(whole, base, note, routes, removed)
};
using ConfigVerdict = std::variant<ConfigWish, ConfigFault>;
ConfigVerdict readConfig(const JsonValue& document, bool whole);
void writeRoute(JsonOut& out, const Route& route);
const char* routeKindText(RouteKind kind);

}  // namespace stonemount
