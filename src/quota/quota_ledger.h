// The durable count of tenants' tokens, kept in the control chain (docs/design-notes/one-count.md). Each part has an
// epoch, which every new leader of it advances, and a time of its own, which only the current leader's reservations
// advance, by no more than its monotonic time since it took the part.
#pragma once

#include "quota/quota_limit.h"

namespace stonemount {

// A new leader of a part: the reservations of those before it are refused from now on.
struct TakeQuotaPart {
  std::uint32_t part = 0;
  STONEMOUNT_PACK(part)
};
// What a leader asks for one tenant, and what it has.
struct QuotaRequest {
  std::string tenant;
  QuotaBudget budget;
  std::uint64_t stock = 0;    // reserved, and not granted yet
  std::uint64_t out = 0;      // at nodes
  std::uint64_t mostOut = 0;  // that it would have at nodes at the most until its next reservation
  std::uint64_t wanted = 0;
  STONEMOUNT_PACK(tenant, budget, stock, out, mostOut, wanted)
};
struct ReserveQuota {
  std::uint32_t part = 0;
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;  // grows within the epoch; one that is not above the newest taken is refused
  Us sinceTakeUs = 0;        // the leader's monotonic time since it took the part, less what it forgoes
  std::vector<QuotaRequest> requests;
  STONEMOUNT_PACK(part, epoch, number, sinceTakeUs, requests)
};
struct QuotaReserved {
  std::uint64_t taken = 0;
  std::uint64_t mostOut = 0;    // that this leader may have at nodes from now on
  std::int64_t levelMicro = 0;  // left in the bucket
  STONEMOUNT_PACK(taken, mostOut, levelMicro)
};
struct QuotaVerdict {
  bool current = false;  // false: another leads, or a later reservation was taken first
  std::uint64_t epoch = 0;
  std::vector<QuotaReserved> reserved;  // in the order of the requests
  STONEMOUNT_PACK(current, epoch, reserved)
};

class QuotaLedger {
 public:
  QuotaVerdict apply(const TakeQuotaPart& command);
  QuotaVerdict apply(const ReserveQuota& command);
  std::uint64_t epoch(std::uint32_t part) const;
  Us timeUs(std::uint32_t part) const;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(parts_);
  }

 private:
  struct Account {
    std::int64_t levelMicro = 0;
    Us filledUs = 0;  // ledger time up to which it is refilled
    std::uint64_t stock = 0;
    std::uint64_t out = 0;
    std::uint64_t voidStock = 0;  // of leaders before, who may still grant it
    Us voidUntilUs = 0;
    std::uint64_t lostOut = 0;  // at nodes, by leaders before
    Us lostUntilUs = 0;
    STONEMOUNT_PACK(levelMicro, filledUs, stock, out, voidStock, voidUntilUs, lostOut, lostUntilUs)
  };
  struct Part {
    std::uint64_t epoch = 0;
    std::uint64_t number = 0;
    Us sinceTakeUs = 0;
    Us timeUs = 0;
    std::map<std::string, Account> accounts;
    STONEMOUNT_PACK(epoch, number, sinceTakeUs, timeUs, accounts)
  };
  static void expire(Account& account, Us timeUs);
  static void refill(Account& account, const QuotaRequest& request, Us timeUs);
  static QuotaReserved reserve(Part& part, const QuotaRequest& request);
  std::map<std::uint32_t, Part> parts_;
};

}  // namespace stonemount
