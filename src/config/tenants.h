// Tenants: customers that are told apart by the keys which their requests carry (design.md 7.9).
#pragma once

#include "runtime/pack.h"

namespace stonemount {

struct Tenant {
  std::string name;
  std::vector<std::string> keys;  // any of them names the tenant
  std::uint32_t precedence = 0;   // 0 is the highest; goes before that of a route
  std::uint64_t ratePerKs = 0;    // requests in 1,000 s over all nodes together; 0: no limit
  std::uint64_t burst = 0;        // requests on top of the rate
  std::string given;              // the operator's own text of it, to be read back
  std::uint64_t order = 0;        // where it stands in the operator's text, beside the others
  Revision changed = 0;
  STONEMOUNT_PACK(name, keys, precedence, ratePerKs, burst, given, order, changed)
};

// All tenants of a configuration, found by name or by key.
class TenantTable {
 public:
  // True: requests need a key, unless their route is open. It stays so where the last tenant is taken away.
  bool keysNeeded() const { return keysNeeded_; }
  const std::map<std::string, Tenant>& all() const { return tenants_; }
  // Who holds that key; nobody: nullptr. Keys are found by a seeded hash and compared in constant time.
  const Tenant* holderOf(std::string_view key) const;
  const Tenant* find(const std::string& name) const;

  void setKeysNeeded(bool needed) { keysNeeded_ = needed; }
  void put(Tenant tenant);
  bool remove(const std::string& name);  // false: there was none
  void clear();

  template <class Archive>
  void serialize(Archive& archive) {
    archive(keysNeeded_, tenants_);
    if constexpr (std::is_same_v<Archive, PackIn>) indexAll();
  }

 private:
  struct KeyHolder {
    std::string key;
    std::string tenant;
  };
  void index(const Tenant& tenant);
  void unindex(const Tenant& tenant);
  void indexAll();
  bool keysNeeded_ = false;
  std::map<std::string, Tenant> tenants_;
  absl::flat_hash_map<std::size_t, std::vector<KeyHolder>> holders_;  // by the hash of the key; not saved
};

// Workers are told the name in a header: no letter that could end it, no space around it.
bool fitsAsTenantName(std::string_view name);

// The key of a request: what `Authorization: Bearer KEY` holds; empty: none, or another scheme.
std::string bearerKey(const HeaderMap& headers);

struct KeyRefused {};  // a key that nobody holds, or none where one is needed
// Who sent a request with these headers. nullptr: nobody known, and no key is needed.
using CallerTenant = std::variant<const Tenant*, KeyRefused>;
CallerTenant tenantOfCaller(const TenantTable& tenants, bool openRoute, const HeaderMap& headers);

}  // namespace stonemount
