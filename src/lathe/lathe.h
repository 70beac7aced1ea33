// The way of a live request: front, waiting room, nomination, relay; joined by bounded queues
// (design.md 9.1).
#pragma once

#include "lathe/exchange.h"

namespace stonemount {

struct LathePlan {
  std::size_t waitingBound = 256;
  std::size_t relayBound = 1024;
  Us waitUs = 1500 * kMilliUs;  // longest stay in the waiting room
  int triesUnsent = 4;
  int triesLookup = 3;
};

struct LatheCounts {
  std::uint64_t taken = 0, sealed = 0, turnedAway = 0, lapsed = 0, broken = 0, left = 0, retried = 0, declined = 0;
};

class Lathe {
 public:
  Lathe(Ports& ports, TaskRoom& room, WorkerBoard& board, const ControlState& control, LathePlan plan,
        std::string exchangePrefix);
  ~Lathe();
  void begin() { room_.start(nominateWaiting()); }
  // Streams, whole answers and lookups. The route is known and fits the ask's kind.
  void enter(const Route& route, const HttpAsk& ask, Bytes prompt, ReplyPtr reply);
  void drain() { draining_ = true; }
  const LatheCounts& counts() const { return counts_; }
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t relaying() const { return relaying_; }
  std::string freshExchange();
  int retryAfterSeconds() const;

 private:
  struct Caller;  // one live request
  Task serve(std::shared_ptr<Caller> caller);
  Job<bool> waitForWorker(std::shared_ptr<Caller> caller);
  Task nominateWaiting();
  void finish(Caller& caller, const WorkEnding& ending);
  void turnAway(Caller& caller, int status, const char* verdict, const char* ran);
  Ports& ports_;
  TaskRoom& room_;
  WorkerBoard& board_;
  const ControlState& control_;
  LathePlan plan_;
  std::string exchangePrefix_;
  std::uint64_t lastExchange_ = 0;
  std::deque<std::shared_ptr<Caller>> waiting_;
  std::size_t relaying_ = 0;
  Event waitingEvent_;
  sigc::connection roomMade_;
  LatheCounts counts_;
  Us lastSealedUs_ = 0;
  Us paceUs_ = 100 * kMilliUs;  // smoothed time between two answers
  bool draining_ = false;
};

void sendVerdict(HttpReply& reply, int status, const std::string& verdict,
                 std::initializer_list<LogPair> pairs = {}, int retryAfter = 0);

}  // namespace stonemount
