// A fleet without sockets that counts tenants' requests: nodes, cores that lead the parts, and the ledger behind them,
// in the time of a queue of events. Every request that goes to a worker is recorded.
#pragma once

#include <functional>
#include <queue>

#include "quota/quota_book.h"
#include "quota/quota_holdings.h"

namespace stonemount {

struct QuotaFleetPlan {
  std::size_t nodes = 12;
  std::size_t cores = 3;
  bool troubles = true;  // nodes and cores that die, freeze, are cut off; stalls of the chain
  bool limitsMove = false;
  bool herd = false;        // nodes freeze with tokens in hand, more and more of them, and all thaw at once
  bool jumps = false;       // traffic goes from some nodes to others
  double hotTimes = 1;      // the hot tenants' demand, in times their limit
  std::size_t hot = 0;      // so many of the tenants
  double usualShare = 0.6;  // the others' demand, as a share of their limit
  std::vector<QuotaLimit> limits;
  QuotaBounds bounds;
};

struct QuotaTally {
  std::uint64_t asked = 0;
  std::uint64_t admitted = 0;  // some of them find no worker then
  std::uint64_t owed = 0;      // what an exact bucket would have admitted
  std::vector<Us> arrivals;
  std::uint64_t missed() const { return owed - std::min(owed, admitted); }
};

class QuotaFleet {
 public:
  QuotaFleet(std::uint64_t seed, QuotaFleetPlan plan);
  ~QuotaFleet();
  void run(Us lengthUs);
  void loseLeader(Us lengthUs);  // the core that leads the first part dies, and starts again after that
  void stallChain(Us lengthUs) { stalledUntilUs_ = nowUs_ + lengthUs; }
  const QuotaTally& tally(std::size_t tenant) const { return tallies_[tenant]; }
  // The worst window of all tenants: requests in hundredths of what the rule allows, by the highest limit that any
  // process went by since a window before it.
  std::uint64_t worstPercent() const;
  std::uint64_t messages() const { return messages_; }
  std::uint64_t reservations() const { return reservations_; }
  std::uint64_t takes() const { return takes_; }

 private:
  struct Node;
  struct Core;
  class Request;
  class View;  // of the limits, as one process knows them
  struct Step {
    Us atUs = 0;
    std::uint64_t number = 0;
    std::function<void()> work;
    bool operator>(const Step& other) const { return std::pair(atUs, number) > std::pair(other.atUs, other.number); }
  };
  struct LimitSpan {  // how long processes went by that limit
    QuotaLimit limit;
    Us fromUs = 0, untilUs = 0;
    std::size_t users = 0;  // that do so now
  };
  void at(Us atUs, std::function<void()> work);
  void after(Us delayUs, std::function<void()> work) { at(nowUs_ + delayUs, std::move(work)); }
  void onNode(std::size_t node, std::uint64_t life, std::function<void()> work);
  void onCore(std::size_t core, std::uint64_t life, std::function<void()> work);
  Us some(Us fromUs, Us toUs);
  void startNode(std::size_t number);
  void startCore(std::size_t number);
  void arrive(std::size_t tenant);
  void request(std::size_t node, std::size_t tenant);
  void granted(std::size_t node, const QuotaToken& token, std::size_t tenant);
  void poll(std::size_t node, std::uint32_t part);
  void ask(std::size_t node, std::uint32_t part);
  void deliverAsk(std::size_t core, std::size_t node, std::uint64_t life, QuotaAsk ask, std::uint64_t question);
  void answered(std::size_t node, std::uint32_t part, std::uint64_t question, std::optional<std::size_t> leader,
                const QuotaReply& reply);
  void keepCore(std::size_t core, std::uint64_t life);
  void lead(std::size_t core, std::uint32_t part);
  template <class Command>
  void submit(std::size_t core, Command command, std::function<void(std::optional<QuotaVerdict>)> done);
  void elect();
  void electFor(std::uint32_t part);
  void trouble();
  void jump();
  void joinHerd(std::size_t node);
  std::size_t chooseNode();
  void nodeTrouble();
  void coreTrouble();
  void loseCore(std::size_t core, Us lengthUs);
  void moveLimit();
  void setLimit(std::size_t process, std::size_t tenant, QuotaLimit limit);
  bool owes(std::size_t tenant);
  void dropLimits(std::size_t process);
  std::uint64_t worstPercentOf(std::size_t tenant) const;
  std::int64_t allowedMicro(std::size_t tenant, Us fromUs) const;
  QuotaFleetPlan plan_;
  Chance chance_;
  Us nowUs_ = 100 * kSecondUs;
  std::uint64_t lastStep_ = 0;
  std::priority_queue<Step, std::vector<Step>, std::greater<>> steps_;
  std::vector<std::string> names_;
  std::vector<QuotaLimit> limits_;
  std::vector<std::unique_ptr<View>> views_;   // of nodes, then of cores
  std::vector<std::vector<LimitSpan>> spans_;  // by tenant
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Core>> cores_;
  QuotaLedger ledger_;
  std::vector<std::optional<std::size_t>> holders_;  // of the parts' duties, by the votes
  std::vector<Us> vacantUs_;
  Us stalledUntilUs_ = 0;
  Us thawUs_ = 0;  // of the herd
  std::vector<QuotaTally> tallies_;
  std::vector<std::pair<double, Us>> buckets_;
  std::vector<std::size_t> favoured_;  // where traffic goes while it jumps
  std::uint64_t messages_ = 0, reservations_ = 0, takes_ = 0;
};

}  // namespace stonemount
