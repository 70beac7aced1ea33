// Items of standing lots: passed through to whichever worker has room, gone on with at another where an
// answer broke off, the most urgent first (design.md 9.8).
#pragma once

#include "node/item_times.h"
#include "node/lot_carrier.h"
#include "proxy/attempt.h"

namespace stonemount {

struct LotRunnerPlan {
  std::uint32_t mostRunning = 96;  // items at this node
  std::uint32_t mostTries = 10;    // at workers, for one run
  Us freshUs = 2 * kSecondUs;      // no try is begun for what the store has not wanted for longer
  Us limitUs = 30 * kSecondUs;     // of one try
};
struct LotRunnerCounts {
  std::uint64_t tries = 0, whole = 0, declined = 0, failed = 0, notRun = 0, broken = 0, silent = 0, resumed = 0,
                anew = 0;
};

class LotRunner : public ItemCarrier {
 public:
  LotRunner(Ports& ports, TaskRoom& room, ItemPasser& passer, const ControlState& control, ItemTimes& times,
            LotRunnerPlan plan)
      : ports_(ports), room_(room), passer_(passer), control_(control), times_(times), plan_(plan) {}
  void begin() { room_.start(pump()); }
  bool mayRenew(const LotRun& run) const override { return !run.over; }
  Job<ItemEnding> carry(LotRunPtr run) override;
  // How many more items of that route this node may take: what it may send now, and some to follow what it runs, less
  // what it has not sent yet.
  std::size_t room(const Route& route) const;
  const LotRunnerPlan& plan() const { return plan_; }
  const LotRunnerCounts& counts() const { return counts_; }

 private:
  class Trip;
  using Trips = std::map<std::pair<Us, std::uint64_t>, Trip*>;  // by when they are due
  Task pump();
  void startWaiting(bool late);
  void endSilent();
  std::size_t roomAtWorkers(const Route& route) const;
  // To which the item goes by the configuration in force; none: nullptr.
  const Route* routeOf(const LotRun& run) const;
  bool urgent(const Trip& trip, Us nowUs) const;
  std::optional<ItemEnding> judge(Trip& trip, const PassEnding& ending);
  PassOrder orderOf(const Trip& trip, const Route& route) const;
  Ports& ports_;
  TaskRoom& room_;
  ItemPasser& passer_;
  const ControlState& control_;
  ItemTimes& times_;
  LotRunnerPlan plan_;
  Trips trips_;
  std::uint64_t lastTrip_ = 0;
  std::size_t waiting_ = 0;
  Event pumpEvent_;
  LotRunnerCounts counts_;
};

}  // namespace stonemount
