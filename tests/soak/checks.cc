#include "checks.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <set>

namespace stonemount::soak {

namespace {
constexpr Us kBeforeKillUs = 300 * kMilliUs;  // a cut may be noticed so long before the signal was noted
constexpr Us kAfterKillUs = 1500 * kMilliUs;
constexpr double kMemoryGrowth = 1.3;    // of the mean, from the middle third to the last
constexpr double kMemoryRoomKib = 8192;  // that a short run still fills
constexpr std::int64_t kDescriptorsRoom = 100;

Fault fault(const std::string& text) { return text; }

Fault markedTrouble(const Run& run, const char* mark) {
  for (const Trouble& trouble : run.troubles)
    if (trouble.kind == mark) return fault(absl::StrCat(mark, " ", trouble.target));
  return std::nullopt;
}

bool killedAt(const Run& run, const std::string& process, Us atUs) {
  return std::any_of(run.troubles.begin(), run.troubles.end(), [&](const Trouble& trouble) {
    return trouble.kind == "KILL" && trouble.target == process && atUs >= trouble.atUs - kBeforeKillUs &&
           atUs <= trouble.atUs + kAfterKillUs;
  });
}

std::map<std::string, std::int64_t> mostDescriptors(const std::vector<ProcessSample>& samples) {
  std::map<std::string, std::int64_t> most;
  for (const ProcessSample& sample : samples) most[sample.role] = std::max(most[sample.role], sample.descriptors);
  return most;
}

struct Mean {
  double sum = 0;
  std::size_t count = 0;
  void add(std::int64_t value) {
    sum += static_cast<double>(value);
    ++count;
  }
  double value() const { return count == 0 ? 0 : sum / static_cast<double>(count); }
};
}  // namespace

Fault callersSawNoFault(const Run& run) {
  for (const CallerReport& report : run.callers)
    if (!report.faults.empty()) return fault(absl::StrCat(report.file, ": ", report.faults.front()));
  return std::nullopt;
}

Fault lotsAreComplete(const Run& run) {
  if (run.callers.empty()) return fault("no caller has reported");
  for (const CallerReport& report : run.callers)
    if (report.lotsAccepted != report.lotsComplete)
      return fault(absl::StrCat(report.file, ": ", report.lotsComplete, " of ", report.lotsAccepted, " are complete"));
  return std::nullopt;
}

Fault cutsAreExplained(const Run& run) {
  if (!run.cuts) return fault("no cuts were recorded");
  for (const Cut& cut : *run.cuts) {
    auto process = run.nodeOf.find(cut.node);
    const bool explained = process != run.nodeOf.end() && killedAt(run, process->second, cut.atUs);
    if (!explained) return fault(absl::StrCat("unexplained: ", cut.line));
  }
  return std::nullopt;
}

Fault nothingRanThatWasRefused(const Run& run) {
  const std::set<std::string> never(run.neverRuns.begin(), run.neverRuns.end());
  for (const StartedRun& started : run.started)
    if (never.contains(started.prompt)) return fault("ran though told it never would: " + started.prompt);
  return std::nullopt;
}

Fault noLiveRequestRanTwice(const Run& run) {
  std::set<std::string> seen;
  for (const StartedRun& started : run.started)
    if (started.kind == "live" && !seen.insert(started.prompt).second) return fault("ran twice: " + started.prompt);
  return std::nullopt;
}

Fault confirmedChangesStand(const Run& run) {
  std::set<std::int64_t> numbers;
  for (const ChangeAnswer& change : run.changes) {
    if (change.verdict != "taken") continue;
    if (!numbers.insert(change.config).second) return fault(absl::StrCat("two changes under number ", change.config));
    const bool stands = std::any_of(run.history.begin(), run.history.end(), [&change](const HistoryEntry& entry) {
      return entry.config == change.config && entry.note == change.note;
    });
    if (!stands)
      return fault(absl::StrCat(change.change, " was confirmed as ", change.config, " and is not in the history"));
  }
  return std::nullopt;
}

Fault memorySettles(const Run& run) {
  if (run.memory.empty()) return fault("no memory was recorded");
  const std::int64_t fromSeconds = run.memory.front().atSeconds;
  const std::int64_t spanSeconds = run.memory.back().atSeconds - fromSeconds + 1;
  std::map<std::string, std::array<Mean, 3>> thirds;
  for (const MemorySample& sample : run.memory)
    thirds[sample.role][static_cast<std::size_t>(3 * (sample.atSeconds - fromSeconds) / spanSeconds)].add(
        sample.residentKib);
  for (const auto& [role, means] : thirds) {
    if (means[1].count == 0 || means[2].count == 0) continue;
    if (means[2].value() > kMemoryGrowth * means[1].value() + kMemoryRoomKib)
      return fault(absl::StrCat(role, " grew from ", means[1].value(), " to ", means[2].value(), " KiB"));
  }
  return std::nullopt;
}

Fault descriptorsReturn(const Run& run) {
  const std::map<std::string, std::int64_t> before = mostDescriptors(run.before);
  for (const auto& [role, most] : mostDescriptors(run.after)) {
    auto then = before.find(role);
    const std::int64_t earlier = then == before.end() ? 0 : then->second;
    if (most > 2 * earlier + kDescriptorsRoom) return fault(absl::StrCat(role, " had ", earlier, ", has ", most));
  }
  return std::nullopt;
}

Fault noInvariantBroke(const Run& run) { return run.brokenLogs.empty() ? Fault() : fault(run.brokenLogs.front()); }
Fault stopsKeptTheirGrace(const Run& run) { return markedTrouble(run, "OVERTIME"); }
Fault chainsBecameWhole(const Run& run) { return markedTrouble(run, "NOT_WHOLE"); }
Fault membersWereReplaced(const Run& run) { return markedTrouble(run, "NOT_REPLACED"); }
Fault recordsAreReadable(const Run& run) { return run.unreadable.empty() ? Fault() : fault(run.unreadable.front()); }

const std::vector<Check>& allChecks() {
  static const std::vector<Check> checks = {
      {"readable", "every record can be read", recordsAreReadable},
      {"callers", "callers saw no fault", callersSawNoFault},
      {"lots", "every accepted lot is complete", lotsAreComplete},
      {"cuts", "no request of a kept connection was cut but by a kill", cutsAreExplained},
      {"overtime", "no stop took longer than the grace", stopsKeptTheirGrace},
      {"chains", "no chain stayed broken", chainsBecameWhole},
      {"replaced", "every member that was to be replaced is", membersWereReplaced},
      {"refused", "nothing ran that was refused", nothingRanThatWasRefused},
      {"twice", "no live request ran twice", noLiveRequestRanTwice},
      {"changes", "every confirmed change stands", confirmedChangesStand},
      {"memory", "memory settles", memorySettles},
      {"invariants", "no invariant broke", noInvariantBroke},
      {"descriptors", "descriptors return", descriptorsReturn},
  };
  return checks;
}

}  // namespace stonemount::soak
