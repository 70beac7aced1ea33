// The sampler: one core's duty, pinned to one session at the store's head (design.md 8.2).
#pragma once

#include "election/election.h"
#include "replication/client.h"
#include "replication/replica.h"
#include "safe_time/session.h"

namespace stonemount {

class Sampler {
 public:
  Sampler(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, Election& election, ChainClient& store, const Replica& clocks,
          SafeTimePlan plan);
  void begin() { room_.start(run()); }
  static constexpr const char* kDuty = "sampler";
  std::uint64_t epoch() const { return epoch_; }

 private:
  Task run();
  Job<bool> pin();    // a session and the lock; advances the epoch
  Job<bool> round();  // false: the leadership is over
  Job<Done> sweep();
  Ports& ports_;
  RpcEndpoint& rpc_;
  TaskRoom& room_;
  Election& election_;
  ChainClient& store_;
  const Replica& clocks_;  // the core's member: it hears the other cores' wall clocks
  SafeTimePlan plan_;
  std::uint64_t session_ = 0;
  std::uint64_t epoch_ = 0;
  std::uint64_t round_ = 0;
  Us lastMonoUs_ = 0;
  Us lastWallUs_ = 0;
};

}  // namespace stonemount
