#include "proxy/channel_headers.h"

#include <algorithm>
#include <array>

namespace stonemount {

bool concernsChannel(const std::string& name) {
  static constexpr std::array<std::string_view, 10> kNames{
      "connection", "content-length", "expect",  "keep-alive",       "proxy-authenticate", "proxy-connection",
      "te",         "trailer",        "upgrade", "transfer-encoding"};
  return std::find(kNames.begin(), kNames.end(), name) != kNames.end();
}

HeaderMap withoutChannelHeaders(const HeaderMap& given) {
  HeaderMap kept;
  for (const auto& [name, value] : given)
    if (!concernsChannel(name)) kept.emplace(name, value);
  return kept;
}

}  // namespace stonemount
