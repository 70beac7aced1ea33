// A core's work for tenants' quotas: it leads the parts whose duty it holds (docs/design-notes/one-count.md).
#pragma once

#include "config/json.h"
#include "config/settings.h"
#include "election/election.h"
#include "quota/quota_book.h"
#include "replication/client.h"

namespace stonemount {

QuotaBounds quotaBoundsOf(const Bounds& bounds);

class QuotaLeader {
 public:
  QuotaLeader(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, const Election& election, ChainClient& core,
              const QuotaLimits& limits, const QuotaBounds& bounds);
  // The duties of all parts, to be given to the election.
  static std::vector<std::string> duties();
  void begin();
  bool leads(std::uint32_t part) const { return books_[part].leads(); }
  std::vector<QuotaBookEntry> entries() const;  // of the parts that are led here
  void show(JsonOut& out) const;                // the same, as a field of an object that is open

 private:
  Task lead(std::uint32_t part);
  Job<Done> takePart(std::uint32_t part);
  Job<Done> reserve(std::uint32_t part, ReserveQuota command);
  void onAsk(const Asked& asked);
  void onReport(const Asked& asked);
  Ports& ports_;
  RpcEndpoint& rpc_;
  TaskRoom& room_;
  const Election& election_;
  ChainClient& core_;
  const QuotaLimits& limits_;
  std::vector<QuotaBook> books_;  // by part
  std::vector<std::unique_ptr<Event>> lacking_;
};

}  // namespace stonemount
