#include "control/config_merge.h"

#include <algorithm>

namespace stonemount {

namespace {
constexpr std::uint64_t kOrderGap = 1024;  // so that one put between two others moves neither

template <class Item>
const std::string& nameOf(const ItemChange<Item>& change) {
  return change.after ? change.after->name : change.before->name;
}

// Who stays in the same order keeps its key, so that a push tells all nodes only of what it changed.
template <class Item>
std::uint64_t orderAfter(std::uint64_t last, const Item* standing) {
  if (standing != nullptr && standing->order > last) return standing->order;
  return standing != nullptr ? last + 1 : last + kOrderGap;
}

template <class Item>
void put(Item item, const std::map<std::string, Item>& standing, std::vector<ItemChange<Item>>& changes) {
  auto found = standing.find(item.name);
  if (found == standing.end())
    changes.push_back({std::nullopt, std::move(item)});
  else if (!sameItem(found->second, item))
    changes.push_back({found->second, std::move(item)});
}

template <class Item>
std::vector<ItemChange<Item>> mergeItems(const std::map<std::string, Item>& standing, const std::vector<Item>& wished,
                                         const std::vector<std::string>& removed, bool whole) {
  std::vector<ItemChange<Item>> changes;
  absl::btree_set<std::string> named;
  std::uint64_t last = 0;
  bool lastKnown = whole;  // of a patch it is needed only where an item is new, and to find it takes them all
  for (Item item : wished) {
    named.insert(item.name);
    auto found = standing.find(item.name);
    const Item* there = found == standing.end() ? nullptr : &found->second;
    if (!whole && there != nullptr) {
      item.order = there->order;
    } else {
      if (!std::exchange(lastKnown, true))
        for (const auto& [name, one] : standing) last = std::max(last, one.order);
      last = orderAfter(last, there);
      item.order = last;
    }
    put(std::move(item), standing, changes);
  }
  for (const auto& [name, item] : standing)
    if (whole && !named.contains(name)) changes.push_back({item, std::nullopt});
  for (const std::string& name : removed) {
    auto found = standing.find(name);
    if (found != standing.end() && named.insert(name).second) changes.push_back({found->second, std::nullopt});
  }
  return changes;
}

template <class Item>
void mergeOne(const Item& standing, const Item& wished, ItemChange<Item>& change) {
  if (pack(standing) == pack(wished)) return;
  change.before = standing;
  change.after = wished;
}

template <class Item>
void gatherBack(const std::vector<ItemChange<Item>>& changes, std::map<std::string, std::optional<Item>>& target) {
  for (const ItemChange<Item>& change : changes) target[nameOf(change)] = change.before;
}

template <class Item>
std::vector<ItemChange<Item>> changesTo(const std::map<std::string, std::optional<Item>>& target,
                                        const std::map<std::string, Item>& standing) {
  std::vector<ItemChange<Item>> changes;
  for (const auto& [name, item] : target) {
    auto found = standing.find(name);
    if (item)
      put(*item, standing, changes);
    else if (found != standing.end())
      changes.push_back({found->second, std::nullopt});
  }
  return changes;
}

// Pointers into the state and the step, which both outlive it.
template <class Item>
std::map<std::string, const Item*> resultOf(const std::map<std::string, Item>& standing,
                                            const std::vector<ItemChange<Item>>& changes) {
  std::map<std::string, const Item*> result;
  for (const auto& [name, item] : standing) result.emplace_hint(result.end(), name, &item);
  for (const ItemChange<Item>& change : changes) {
    if (change.after)
      result[change.after->name] = &*change.after;
    else
      result.erase(change.before->name);
  }
  return result;
}

ConfigFlaw flawOf(const Route& route, const std::map<std::string, const Pool*>& pools, bool poolsGiven) {
  if (route.limitUs <= 0) return ConfigFlaw::kNoTime;
  std::uint64_t weight = route.shares.empty() && !route.pool.empty() ? 1 : 0;
  for (const PoolShare& share : route.shares) weight += share.weight;
  if (weight == 0) return ConfigFlaw::kNoWeight;
  if (pools.empty() && !poolsGiven) return ConfigFlaw::kNone;  // pools are as they are listed
  if (!pools.contains(route.pool)) return ConfigFlaw::kUnknownPool;
  for (const PoolShare& share : route.shares)
    if (!pools.contains(share.pool)) return ConfigFlaw::kUnknownPool;
  return ConfigFlaw::kNone;
}
}  // namespace

ConfigStep mergeWish(const ControlState& state, const ConfigRequest& wish) {
  ConfigStep step;
  step.base = state.configRevision();
  step.revision = wish.next != 0 ? wish.next : step.base + 1;
  step.note = wish.note;
  step.changes = mergeItems(state.routes(), wish.routes, wish.removed, wish.whole);
  step.pools = mergeItems(state.pools(), wish.pools, wish.removedPools, wish.whole);
  step.tenants = mergeItems(state.tenants(), wish.tenants, wish.removedTenants, wish.whole);
  const bool keysNeeded = wish.tenantsGiven || (!wish.whole && state.tenantTable().keysNeeded());
  mergeOne(state.tenantTable().keysNeeded(), keysNeeded, step.keysNeeded);
  CallerLimits limits = wish.limits ? *wish.limits : wish.whole ? CallerLimits() : state.limits();
  limits.changed = state.limits().changed;
  mergeOne(state.limits(), limits, step.limits);
  mergeOne(state.given(), wish.whole ? wish.given : state.given(), step.given);
  return step;
}

ConfigStep mergeBack(const ControlState& state, const std::vector<const ConfigStep*>& steps) {
  ConfigStep back;
  back.base = state.configRevision();
  back.revision = back.base + 1;
  std::map<std::string, std::optional<Route>> routes;
  std::map<std::string, std::optional<Pool>> pools;
  std::map<std::string, std::optional<Tenant>> tenants;
  bool keysNeeded = state.tenantTable().keysNeeded();
  CallerLimits limits = state.limits();
  std::string given = state.given();
  for (const ConfigStep* step : steps) {
    gatherBack(step->changes, routes);
    gatherBack(step->pools, pools);
    gatherBack(step->tenants, tenants);
    if (step->keysNeeded.before) keysNeeded = *step->keysNeeded.before;
    if (step->limits.before) limits = *step->limits.before;
    if (step->given.before) given = *step->given.before;
  }
  limits.changed = state.limits().changed;
  back.changes = changesTo(routes, state.routes());
  back.pools = changesTo(pools, state.pools());
  back.tenants = changesTo(tenants, state.tenants());
  mergeOne(state.tenantTable().keysNeeded(), keysNeeded, back.keysNeeded);
  mergeOne(state.limits(), limits, back.limits);
  mergeOne(state.given(), given, back.given);
  return back;
}

namespace {
// What stands was found without a flaw, so a step that leaves the pools as they are is flawed only in the routes that
// it puts: one change among 10,000 routes is not to cost a look at them all at every member of the chain. What is
// found is what a look at all routes in the order of their names would find first.
ConfigFlawFound findFlawOfChanged(const ControlState& state, const ConfigStep& step,
                                  const std::map<std::string, const Pool*>& pools) {
  std::map<std::string_view, const RouteChange*> changed;
  for (const RouteChange& change : step.changes) changed[nameOf(change)] = &change;
  std::map<std::pair<std::string_view, std::string_view>, std::string_view> places;
  std::map<std::string_view, ConfigFlaw> flaws;
  for (const auto& [name, change] : changed) {
    if (!change->after) continue;
    const Route& route = *change->after;
    const ConfigFlaw flaw = flawOf(route, pools, true);
    if (flaw != ConfigFlaw::kNone) flaws.emplace(name, flaw);
    if (route.host.empty() && route.prefix.empty()) continue;
    const Route* there = state.routeAt(route.host, route.prefix);
    if (there != nullptr && !changed.contains(there->name))
      flaws.emplace(std::max<std::string_view>(name, there->name), ConfigFlaw::kSamePlace);
    if (!places.insert({{route.host, route.prefix}, name}).second) flaws.emplace(name, ConfigFlaw::kSamePlace);
  }
  if (flaws.empty()) return {};
  return {flaws.begin()->second, std::string(flaws.begin()->first)};
}

// Only routes with a prefix can be looked up by their place.
bool hasPrefix(const RouteChange& change) {
  return !change.after || !change.after->prefix.empty() || change.after->host.empty();
}

// Of what stands no two share a key, so a step that leaves the tenants as they are is not looked at. The flaw is told
// by the name of the later tenant, never by the key.
ConfigFlawFound findSharedKey(const ControlState& state, const ConfigStep& step) {
  if (step.tenants.empty()) return {};
  absl::flat_hash_map<std::string_view, std::string_view> holders;
  for (const auto& [name, tenant] : resultOf(state.tenants(), step.tenants)) {
    for (const std::string& key : tenant->keys) {
      const auto [holder, added] = holders.emplace(key, name);
      if (!added && holder->second != name) return {ConfigFlaw::kSharedKey, name};
    }
  }
  return {};
}

ConfigFlawFound findRouteFlaw(const ControlState& state, const ConfigStep& step, bool poolsGiven) {
  const std::map<std::string, const Pool*> pools = resultOf(state.pools(), step.pools);
  const bool few = step.changes.size() < state.routes().size() / 8;
  if (few && step.pools.empty() && !pools.empty() && std::all_of(step.changes.begin(), step.changes.end(), hasPrefix))
    return findFlawOfChanged(state, step, pools);
  absl::btree_set<std::pair<std::string_view, std::string_view>> places;
  for (const auto& [name, route] : resultOf(state.routes(), step.changes)) {
    const ConfigFlaw flaw = flawOf(*route, pools, poolsGiven);
    if (flaw != ConfigFlaw::kNone) return {flaw, name};
    const bool placed = !route->host.empty() || !route->prefix.empty();
    if (placed && !places.insert({route->host, route->prefix}).second) return {ConfigFlaw::kSamePlace, name};
  }
  return {};
}
}  // namespace

ConfigFlawFound findFlaw(const ControlState& state, const ConfigStep& step, bool poolsGiven) {
  ConfigFlawFound found = findRouteFlaw(state, step, poolsGiven);
  return found.flaw != ConfigFlaw::kNone ? found : findSharedKey(state, step);
}

}  // namespace stonemount
