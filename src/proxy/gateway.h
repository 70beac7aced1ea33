// Live requests that are passed through: hold, choose, try, go on, answer (design.md 9.6). Which words the
// callers use is the business of whoever enters them here.
#pragma once

#include "proxy/attempt.h"
#include "proxy/late_answers.h"
#include "quota/quota_gate.h"

namespace stonemount {

struct LiveRequest {
  Route route;           // as it stood when the request was read
  std::string exchange;  // the caller's name for this try
  HttpAsk ask;           // as it goes out
  Us limitUs = 0;        // that the caller waits
  std::uint64_t spot = 0;
  std::optional<std::uint64_t> lastEvent;
  std::string tenant;                  // by name; empty: none
  std::uint32_t tenantPrecedence = 0;  // goes before the route's
};

struct GatewayPlan {
  std::size_t holdBound = 512;    // requests that wait for a worker
  std::size_t relayBound = 2048;  // requests at workers
  Us holdUs = 150 * kMilliUs;     // longest wait for a worker; less where a route's target is short
  std::uint32_t tries = 3;        // where the route does not say
};
struct GatewayCounts {
  std::uint64_t taken = 0, whole = 0, refused = 0, lapsed = 0, broken = 0, left = 0, retried = 0, resumed = 0;
  std::uint64_t overQuota = 0, quotaUnreachable = 0;
};

class Gateway : public ItemPasser {
 public:
  Gateway(Ports& ports, TaskRoom& room, PoolLoadTable& board, const ControlState& control, const WorkerDialect& dialect,
          GatewayPlan plan);
  ~Gateway() override;
  void enter(LiveRequest request, ReplyPtr reply);
  Job<PassEnding> passItem(PassOrder order, PassSink& sink) override;
  std::size_t roomForLots(const std::string& pool) const override { return held_ == 0 ? board_.roomForLots(pool) : 0; }
  // From now on requests of tenants are admitted by it.
  void setQuotas(QuotaGate& quotas) { quotas_ = &quotas; }
  void drain() { draining_ = true; }
  // Requests that come from now on are refused at once; those that it has go on to their end.
  void refuseNew() { admits_ = false; }
  bool admits() const { return admits_; }
  const GatewayCounts& counts() const { return counts_; }
  const StageTimes& stageTimes() const { return stageTimes_; }
  // By how much a timer of this process fired too late.
  void noteLoopDelay(Us lengthUs);
  void tellLateAnswers() { lateAnswers_.tell(); }
  // Requests that wait for a worker, or for a token of their tenant.
  std::size_t holding() const { return held_ + admitting_; }
  std::size_t relaying() const { return relaying_; }

 private:
  struct Caller;
  // In a queue: by the tenant's precedence, then the route's, then as they came.
  struct QueuePlace {
    std::uint32_t tenantPrecedence = 0;
    std::uint32_t routePrecedence = 0;
    std::uint64_t number = 0;
    auto operator<=>(const QueuePlace&) const = default;
  };
  bool mayChoose(const std::string& pool, const QueuePlace& place) const;
  Task serve(std::shared_ptr<Caller> caller);
  Job<bool> hold(std::shared_ptr<Caller> caller, std::string pool);
  Job<bool> admitByQuota(std::shared_ptr<Caller> caller);  // false: its caller was told
  void refuseByQuota(Caller& caller, const QuotaRefusal& refusal);
  bool mayTryAgain(const Caller& caller) const;
  bool handleEnding(Caller& caller, const PassEnding& ending);  // true: try again
  void refuse(Caller& caller, const char* why);
  void fail(Caller& caller, int status, const char* why);
  void onRoom();
  Us againUs() const;
  static constexpr Us kLeastLeftUs = 5 * kMilliUs;  // no try is begun with less
  Ports& ports_;
  TaskRoom& room_;
  PoolLoadTable& board_;
  const ControlState& control_;
  const WorkerDialect& dialect_;
  GatewayPlan plan_;
  QuotaGate* quotas_ = nullptr;  // none: tenants are not counted
  std::uint64_t lastEntered_ = 0;
  using Queue = std::map<QueuePlace, Caller*>;
  std::map<std::string, Queue> queues_;  // by pool
  std::size_t held_ = 0;
  std::size_t admitting_ = 0;  // wait for a token of their tenant
  std::size_t relaying_ = 0;
  sigc::connection roomMade_;
  GatewayCounts counts_;
  StageTimes stageTimes_;
  LateAnswers lateAnswers_;
  Us paceUs_ = 20 * kMilliUs;  // smoothed time between two whole answers
  Us lastWholeUs_ = 0;
  bool draining_ = false;
  bool admits_ = true;
};

// A refusal that promises: not run, and never will be. `againUs`: when to come back; 0: not told.
void sendRefusal(HttpReply& reply, int status, const char* why, Us againUs);

}  // namespace stonemount
