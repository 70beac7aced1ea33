// Where a request is addressed, as far as routes can tell requests apart (design.md 7.2).
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/strings/string_view.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace stonemount {

// A `Host` header as routes compare it: without the port, in lower case.
std::string comparableHost(std::string_view hostHeader);

// Without the query.
inline std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

// Host and path, up to the path's last slash, joined. Since prefixes of routes end with a slash, all requests of one
// location have the same route in any configuration.
std::string locationOf(std::string_view hostHeader, std::string_view target);

// Some prefixes (host and path prefix joined), each with a number. They are not copied.
class PrefixTable {
 public:
  void put(const std::string& prefix, std::size_t number) { numbers_[prefix] = number; }
  void put(std::string&& prefix, std::size_t number) = delete;
  // The number of the longest prefix that begins the location.
  std::optional<std::size_t> find(std::string_view location) const;

 private:
  absl::flat_hash_map<absl::string_view, std::size_t> numbers_;
};

}  // namespace stonemount
