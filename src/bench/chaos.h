// Faults from a seed: which, where and when (design.md 13.3).
#pragma once

#include "bench/judge.h"

namespace stonemount {

enum class Fault : std::uint8_t {
  kKill, kPower, kWipe, kFreeze, kCutOff, kCutOneWay, kSplitCore, kClockStep, kSlowDisk, kStalledDisk,
  kWorkerCrash, kWorkerLeaves, kZoneLost, kAllLost, kRestartNode, kPush, kRaceOfPushes, kEvacuate, kEndLot, kCount
};
const char* faultText(Fault fault);

struct ChaosPlan {
  Us lengthUs = 40 * kSecondUs;
  Us everyUs = 1500 * kMilliUs;
  std::vector<Fault> faults;  // empty: any
  Us settleUs = 120 * kSecondUs;
  bool lateFault = true;      // one more, just before the end
};

class Chaos {
 public:
  Chaos(std::uint64_t seed, FleetShape shape, ChaosPlan plan);
  ~Chaos();
  // The whole run: start, trouble, rest, judgement.
  const std::vector<std::string>& run();
  Fleet& fleet() { return fleet_; }
  Judge& judge() { return judge_; }
  Tally tally() { return judge_.tally(); }
  bool started() const { return started_; }
  void loud() { fleet_.world().loud = true; }

 private:
  void boot();
  void trouble();
  void rest();
  void cause(Fault fault);
  void step(Us lengthUs);
  void later(Us delayUs, Part& part, Fault undo);
  void undoDue(Us nowUs);
  Part& anyOf(PartKind kind);
  Part& anyMachine();
  bool mayLoseDisk(PartKind kind);
  void cutOff(Part& part, bool oneWay, Us lengthUs);
  struct Undo {
    Us atUs;
    Fault fault;
    Part* part;
  };
  ChaosPlan plan_;
  Fleet fleet_;
  OperatorLedger ledger_;
  SimHost& operatorHost_;
  std::vector<std::unique_ptr<SimOperator>> operators_;
  Judge judge_;
  Chance chance_;
  std::vector<Undo> undos_;
  std::string evacuated_;
  bool started_ = false;
};

}  // namespace stonemount
