// Faults from a seed: which, where and when (design.md 13.3).
#pragma once

#include <array>

#include "simulator/checker.h"

namespace stonemount {

enum class Fault : std::uint8_t {
  kKill,
  kPower,
  kWipe,
  kFreeze,
  kCutOff,
  kCutOneWay,
  kSplitCore,
  kClockStep,
  kSlowDisk,
  kStalledDisk,
  kWorkerCrash,
  kWorkerLeaves,
  kZoneLost,
  kAllLost,
  kRestartNode,
  kPush,
  kRaceOfPushes,
  kEvacuate,
  kEndLot,
  kWipeAfterAck,
  kCorrupt,
  kCutPair,
  kCutPairOneWay,
  kSlowMachine,
  kSlowLink,
  kWorkerGone,
  kShortNotice,
  kReplaceWorkers,
  kPlatformDown,
  kOldList,
  kEvacuateHead,
  kManyRoutes,
  kCrowd,
  kReplaceCore,
  kReplaceStore,
  kAddStore,
  kRetireStore,
  kCutLong,
  kCutLongOneWay,
  kCutFromVoters,
  kCutMet,
  kCutRestarted,
  kSeedTurnover,
  kFullDisk,
  kCount
};
const char* faultText(Fault fault);

struct FaultSchedulePlan {
  Us lengthUs = 40 * kSecondUs;
  Us everyUs = 1500 * kMilliUs;
  std::vector<Fault> faults;   // empty: any
  Us restUs = 17 * kSecondUs;  // after all is back; what is served is judged from 12 s on until its end
  Us settleUs = 200 * kSecondUs;
  bool lateFault = true;   // one more, just before the end
  bool lastStays = false;  // and, with all else healed, a machine, a disk or a zone that never comes back
};

class FaultSchedule : public sigc::trackable {
 public:
  FaultSchedule(std::uint64_t seed, FleetShape shape, FaultSchedulePlan plan);
  ~FaultSchedule();
  // The whole run: start, trouble, rest, judgement.
  const std::vector<std::string>& run();
  Fleet& fleet() { return fleet_; }
  Checker& judge() { return checker_; }
  OperatorLedger& ledger() { return ledger_; }
  Tally tally() { return checker_.tally(); }
  bool started() const { return started_; }
  void loud() { fleet_.world().loud = true; }
  std::uint64_t hits(Fault fault) const { return hits_[static_cast<std::size_t>(fault)]; }  // that truly struck

 private:
  void boot();
  void trouble();
  void rest();
  void cause(Fault fault);
  bool strikeMachine(Fault fault, Us shortUs);  // chaos_machines.cc; false: nothing to strike
  bool strikeLink(Fault fault, Us shortUs);
  bool strikeCut(Fault fault);               // fault_schedule_cuts.cc
  bool strikeWork(Fault fault, Us shortUs);  // chaos_work.cc
  bool strikeChange(Fault fault);
  void lastFault();
  void step(Us lengthUs);
  void later(Us delayUs, Part& part, Fault undo);
  void undoDue(Us nowUs);
  void undo(Fault fault, Part& part);
  Part& anyOf(PartKind kind);
  Part& anyMachine();
  bool mayLoseDisk(PartKind kind);
  bool whole();
  void cutOff(Part& part, bool oneWay, Us lengthUs);
  void cutFromVoters(Part& part, Us lengthUs);
  void heal(Part& part);
  void meetReturn();
  void turnSeedsOver();
  void wish(const std::string& path, Part* add, Part* remove);
  void pressWishes();
  void onApplied(Part& part, const Entry& entry, bool acknowledged);
  struct Undo {
    Us atUs;
    Fault fault;
    Part* part;
  };
  struct Wish {  // for other voters, asked again until it is granted
    std::string path;
    Part* add = nullptr;
    Part* remove = nullptr;
  };
  FaultSchedulePlan plan_;
  Fleet fleet_;
  OperatorLedger ledger_;
  SimHost& operatorHost_;
  std::vector<std::unique_ptr<SimOperator>> operators_;
  Checker checker_;
  Chance chance_;
  std::vector<Undo> undos_;
  std::string evacuated_;
  std::vector<Wish> wishes_;
  std::uint32_t spares_ = 0;
  std::uint64_t acks_ = 0;
  PartKind ackKind_ = PartKind::kStore;
  std::array<std::uint64_t, static_cast<std::size_t>(Fault::kCount)> hits_{};
  bool started_ = false;
};

}  // namespace stonemount
