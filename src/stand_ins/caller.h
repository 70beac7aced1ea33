// The stand-in caller: streams, lookups, whole answers and lots, each answer checked.
#pragma once

#include "config/json.h"
#include "runtime/http_call.h"

namespace stonemount {

struct CallerPlan {
  std::string name;
  std::vector<Address> nodes;  // own zone first
  std::string event;           // empty: no lots
  Us lookupEveryUs = 0;        // 0: none of that kind
  Us streamEveryUs = 0;
  Us wholeEveryUs = 0;
  Us lotEveryUs = 0;
  std::uint32_t lotItems = 20;
  std::uint32_t lots = 0;
  std::uint32_t workerParts = 4;
  Us limitUs = 10 * kSecondUs;
  Us lotPatienceUs = 120 * kSecondUs;
  Us lotReadsUs = 125 * kSecondUs;  // for so long a lot is read again after it was handed in
};

struct LotRecord {
  std::string lot;
  std::string key;
  std::vector<Bytes> prompts;
  std::map<std::string, Bytes> results;
  bool complete = false;
  Us acceptedUs = 0;
};

struct CallerLedger {
  std::uint64_t asked = 0, served = 0, turnedAway = 0, notWhole = 0, silent = 0, lotsOffered = 0;
  std::map<std::string, LotRecord> lots;      // accepted ones
  std::vector<std::string> toldNeverRuns;     // prompts
  std::vector<std::pair<Us, bool>> outcomes;  // when, and whether served
  std::vector<std::pair<Us, bool>> reads;     // of accepted lots
  std::vector<std::string> faults;            // what must never happen, seen from outside
};

class RehearseCaller {
 public:
  RehearseCaller(Ports& ports, CallerPlan plan, CallerLedger& ledger);
  ~RehearseCaller() { room_.clear(); }
  void begin();
  void stop() { stopped_ = true; }
  void burst(std::uint32_t count);  // so many streams and whole answers at once
  void forget(const Address& node) { std::erase(plan_.nodes, node); }
  std::size_t open() const { return open_; }
  sigc::signal<void(const Bytes&)> toldNeverRuns;  // prompt

 private:
  enum class Kind : std::uint8_t { kLookup, kStream, kWhole };
  Task every(Kind kind, Us periodUs);
  Task call(Kind kind);
  Task handIn();
  Task followLot(std::string key);
  Job<bool> readLot(LotRecord& record);
  Bytes freshPrompt(std::size_t shared);
  Address anyNode();
  void judge(Kind kind, const Bytes& prompt, const HttpVerdict& verdict);
  bool wholeAndRight(Kind kind, const Bytes& prompt, const Bytes& body);
  Ports& ports_;
  CallerPlan plan_;
  CallerLedger& ledger_;
  TaskRoom room_;
  std::uint64_t last_ = 0;
  std::size_t open_ = 0;
  bool stopped_ = false;
};

}  // namespace stonemount
