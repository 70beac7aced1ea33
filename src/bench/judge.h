// The judge: each "never" line, looked for while the fleet runs and when it has come to rest
// (docs/failures.md).
#pragma once

#include "bench/operators.h"

namespace stonemount {

struct Tally {
  std::uint64_t asked = 0, served = 0, turnedAway = 0, notWhole = 0, silent = 0;
  std::uint64_t lotsAccepted = 0, lotsComplete = 0, coldRefused = 0, started = 0, doubts = 0;
  Us longestDarkUs = 0;  // longest span in which callers asked and none was served
};

class Judge {
 public:
  Judge(Fleet& fleet, OperatorLedger& operators) : fleet_(fleet), operators_(operators) {}
  void look();    // often, while it runs
  void conclude();  // once, at rest
  const std::vector<std::string>& faults() const { return faults_; }
  Tally tally();
  // The share served of what was asked between two moments.
  double servedShare(Us fromUs, Us toUs);

 private:
  void lookAtConfig();
  void lookAtCut();
  void lookAtChains();
  void judgeStarts();
  void judgeLots();
  void fault(const std::string& what);
  Fleet& fleet_;
  OperatorLedger& operators_;
  std::vector<std::string> faults_;
  Us cutSeenUs_ = -1;      // the cut, and when it was first seen to be so far
  Us cutSeenAtUs_ = 0;
  std::map<std::uint64_t, std::pair<Address, std::uint64_t>> epochHolders_;
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> commits_;
};

}  // namespace stonemount
