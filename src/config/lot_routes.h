// The routes that take standing lots, as the configuration in force has them (design.md 9.8).
#pragma once

#include "config/control_state.h"
#include "config/location.h"

namespace stonemount {

// The route that takes lots and to which a request with that `Host` header and target goes; none: nullptr.
const Route* lotRouteFor(const ControlState& control, std::string_view hostHeader, std::string_view target);
// The same for a location (config/location.h).
const Route* lotRouteAt(const ControlState& control, std::string_view location);

// Host and path prefix of a route, joined: what begins each location whose requests it may get.
inline std::string scopeOf(const Route& route) { return route.host + route.prefix; }

// A configuration may have thousands of routes, few of them for lots: these are looked up once per change of it.
class LotRoutes {
 public:
  explicit LotRoutes(const ControlState& control) : control_(control) {}
  // To be called before the others.
  void refresh();
  const std::vector<std::string>& names() const { return names_; }
  // Scopes of other routes that lie below one of these: what begins with them is not for the shorter one.
  const std::vector<std::string>& nestedOthers() const { return nestedOthers_; }
  // Scopes below that of another route for lots, of either kind.
  std::vector<std::string> nestedBelow(const std::string& scope) const;

 private:
  void findNested();
  const ControlState& control_;
  std::pair<Revision, std::size_t> asOf_{0, 0};  // of control, and of how many routes in all
  std::vector<std::string> names_;
  std::vector<std::string> scopes_;
  std::vector<std::string> nestedOthers_;
};

}  // namespace stonemount
