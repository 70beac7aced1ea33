// What nodes and the leaders of the parts say to each other (docs/design-notes/one-count.md).
#pragma once

#include "quota/quota_limit.h"

namespace stonemount {

struct QuotaNeed {
  std::string tenant;
  std::uint32_t held = 0;     // tokens here that are not spent, of the epoch that the message names
  std::uint32_t waiting = 0;  // requests that wait for one
  std::uint32_t ahead = 0;    // wanted beyond these
  STONEMOUNT_PACK(tenant, held, waiting, ahead)
};
// From a node to the leader of a part: all that it holds of the part. What is not named, it does not hold. A node has
// one such question under way for a part; when it gives one up it takes no answer to it any more.
struct QuotaAsk {
  static constexpr std::uint16_t kKind = 80;
  std::uint32_t part = 0;
  std::uint64_t life = 0;    // of the node's process
  std::uint64_t number = 0;  // grows within that life
  std::uint64_t epoch = 0;   // the newest that it knows
  std::vector<QuotaNeed> needs;
  STONEMOUNT_PACK(part, life, number, epoch, needs)
};
// The same where nothing is wanted; not answered, and sent only while no question is under way.
struct QuotaReport {
  static constexpr std::uint16_t kKind = 81;
  QuotaAsk state;
  STONEMOUNT_PACK(state)
};
struct QuotaGrant {
  std::string tenant;
  std::uint32_t granted = 0;
  Us emptyUs = 0;      // the limit is reached: ask again after that; 0: not reached, though there may be none just now
  bool tight = false;  // tell soon what is spent
  STONEMOUNT_PACK(tenant, granted, emptyUs, tight)
};
struct QuotaReply {
  bool leads = false;
  Address leader;  // where it is somebody else; unset: not known
  std::uint64_t epoch = 0;
  std::vector<QuotaGrant> grants;
  STONEMOUNT_PACK(leads, leader, epoch, grants)
};

}  // namespace stonemount
