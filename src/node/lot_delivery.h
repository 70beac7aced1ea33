// What became of runs, told to the store until the store has it (design.md 9.5).
#pragma once

#include "node/item_times.h"
#include "replication/client.h"
#include "store/queries.h"

namespace stonemount {

class LotDelivery {
 public:
  LotDelivery(Ports& ports, TaskRoom& room, ChainClient& store, ItemTimes& times, Us gatherUs)
      : ports_(ports), room_(room), store_(store), times_(times), gatherUs_(gatherUs) {}
  void begin() { room_.start(deliver()); }
  void seal(SealedRun run);
  void drop(DroppedRun run);
  void hurry() { gatherUs_ = 0; }
  bool idle() const { return toSeal_.empty() && toDrop_.empty(); }
  const std::vector<SealedRun>& undelivered() const { return toSeal_; }

 private:
  Task deliver();
  void noteDelivered(std::size_t sealed);
  Ports& ports_;
  TaskRoom& room_;
  ChainClient& store_;
  ItemTimes& times_;
  Us gatherUs_;  // how long answers are gathered before they are told together
  std::vector<SealedRun> toSeal_;
  std::deque<Us> sealedUs_;  // when each of them came
  std::vector<DroppedRun> toDrop_;
  Event event_;
};

}  // namespace stonemount
