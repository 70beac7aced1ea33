// Asks workers that this node takes for cold, or has only just met, whether they are
// (docs/design-notes/cold-workers.md).
#pragma once

#include "proxy/pool_load_table.h"
#include "runtime/http_call.h"

namespace stonemount {

struct WarmthProbeCounts {
  std::uint64_t sent = 0, warm = 0, cold = 0, unanswered = 0;
};

// A probe goes beside a request, and only where the worker's share of this node has room for one more: it counts as a
// request. Runs on the loop's thread.
class WarmthProbe {
 public:
  WarmthProbe(Ports& ports, TaskRoom& room, PoolLoadTable& table, const ControlState& control,
              const WorkerDialect& dialect);
  ~WarmthProbe() { wanted_.disconnect(); }
  WarmthProbe(const WarmthProbe&) = delete;
  WarmthProbe& operator=(const WarmthProbe&) = delete;
  const WarmthProbeCounts& counts() const { return counts_; }

 private:
  void onWanted(const Address& worker);
  Task probe(Address worker, std::string path);
  // What becomes of the share that it took.
  PoolLoadTable::Ending read(const Address& worker, const std::string& life, Us askedUs, const HttpVerdict& verdict);
  Ports& ports_;
  TaskRoom& room_;
  PoolLoadTable& table_;
  const ControlState& control_;
  const WorkerDialect& dialect_;
  sigc::connection wanted_;
  WarmthProbeCounts counts_;
};

}  // namespace stonemount
