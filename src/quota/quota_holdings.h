// What a node holds of the tenants' tokens, and the requests that wait for one (docs/design-notes/one-count.md).
// Pure: told the time, sends nothing.
#pragma once

#include <array>

#include "quota/quota_gate.h"
#include "quota/quota_messages.h"

namespace stonemount {

// A request that waits for a token. It stays in place until it is decided or has left.
class QuotaWait {
 public:
  virtual ~QuotaWait() = default;
  virtual void decided(std::optional<QuotaToken> token) = 0;  // none: refused
};

enum class Admission : std::uint8_t { kAdmitted, kWaits, kRefused };

struct QuotaCounts {
  std::uint64_t free = 0;  // no limit
  std::uint64_t held = 0;  // took a token that was here
  std::uint64_t waited = 0, refusedEmpty = 0, refusedFull = 0, refusedLate = 0, returned = 0, dropped = 0;
  std::uint64_t asks = 0, reports = 0, silent = 0;
};

class QuotaHoldings {
 public:
  QuotaHoldings(std::uint64_t life, const QuotaLimits& limits) : life_(life), limits_(limits) {}
  // kAdmitted: `token` is set. kWaits: `wait` is told. Refused requests cost nothing but this look.
  Admission admit(const std::string& tenant, QuotaToken& token, QuotaWait& wait, Us nowUs);
  void leave(const std::string& tenant, QuotaWait& wait, bool late);
  // Its request went to a worker. True: a report will be due sooner than told before.
  bool spend(const QuotaToken& token, Us nowUs);
  void giveBack(const QuotaToken& token, Us nowUs);         // its request reached no worker, and will not
  Us refusedUs(const std::string& tenant, Us nowUs) const;  // when a refused request may come again

  bool askDue(std::uint32_t part, Us nowUs) const;
  bool reportDue(std::uint32_t part, Us nowUs) const;
  // How long nothing of these is due, if nothing else happens.
  Us idleUs(std::uint32_t part, Us nowUs);
  QuotaAsk ask(std::uint32_t part, Us nowUs);  // followed by `take` or `silent`
  QuotaAsk report(std::uint32_t part);
  void take(std::uint32_t part, const QuotaReply& reply, Us nowUs);
  void silent(std::uint32_t part, Us nowUs);
  // The leader answered lately: what it does not grant is beyond the limit.
  bool inTouch(std::uint32_t part, Us nowUs) const;
  const QuotaCounts& counts() const { return counts_; }
  std::uint64_t held(const std::string& tenant) const;

 private:
  struct Holding {
    std::uint32_t held = 0;
    std::uint32_t inHand = 0;  // admitted, and not at a worker yet
    Us heldUs = 0;             // when the newest was asked for
    Us emptyUntilUs = 0;       // a hint of the leader, for when to ask again
    double perS = 0;           // requests, smoothed
    Us cameUs = 0;
    QuotaLimit limit;
    std::deque<QuotaWait*> waiting;
  };
  struct Part {
    std::uint64_t epoch = 0;
    Us askedUs = 0;     // newest question
    Us answeredUs = 0;  // newest question that was answered by a leader
    bool underWay = false;
    bool spent = false;  // not told yet
    Us spentUs = 0;
    bool tight = false;
    std::map<std::string, Holding> holdings;
  };
  Holding& holding(Part& part, const std::string& tenant, const QuotaLimit& limit, Us nowUs);
  void noteDemand(Holding& holding, Us nowUs);
  static std::uint32_t aheadOf(const Holding& holding, Us nowUs);
  QuotaAsk state(std::uint32_t part, Us nowUs);
  void dropOld(Part& part, Us nowUs);
  void enterEpoch(Part& part, std::uint64_t epoch);
  void takeGrant(Part& part, const QuotaGrant& grant, Us nowUs);
  static bool noteSpent(Part& part, Us nowUs);
  std::uint64_t life_;
  std::uint64_t number_ = 0;
  const QuotaLimits& limits_;
  std::array<Part, kQuotaParts> parts_;
  QuotaCounts counts_;
};

}  // namespace stonemount
