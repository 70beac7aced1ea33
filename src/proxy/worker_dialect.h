// How workers are spoken to where requests are passed through: a port, translated by the adapter to a
// platform (design.md 9.6).
#pragma once

#include "stonemount.h"

namespace stonemount {

struct WorkerLoad {  // as a worker tells it of itself
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};
enum class WorkerWord : std::uint8_t {
  kSealed,     // a success with its seal: counts once it is whole
  kNotRun,     // it says that it has not run the request and will not
  kOtherLife,  // another worker has the address; not run
  kDeclined,   // it can never be done
  kFailed,     // its own failure: it ran
  kForeign,    // no answer to this request in the protocol; it may have run
};
struct WorkerHead {
  WorkerWord word = WorkerWord::kForeign;
  std::optional<WorkerLoad> load;
};

// A worker's answer to the question for its health.
struct WorkerHealth {
  enum class State : std::uint8_t { kWell, kUnwell, kOtherLife };
  State state = State::kUnwell;
  Us coldLeftUs = 0;  // 0: it is warm
  std::optional<WorkerLoad> load;
};

class WorkerDialect {
 public:
  virtual ~WorkerDialect() = default;
  // Adds what concerns one try at one worker: its life, what is left of the limit, where to go on.
  virtual void direct(HttpAsk& ask, const std::string& life, Us leftUs,
                      std::optional<std::uint64_t> lastEvent) const = 0;
  virtual HttpVia via(const std::string& exchange) const = 0;
  virtual WorkerHead read(const HttpHead& head) const = 0;
  // `life`: the one that was meant.
  virtual WorkerHealth readHealth(const HttpHead& head, const std::string& life) const = 0;
};

}  // namespace stonemount
