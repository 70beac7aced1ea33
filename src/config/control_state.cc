#include "config/control_state.h"

#include <absl/strings/string_view.h>

namespace stonemount {

namespace {
constexpr std::size_t kGoneKept = 4096;
}

bool ControlState::evacuated(const std::string& zone) const {
  auto found = zones_.find(zone);
  return found != zones_.end() && found->second.evacuated;
}

ControlNews ControlState::newsSince(Revision since) const {
  ControlNews news;
  news.whole = tellsWhole(since);
  news.from = news.whole ? 0 : since;
  news.to = revision_;
  news.configRevision = configRevision_;
  for (const auto& [name, route] : routes_)
    if (news.whole || route.changed > since) news.routes.push_back(route);
  for (const auto& [address, worker] : workers_)
    if (news.whole || worker.changed > since) news.workers.push_back(worker);
  for (const auto& [zone, state] : zones_)
    if (news.whole || state.changed > since) news.zones.emplace_back(zone, state);
  for (const auto& [name, pool] : pools_)
    if (news.whole || pool.changed > since) news.pools.push_back(pool);
  for (const auto& [name, tenant] : tenants_.all())
    if (news.whole || tenant.changed > since) news.tenants.push_back(tenant);
  news.keysNeeded = tenants_.keysNeeded();
  news.limits = limits_;
  news.given = given_;
  if (news.whole) return news;
  for (const auto& [name, changed] : goneRoutes_)
    if (changed > since) news.removedRoutes.push_back(name);
  for (const auto& [address, changed] : goneWorkers_)
    if (changed > since) news.removedWorkers.push_back(address);
  for (const auto& [name, changed] : gonePools_)
    if (changed > since) news.removedPools.push_back(name);
  for (const auto& [name, changed] : goneTenants_)
    if (changed > since) news.removedTenants.push_back(name);
  return news;
}

bool ControlState::absorb(const ControlNews& news) {
  if (news.to <= revision_) return true;  // nothing newer in it
  if (!news.whole && news.from > revision_) return false;
  if (news.whole) {
    routes_.clear();
    places_.clear();
    workers_.clear();
    zones_.clear();
    pools_.clear();
    tenants_.clear();
    gonePools_.clear();
    goneTenants_.clear();
    goneRoutes_.clear();
    goneWorkers_.clear();
    forgotten_ = news.to;
  }
  for (const std::string& name : news.removedRoutes) {
    dropRoute(name);
    goneRoutes_[name] = news.to;
  }
  for (const Address& address : news.removedWorkers) {
    workers_.erase(address);
    goneWorkers_[address] = news.to;
  }
  for (const Route& route : news.routes) {
    placeRoute(route);
  }
  for (const ListedWorker& worker : news.workers) {
    goneWorkers_.erase(worker.address);
    workers_[worker.address] = worker;
  }
  for (const auto& [zone, state] : news.zones) zones_[zone] = state;
  for (const std::string& name : news.removedPools) {
    pools_.erase(name);
    gonePools_[name] = news.to;
  }
  for (const Pool& pool : news.pools) {
    gonePools_.erase(pool.name);
    pools_[pool.name] = pool;
  }
  for (const std::string& name : news.removedTenants) {
    tenants_.remove(name);
    goneTenants_[name] = news.to;
  }
  for (const Tenant& tenant : news.tenants) {
    goneTenants_.erase(tenant.name);
    tenants_.put(tenant);
  }
  tenants_.setKeysNeeded(news.keysNeeded);
  limits_ = news.limits;
  given_ = news.given;
  revision_ = news.to;
  configRevision_ = news.configRevision;
  forgetOld();
  return true;
}

void ControlState::putRoute(Route route) {
  route.changed = revision_;
  placeRoute(route);
}

void ControlState::removeRoute(const std::string& name) {
  if (routes_.contains(name)) goneRoutes_[name] = revision_;
  dropRoute(name);
  forgetOld();
}

void ControlState::placeRoute(const Route& route) {
  goneRoutes_.erase(route.name);
  Route& placed = routes_[route.name];
  unindex(placed);
  placed = route;
  index(placed);
}

void ControlState::dropRoute(const std::string& name) {
  auto found = routes_.find(name);
  if (found == routes_.end()) return;
  unindex(found->second);
  routes_.erase(found);
}

void ControlState::index(const Route& route) {
  if (route.prefix.empty()) return;
  HostPlaces& places = places_[route.host];
  if (places.names.insert_or_assign(route.prefix, route.name).second) ++places.lengths[route.prefix.size()];
}

// While a batch of changes is taken, another route may already have this one's place.
void ControlState::unindex(const Route& route) {
  auto places = places_.find(route.host);
  if (route.prefix.empty() || places == places_.end()) return;
  auto found = places->second.names.find(route.prefix);
  if (found == places->second.names.end() || found->second != route.name) return;
  places->second.names.erase(found);
  auto length = places->second.lengths.find(route.prefix.size());
  if (--length->second == 0) places->second.lengths.erase(length);
  if (places->second.names.empty()) places_.erase(places);
}

void ControlState::indexAll() {
  places_.clear();
  for (const auto& [name, route] : routes_) index(route);
}

void ControlState::setZone(const std::string& zone, bool evacuated) { zones_[zone] = {evacuated, revision_}; }

void ControlState::putWorker(ListedWorker worker) {
  worker.changed = revision_;
  goneWorkers_.erase(worker.address);
  workers_[worker.address] = std::move(worker);
}

void ControlState::removeWorker(const Address& address) {
  if (workers_.erase(address) != 0) goneWorkers_[address] = revision_;
  forgetOld();
}

void ControlState::putPool(Pool pool) {
  pool.changed = revision_;
  gonePools_.erase(pool.name);
  pools_[pool.name] = std::move(pool);
}

void ControlState::removePool(const std::string& name) {
  if (pools_.erase(name) != 0) gonePools_[name] = revision_;
  forgetOld();
}

void ControlState::putTenant(Tenant tenant) {
  tenant.changed = revision_;
  goneTenants_.erase(tenant.name);
  tenants_.put(std::move(tenant));
}

void ControlState::removeTenant(const std::string& name) {
  if (tenants_.remove(name)) goneTenants_[name] = revision_;
  forgetOld();
}

void ControlState::setLimits(CallerLimits limits) {
  limits.changed = revision_;
  limits_ = std::move(limits);
}

const Route* ControlState::routeFor(const std::string& host, std::string_view path) const {
  auto places = places_.find(host);
  if (places == places_.end()) return nullptr;
  for (const auto& [length, count] : places->second.lengths) {
    if (length > path.size() || path[length - 1] != '/') continue;
    auto found = places->second.names.find(absl::string_view(path.data(), length));
    if (found != places->second.names.end()) return &routes_.at(found->second);
  }
  return nullptr;
}

const Route* ControlState::routeAt(const std::string& host, const std::string& prefix) const {
  auto places = places_.find(host);
  if (places == places_.end()) return nullptr;
  auto found = places->second.names.find(prefix);
  return found != places->second.names.end() ? &routes_.at(found->second) : nullptr;
}

void ControlState::forgetOld() {
  while (goneRoutes_.size() > kGoneKept) {
    forgotten_ = revision_;
    goneRoutes_.clear();
  }
  while (goneWorkers_.size() > kGoneKept) {
    forgotten_ = revision_;
    goneWorkers_.clear();
  }
  while (gonePools_.size() > kGoneKept) {
    forgotten_ = revision_;
    gonePools_.clear();
  }
  while (goneTenants_.size() > kGoneKept) {
    forgotten_ = revision_;
    goneTenants_.clear();
  }
}

}  // namespace stonemount
