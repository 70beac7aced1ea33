#include "config/location.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

namespace stonemount {

std::string comparableHost(std::string_view hostHeader) {
  const std::string_view host = hostHeader.substr(0, hostHeader.find(':'));
  return absl::AsciiStrToLower(absl::string_view(host.data(), host.size()));
}

std::string locationOf(std::string_view hostHeader, std::string_view target) {
  const std::string_view path = pathOf(target);
  const std::string_view folder = path.substr(0, path.rfind('/') + 1);
  return absl::StrCat(comparableHost(hostHeader), absl::string_view(folder.data(), folder.size()));
}

std::optional<std::size_t> PrefixTable::find(std::string_view location) const {
  std::size_t length = location.size();
  while (length > 0) {
    auto found = numbers_.find(absl::string_view(location.data(), length));
    if (found != numbers_.end()) return found->second;
    if (length == 1) break;
    const std::size_t slash = location.rfind('/', length - 2);
    if (slash == std::string_view::npos) break;
    length = slash + 1;
  }
  return std::nullopt;
}

}  // namespace stonemount
