// What control keeps and carries to all: configuration, zones, workers (design.md 7.1).
#pragma once

#include "config/sparse.h"
#include "config/tenants.h"

namespace stonemount {

enum class RouteKind : std::uint8_t { kStream, kLookup, kWhole };

struct PoolShare {
  std::string pool;
  std::uint32_t weight = 0;
  friend bool operator==(const PoolShare&, const PoolShare&) = default;
  STONEMOUNT_PACK(pool, weight)
};

struct Route {
  std::string name;
  RouteKind kind = RouteKind::kWhole;
  std::string pool;
  Us limitUs = 30 * kSecondUs;
  std::uint32_t prefixBytes = 64;  // how much of a prompt decides its spot
  std::string adapter;
  bool lots = false;  // lots may be handed in for it
  std::string when;   // a rule; where it does not hold, the route named by `otherwise` is asked
  std::string otherwise;
  // A route that is chosen by host and path; its requests are passed through as they came (design.md 9.6).
  std::string host;  // empty: chosen by name only
  std::string prefix;
  std::vector<PoolShare> shares;       // several pools by weight; empty: `pool` alone
  Us targetUs = 0;                     // an answer within it has its full worth; of lots: the acknowledgement
  Us gapTargetUs = 0;                  // longest pause between the parts of a stream that is still in time
  Us completionUs = 0;                 // lots: all results are due within it
  Us retentionUs = 0;                  // lots: an item may be given up after it; 0: never
  std::uint64_t mostQueuedTokens = 0;  // lots: tokens of items that wait, of all clients together; 0: no limit
  std::uint32_t attempts =
      0;  // workers that one request may be sent to; lots: failures until given up; 0: our own bound
  std::uint32_t precedence = 0;  // 0 is the highest
  bool affinity = false;         // requests name the parts of their prompts
  bool resumable = false;        // a stream may go on at another worker
  bool open = false;             // requests need no key
  std::string given;             // the operator's own text of it, to be read back
  std::uint64_t order = 0;       // where it stands in the operator's text, beside the others
  Revision changed = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(name, kind, limitUs, prefixBytes);
    packSparse(archive, pool, adapter, lots, when, otherwise, host, prefix, shares, targetUs, gapTargetUs, completionUs,
               retentionUs, attempts, precedence, affinity, resumable, given, order, changed, mostQueuedTokens, open);
  }
};

// What is configured of a pool of workers.
struct Pool {
  std::string name;
  std::string healthPath;
  std::uint32_t mostChannels = 0;  // that a worker takes from all together; 0: not told
  Us warmUs = 0;                   // how long a worker is cold after its start
  std::uint64_t warmPerKs = 0;     // requests in 1,000 s that a cold one bears; 0: no bound
  std::uint32_t slots = 0;         // requests that run at once; 0: see the list
  std::uint64_t cacheTokens = 0;
  std::string given;
  std::uint64_t order = 0;
  Revision changed = 0;
  STONEMOUNT_PACK(name, healthPath, mostChannels, warmUs, warmPerKs, slots, cacheTokens, given, order, changed)
};
// What callers may send, and how long they may take.
struct CallerLimits {
  std::uint32_t headerBytes = 16 << 10;
  std::uint32_t bodyBytes = 4 << 20;
  Us headerUs = 3 * kSecondUs;
  Us idleUs = 120 * kSecondUs;
  std::string given;
  Revision changed = 0;
  STONEMOUNT_PACK(headerBytes, bodyBytes, headerUs, idleUs, given, changed)
};

struct ListedWorker {
  Address address;
  std::string pool;
  std::string zone;
  std::uint32_t slots = 1;
  bool leaving = false;
  std::string life;   // names one start of it; empty: the platform does not tell
  Us coldLeftUs = 0;  // how much longer it was slow when it was listed
  Revision changed = 0;
  STONEMOUNT_PACK(address, pool, zone, slots, leaving, life, coldLeftUs, changed)
  // A list tells of coldness only as it begins; that is a change.
  bool sameAs(const ListedWorker& other) const {
    return pool == other.pool && zone == other.zone && slots == other.slots && leaving == other.leaving &&
           life == other.life && other.coldLeftUs == 0;
  }
};

struct ZoneState {
  bool evacuated = false;
  Revision changed = 0;
  STONEMOUNT_PACK(evacuated, changed)
};

// The same, whenever it was put there.
template <class Item>
bool sameItem(Item left, Item right) {
  left.changed = right.changed = 0;
  return pack(left) == pack(right);
}

// Changes from one revision to another; `whole` replaces everything.
struct ControlNews {
  Revision from = 0;
  Revision to = 0;
  Revision configRevision = 0;
  bool whole = false;
  std::vector<Route> routes;
  std::vector<std::string> removedRoutes;
  std::vector<ListedWorker> workers;
  std::vector<Address> removedWorkers;
  std::vector<std::pair<std::string, ZoneState>> zones;
  std::vector<Pool> pools;
  std::vector<std::string> removedPools;
  CallerLimits limits;  // always told
  std::string given;    // always told
  std::vector<Tenant> tenants;
  std::vector<std::string> removedTenants;
  bool keysNeeded = false;  // always told
  template <class Archive>
  void serialize(Archive& archive) {
    archive(from, to, configRevision, whole, routes, removedRoutes, workers, removedWorkers, zones, pools, removedPools,
            limits, given);
    packTrailing(archive, tenants, removedTenants, keysNeeded);
  }
};

class ControlState {
 public:
  Revision revision() const { return revision_; }
  Revision configRevision() const { return configRevision_; }
  const std::map<std::string, Route>& routes() const { return routes_; }
  const std::map<Address, ListedWorker>& workers() const { return workers_; }
  const std::map<std::string, ZoneState>& zones() const { return zones_; }
  const std::map<std::string, Pool>& pools() const { return pools_; }
  const TenantTable& tenantTable() const { return tenants_; }
  const std::map<std::string, Tenant>& tenants() const { return tenants_.all(); }
  const CallerLimits& limits() const { return limits_; }
  const std::string& given() const { return given_; }  // what else the operator's text held
  // The route of that host with the longest prefix that begins the path; none: nullptr. Prefixes begin and
  // end with a slash. One look-up for each length of a prefix that the host has (design.md 7.2).
  const Route* routeFor(const std::string& host, std::string_view path) const;
  // The route of exactly that host and prefix; none: nullptr.
  const Route* routeAt(const std::string& host, const std::string& prefix) const;
  bool evacuated(const std::string& zone) const;
  // Whoever knows only that revision is told the whole, not what changed since.
  bool tellsWhole(Revision since) const { return since < forgotten_ || since == 0 || since > revision_; }
  ControlNews newsSince(Revision since) const;
  // Takes what is newer, never what is older. False if it does not fit on what is here.
  bool absorb(const ControlNews& news);

  // Changes, made by the chain's machine only.
  void bump() { ++revision_; }
  void bumpConfig() { ++configRevision_; }
  void setConfigRevision(Revision revision) { configRevision_ = revision; }
  void putRoute(Route route);
  void removeRoute(const std::string& name);
  void setZone(const std::string& zone, bool evacuated);
  void putWorker(ListedWorker worker);
  void removeWorker(const Address& address);
  void putPool(Pool pool);
  void removePool(const std::string& name);
  void putTenant(Tenant tenant);
  void removeTenant(const std::string& name);
  void setKeysNeeded(bool needed) { tenants_.setKeysNeeded(needed); }
  void setLimits(CallerLimits limits);
  void setGiven(std::string given) { given_ = std::move(given); }
  // Tenants are saved apart from the rest, which keeps its format.
  template <class Archive>
  void serializeTenants(Archive& archive) {
    archive(tenants_, goneTenants_);
  }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(revision_, configRevision_, routes_, workers_, zones_, pools_, limits_, given_, goneRoutes_, goneWorkers_,
            gonePools_, forgotten_);
    if constexpr (std::is_same_v<Archive, PackIn>) indexAll();
  }

 private:
  // Routes of one host by prefix, and how many of them have a prefix of each length, longest first.
  struct HostPlaces {
    absl::flat_hash_map<std::string, std::string> names;
    std::map<std::size_t, std::size_t, std::greater<>> lengths;
  };
  void index(const Route& route);
  void unindex(const Route& route);
  void indexAll();
  void placeRoute(const Route& route);
  void dropRoute(const std::string& name);
  void forgetOld();
  Revision revision_ = 0;
  Revision configRevision_ = 0;
  std::map<std::string, Route> routes_;
  std::map<Address, ListedWorker> workers_;
  std::map<std::string, ZoneState> zones_;
  std::map<std::string, Pool> pools_;
  TenantTable tenants_;
  CallerLimits limits_;
  std::string given_;
  absl::flat_hash_map<std::string, HostPlaces> places_;  // not saved
  std::map<std::string, Revision> goneRoutes_;
  std::map<std::string, Revision> gonePools_;
  std::map<std::string, Revision> goneTenants_;
  std::map<Address, Revision> goneWorkers_;
  Revision forgotten_ = 0;  // whoever is older than this is sent the whole
};

}  // namespace stonemount
