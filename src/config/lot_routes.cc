#include "config/lot_routes.h"

#include <absl/strings/match.h>

namespace stonemount {

const Route* lotRouteFor(const ControlState& control, std::string_view hostHeader, std::string_view target) {
  const Route* route = control.routeFor(comparableHost(hostHeader), pathOf(target));
  return route != nullptr && route->lots ? route : nullptr;
}

const Route* lotRouteAt(const ControlState& control, std::string_view location) {
  const std::size_t slash = location.find('/');
  if (slash == std::string_view::npos) return nullptr;
  return lotRouteFor(control, location.substr(0, slash), location.substr(slash));
}

void LotRoutes::refresh() {
  const std::pair<Revision, std::size_t> asOf(control_.revision(), control_.routes().size());
  if (asOf == asOf_) return;
  asOf_ = asOf;
  names_.clear();
  scopes_.clear();
  for (const auto& [name, route] : control_.routes()) {
    if (!route.lots || route.prefix.empty()) continue;  // without a prefix it is asked for by name
    names_.push_back(name);
    scopes_.push_back(scopeOf(route));
  }
  findNested();
}

void LotRoutes::findNested() {
  nestedOthers_.clear();
  PrefixTable table;
  for (std::size_t i = 0; i < scopes_.size(); ++i) table.put(scopes_[i], i);
  for (const auto& [name, route] : control_.routes()) {
    if (route.lots || route.prefix.empty()) continue;
    const std::string scope = scopeOf(route);
    if (table.find(scope)) nestedOthers_.push_back(scope);
  }
}

std::vector<std::string> LotRoutes::nestedBelow(const std::string& scope) const {
  std::vector<std::string> nested;
  for (const std::vector<std::string>* scopes : {&scopes_, &nestedOthers_})
    for (const std::string& other : *scopes)
      if (other.size() > scope.size() && absl::StartsWith(other, scope)) nested.push_back(other);
  return nested;
}

}  // namespace stonemount
