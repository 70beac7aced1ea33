// The way of a live request: front, waiting room, worker selection, relay; joined by bounded queues
// (design.md 9.1).
#pragma once

#include "proxy/exchange.h"

namespace stonemount {

struct ProxyPlan {
  std::size_t waitingBound = 256;
  std::size_t relayBound = 1024;
  Us waitUs = 1500 * kMilliUs;  // longest stay in the waiting room
  int triesUnsent = 4;
  int triesLookup = 3;
};

struct ProxyCounts {
  std::uint64_t taken = 0, sealed = 0, turnedAway = 0, lapsed = 0, broken = 0, left = 0, retried = 0, declined = 0;
};

class Proxy {
 public:
  Proxy(Ports& ports, TaskRoom& room, WorkerLoadTable& board, const ControlState& control, ProxyPlan plan,
        std::string exchangePrefix);
  ~Proxy();
  void begin() { room_.start(selectForWaiting()); }
  // Streams, whole answers and lookups. The route is known and fits the ask's kind.
  void enter(const Route& route, const HttpAsk& ask, Bytes prompt, ReplyPtr reply);
  void drain() { draining_ = true; }
  const ProxyCounts& counts() const { return counts_; }
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t relaying() const { return relaying_; }
  std::string freshExchange();
  int retryAfterSeconds() const;

 private:
  struct Caller;  // one live request
  Task serve(std::shared_ptr<Caller> caller);
  Job<bool> waitForWorker(std::shared_ptr<Caller> caller);
  Task selectForWaiting();
  void finish(Caller& caller, const WorkEnding& ending);
  void turnAway(Caller& caller, int status, const char* verdict, const char* ran);
  Ports& ports_;
  TaskRoom& room_;
  WorkerLoadTable& board_;
  const ControlState& control_;
  ProxyPlan plan_;
  std::string exchangePrefix_;
  std::uint64_t lastExchange_ = 0;
  std::deque<std::shared_ptr<Caller>> waiting_;
  std::size_t relaying_ = 0;
  Event waitingEvent_;
  sigc::connection roomMade_;
  ProxyCounts counts_;
  Us lastSealedUs_ = 0;
  Us paceUs_ = 100 * kMilliUs;  // smoothed time between two answers
  bool draining_ = false;
};

void sendVerdict(HttpReply& reply, int status, const std::string& verdict, std::initializer_list<LogPair> pairs = {},
                 int retryAfter = 0);

}  // namespace stonemount
