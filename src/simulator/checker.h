// The judge: each "never" line, looked for while the fleet runs and when it has come to rest
// (docs/failures.md). tests/judge_test.cc plants each failure and expects it to be noticed.
#pragma once

#include "simulator/operators.h"

namespace stonemount {

struct Tally {
  std::uint64_t asked = 0, served = 0, turnedAway = 0, notWhole = 0, silent = 0;
  std::uint64_t lotsAccepted = 0, lotsComplete = 0, coldRefused = 0, worstExcess = 0, started = 0, doubts = 0;
  std::uint64_t entriesCompared = 0, termsEnded = 0, readsAtRest = 0;
  Us longestDarkUs = 0;  // longest span in which callers asked and none was served
};

// What the stores' log says of time: each moment as its head stamped it (judge_store.cc).
class TermChecker {
 public:
  void seeTerm(const TermNote& note, Us stampedUs, Us trueWallUs);
  void seeCut(const CutState& cut, Us stampedUs, Us trueWallUs, bool held);
  std::vector<std::string> faults;
  std::uint64_t ended = 0;

 private:
  std::map<std::pair<Term, std::string>, Us> promised_;  // until when, in true time
  std::map<std::uint64_t, std::pair<Address, std::uint64_t>> epochHolders_;
  Us lastCutUs_ = -1;
  Us leastLagUs_ = -1;  // of true time over the cut, since something is held
};

// Members of a chain, entry by entry: what was acknowledged is the same wherever it is applied.
class EntryChecker {
 public:
  void see(PartKind kind, const std::string& who, const Entry& entry, bool acknowledged);
  std::vector<std::string> faults;
  std::uint64_t compared = 0;

 private:
  struct Log {
    std::map<std::uint64_t, std::uint64_t> committed;  // by index
    std::map<std::string, std::map<std::uint64_t, std::pair<Revision, std::uint64_t>>> applied;
  };
  std::map<PartKind, Log> logs_;
};

// A core without two-way contact to most voters of its view lets go of every duty: it neither lists, nor samples,
// nor changes members (checker_duties.cc).
class DutyChecker {
 public:
  void look(Fleet& fleet);
  std::vector<std::string> faults;

 private:
  std::map<const Part*, Us> apartSinceUs_;
};

class Checker : public sigc::trackable {
 public:
  Checker(Fleet& fleet, OperatorLedger& operators);
  void look();      // often, while it runs
  void conclude();  // once, at rest
  const std::vector<std::string>& faults() const { return faults_; }
  Tally tally();
  // The share served of what was asked between two moments; by callers of one zone, or of all.
  double servedShare(Us fromUs, Us toUs, const std::string& zone = "");
  // All that can come back was back at this moment; the limits after it are judged from here.
  void backSince(Us atUs) { backUs_ = atUs; }
  Us backUs() const { return backUs_; }
  void restUntil(Us atUs) { restUs_ = atUs; }
  TermChecker terms;
  EntryChecker entries;
  DutyChecker duties;

 private:
  void onTaken(Part& part, const Entry& entry);
  void onApplied(Part& part, const Entry& entry, bool acknowledged);
  void lookAtConfig();
  void lookAtChains();
  void judgeStarts();
  void judgeLots();
  void judgeRest();
  void judgeCold();
  void fault(const std::string& what);
  Fleet& fleet_;
  OperatorLedger& operators_;
  std::vector<std::string> faults_;
  std::map<std::pair<std::uint64_t, Revision>, Us> stampedUs_;  // of the stores' entries, by name
  std::set<CommandId> seenCommands_;
  std::uint64_t seenStore_ = 0;  // newest of them that was applied anywhere
  Us backUs_ = -1, restUs_ = -1;
};

}  // namespace stonemount
