// A standing lot to hand to the store's machine.
#pragma once

#include "store/store_machine.h"

namespace stonemount {

constexpr Us kRetentionUs = 20 * kSecondUs;
constexpr std::uint32_t kItems = 5;
constexpr std::uint32_t kAttempts = 3;

inline SubmitLot lotNamed(const std::string& name) {
  SubmitLot lot;
  lot.name = name;
  lot.route = "bulk";
  lot.host = "example";
  lot.digest = spread(name);
  lot.attempts = kAttempts;
  lot.retentionUs = kRetentionUs;
  lot.keepUs = 30 * kSecondUs;
  lot.keyUs = 60 * kSecondUs;
  for (std::uint32_t i = 0; i < kItems; ++i) {
    LotItem item{name + std::to_string(i), Bytes("body\0of ", 8) + name + std::to_string(i)};
    item.target = "/a/b?c=" + std::to_string(i);
    item.headers = {{"model", "m"}};
    lot.items.push_back(item);
  }
  return lot;
}

}  // namespace stonemount
