// A configuration as the state behind the control chain tells it back, and texts in one spelling to compare it with.
#pragma once

#include <rapidcheck.h>

#include "control/control_machine.h"
#include "platform/config.h"

namespace stonemount {

struct ByOrder {
  template <class Item>
  bool operator()(const Item& left, const Item& right) const {
    return left.order < right.order;
  }
};
inline std::string told(const ControlMachine& machine) {
  ControlNews news = machine.state().newsSince(0);
  std::stable_sort(news.routes.begin(), news.routes.end(), ByOrder());
  std::stable_sort(news.pools.begin(), news.pools.end(), ByOrder());
  return writeConfiguration({news.configRevision, news.routes, news.pools, news.limits, news.given});
}
inline std::string canonical(const std::string& text) {
  JsonVerdict read = parseJson(text);
  RC_ASSERT(std::holds_alternative<JsonDocument>(read));
  return canonicalJson(std::get<JsonDocument>(read));
}

}  // namespace stonemount
