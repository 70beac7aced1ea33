// What a run of the soak leaves behind in its folder, as typed records (docs/soak.md).
#pragma once

#include <map>

#include "stonemount.h"

namespace stonemount::soak {

// What was done to a process, or what went wrong while it was done; times are of the machine's wall clock.
struct Trouble {
  Us atUs = 0;
  std::string kind;    // KILL, TERM, STOP, ...; OVERTIME, NOT_WHOLE, NOT_REPLACED: it did not end as it must
  std::string target;  // a process or a chain
};
// A request of a kept connection that was cut, or an answer that was none.
struct Cut {
  std::string node;  // http address
  Us atUs = 0;
  std::string line;  // as it was written
};
struct CallerReport {
  std::string file;
  std::int64_t lotsAccepted = 0, lotsComplete = 0;
  std::vector<std::string> faults;
};
// A worker began to work on a prompt, named by a hash of it.
struct StartedRun {
  std::string kind;  // live, lookup, lot
  std::string prompt;
};
struct ProcessSample {
  std::string role;
  std::int64_t residentKib = 0, peakKib = 0, descriptors = 0;
};
struct MemorySample {  // the mean of a role's processes
  std::int64_t atSeconds = 0;
  std::string role;
  std::int64_t residentKib = 0;
};
// A change of a race between two operators, and what was answered.
struct ChangeAnswer {
  std::string change;
  std::string note;  // that the change carried
  std::string verdict;
  std::int64_t config = 0;
};
struct HistoryEntry {
  std::int64_t config = 0;
  std::string note;
};

struct Run {
  std::vector<Trouble> troubles;
  std::optional<std::vector<Cut>> cuts;       // none: the file is missing
  std::map<std::string, std::string> nodeOf;  // http address: process
  std::vector<CallerReport> callers;
  std::vector<std::string> neverRuns;  // prompts that callers were told never run
  std::vector<StartedRun> started;
  std::vector<ProcessSample> before, after;  // the troubles
  std::vector<MemorySample> memory;          // in order of time
  std::vector<ChangeAnswer> changes;
  std::vector<HistoryEntry> history;    // of the configuration, as a node told it at the end
  std::vector<std::string> brokenLogs;  // of processes that said that an invariant broke
  std::vector<std::string> unreadable;  // files or lines that could not be read
};

// `folder`: of the run. What cannot be read is named in `unreadable`.
Run readRun(const std::string& folder);

}  // namespace stonemount::soak
