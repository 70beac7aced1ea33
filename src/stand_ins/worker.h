// The stand-in worker: a prefix cache, a cold start, silences, and faults on demand
// (docs/worker-contract.md).
#pragma once

#include "runtime/http_call.h"

namespace stonemount {

struct WorkerPlan {
  std::string pool = "models";
  std::string zone;
  std::uint32_t slots = 4;
  std::uint32_t coldBear = 2;    // what it bears when cold
  std::uint32_t warmAfter = 12;  // answers until it is warm
  std::uint32_t parts = 4;
  Us partUs = 40 * kMilliUs;
  Us missUs = 80 * kMilliUs;  // more for a prefix that it has not cached
  std::size_t cachePrefixes = 64;
  std::vector<std::string> adapters;
  Address platform;                // where it has itself listed, if anywhere
  std::uint64_t oddsTruncate = 0;  // one in so many; 0: never
  std::uint64_t oddsSwap = 0;
  std::uint64_t oddsSilent = 0;
  std::size_t padBytes = 0;  // more in each part
  Us silentUs = 5 * kSecondUs;
  std::uint64_t oddsWholeAtEnd = 4;
};

struct WorkerLedger {
  std::uint64_t started = 0, finished = 0, refused = 0, coldRefused = 0, worstExcess = 0, cacheHits = 0,
                cacheMisses = 0;
  struct Start {
    Us atUs = 0;
    Bytes prompt;
    bool lookup = false;
    bool lot = false;
  };
  std::vector<Start> starts;
};

// What the stand-in answers: it begins with a salt, another for each run, and all parts follow from
// prompt and salt. Callers check it, and see text of two runs joined.
Bytes rehearsedPart(const Bytes& prompt, const std::string& salt, std::uint32_t number);
bool rehearsedWell(const Bytes& prompt, const Bytes& answer, std::uint32_t parts);

class RehearseWorker {
 public:
  RehearseWorker(Ports& ports, Address self, WorkerPlan plan, WorkerLedger& ledger);
  ~RehearseWorker();
  void begin();
  void leave() { leaving_ = true; }
  bool leaving() const { return leaving_; }
  sigc::signal<void(const WorkerLedger::Start&)> started;
  void refuseAll(bool refusing) { refusing_ = refusing; }  // though it reports that it bears them

 private:
  void onAsked(const HttpAsk& ask, ReplyPtr reply);
  void sendHealth(HttpReply& reply) const;
  void sendMetrics(HttpReply& reply) const;
  std::uint32_t bear() const;
  Task work(std::string exchange, Bytes prompt, bool lookup, bool lot, ReplyPtr reply);
  Task enlist();
  bool cached(const Bytes& prompt);
  Ports& ports_;
  Address self_;
  WorkerPlan plan_;
  WorkerLedger& ledger_;
  TaskRoom room_;
  sigc::connection asked_;
  std::uint32_t load_ = 0;
  std::deque<Us> turnedAwayUs_;  // of late: asks that were here beyond what it bears
  std::uint64_t answered_ = 0;
  bool leaving_ = false;
  bool refusing_ = false;
  std::deque<std::uint64_t> cache_;
};

}  // namespace stonemount
