#include "config/tenants.h"

#include <absl/hash/hash.h>
#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/string_view.h>
#include <absl/strings/strip.h>

namespace stonemount {

namespace {
constexpr char kScheme[] = "bearer";

std::size_t hashOf(std::string_view key) {
  return absl::Hash<absl::string_view>()(absl::string_view(key.data(), key.size()));
}

bool equalInConstantTime(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) return false;
  unsigned difference = 0;
  for (std::size_t at = 0; at < left.size(); ++at)
    difference |= static_cast<unsigned char>(left[at]) ^ static_cast<unsigned char>(right[at]);
  return difference == 0;
}
}  // namespace

const Tenant* TenantTable::holderOf(std::string_view key) const {
  auto found = holders_.find(hashOf(key));
  if (found == holders_.end()) return nullptr;
  for (const KeyHolder& holder : found->second)
    if (equalInConstantTime(holder.key, key)) return find(holder.tenant);
  return nullptr;
}

const Tenant* TenantTable::find(const std::string& name) const {
  auto found = tenants_.find(name);
  return found == tenants_.end() ? nullptr : &found->second;
}

void TenantTable::put(Tenant tenant) {
  Tenant& standing = tenants_[tenant.name];
  unindex(standing);
  standing = std::move(tenant);
  index(standing);
}

bool TenantTable::remove(const std::string& name) {
  auto found = tenants_.find(name);
  if (found == tenants_.end()) return false;
  unindex(found->second);
  tenants_.erase(found);
  return true;
}

void TenantTable::clear() {
  tenants_.clear();
  holders_.clear();
}

// While a batch of changes is taken, another tenant may still hold one of this one's keys: the newest has it.
void TenantTable::index(const Tenant& tenant) {
  for (const std::string& key : tenant.keys) {
    std::vector<KeyHolder>& holders = holders_[hashOf(key)];
    std::erase_if(holders, [&key](const KeyHolder& holder) { return holder.key == key; });
    holders.push_back({key, tenant.name});
  }
}

void TenantTable::unindex(const Tenant& tenant) {
  for (const std::string& key : tenant.keys) {
    auto found = holders_.find(hashOf(key));
    if (found == holders_.end()) continue;
    std::erase_if(found->second,
                  [&](const KeyHolder& holder) { return holder.key == key && holder.tenant == tenant.name; });
    if (found->second.empty()) holders_.erase(found);
  }
}

void TenantTable::indexAll() {
  holders_.clear();
  for (const auto& [name, tenant] : tenants_) index(tenant);
}

bool fitsAsTenantName(std::string_view name) {
  if (name.empty() || name.front() == ' ' || name.back() == ' ') return false;
  for (const char letter : name)
    if (static_cast<unsigned char>(letter) < ' ' || letter == 0x7f) return false;
  return true;
}

std::string bearerKey(const HeaderMap& headers) {
  auto found = headers.find("authorization");
  if (found == headers.end()) return "";
  absl::string_view text = absl::StripAsciiWhitespace(found->second);
  const std::size_t space = text.find(' ');
  if (space == absl::string_view::npos || !absl::EqualsIgnoreCase(text.substr(0, space), kScheme)) return "";
  return std::string(absl::StripLeadingAsciiWhitespace(text.substr(space)));
}

CallerTenant tenantOfCaller(const TenantTable& tenants, bool openRoute, const HeaderMap& headers) {
  if (!tenants.keysNeeded()) return nullptr;
  const std::string key = bearerKey(headers);
  if (key.empty()) {
    if (openRoute) return nullptr;
    return KeyRefused{};
  }
  const Tenant* holder = tenants.holderOf(key);
  if (holder == nullptr) return KeyRefused{};
  return holder;
}

}  // namespace stonemount
