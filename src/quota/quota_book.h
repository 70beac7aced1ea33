// What the leader of a part knows: tokens reserved and not granted, and what nodes hold
// (docs/design-notes/one-count.md). Pure: told the time, sends nothing.
#pragma once

#include "quota/quota_ledger.h"
#include "quota/quota_messages.h"

namespace stonemount {

struct QuotaBookEntry {  // of one tenant, to be shown
  std::string tenant;
  QuotaLimit limit;
  std::uint64_t stock = 0, out = 0, granted = 0, refused = 0;
};

class QuotaBook {
 public:
  QuotaBook(std::uint32_t part, QuotaBounds bounds, const QuotaLimits& limits)
      : part_(part), bounds_(bounds), limits_(limits) {}
  // The part was taken with that epoch, and the answer came now.
  void begin(std::uint64_t epoch, Us nowUs);
  void end();
  bool leads() const { return epoch_ != 0; }
  std::uint64_t epoch() const { return epoch_; }
  QuotaReply answer(const Address& node, const QuotaAsk& ask, Us nowUs);
  void note(const Address& node, const QuotaAsk& state, Us nowUs);
  bool due(Us nowUs) const;
  // The next reservation, when one is due. One at a time: each is followed by `take` or `fail`.
  std::optional<ReserveQuota> reservation(Us nowUs);
  void take(const QuotaVerdict& verdict, Us nowUs);  // one that is not current ends the lead
  void fail();                                       // its fate is not known: what it reserved is lost
  std::vector<QuotaBookEntry> entries() const;

 private:
  struct Account {
    QuotaLimit limit;
    QuotaBudget budget;
    std::uint64_t stock = 0;      // reserved, not granted
    std::uint64_t out = 0;        // granted, and not known to be spent
    std::uint64_t mostOut = 0;    // as the ledger allowed last
    std::int64_t levelMicro = 0;  // left in the bucket then
    bool dry = false;             // the bucket had not what was wanted
    bool lacking = true;          // the stock is low, or a question found too little since the last reservation
    absl::flat_hash_set<Address> askers, askersBefore;  // in vain, in this span and the one before
    Us askersUs = 0;                                    // when this span began
    std::uint64_t granted = 0, refused = 0;
  };
  struct Holder {
    std::uint64_t life = 0;
    std::uint64_t number = 0;
    Us heardUs = 0;
    std::map<std::string, std::uint64_t> out;
  };
  Account& account(const std::string& tenant);
  Holder* heard(const Address& node, const QuotaAsk& state, Us nowUs);
  void setOut(Holder& holder, const QuotaAsk& state);
  void dropHolder(const Holder& holder);
  void sweep(Us nowUs);
  QuotaGrant grant(Holder& holder, const Address& node, const QuotaNeed& need, Us nowUs);
  Us emptyUs(Account& account, const Address& node, Us nowUs);
  enum class Need : std::uint8_t { kNone, kSoon, kAtOnce };
  Need needOf(const Account& account, Us sinceUs) const;
  void findLimited();
  QuotaRequest requestFor(const std::string& tenant, const Account& account) const;
  std::uint32_t part_;
  QuotaBounds bounds_;
  const QuotaLimits& limits_;
  std::uint64_t epoch_ = 0;
  Us zeroUs_ = 0;    // of ledger time: when the part was taken, later by what was forgone
  Us provenUs_ = 0;  // when the newest reservation that was taken was proposed
  Us proposedUs_ = 0;
  Us sweptUs_ = 0;
  bool underWay_ = false;
  std::uint64_t number_ = 0;
  std::vector<QuotaRequest> proposed_;
  std::map<std::string, Account> accounts_;
  absl::flat_hash_map<Address, Holder> holders_;
};

}  // namespace stonemount
