// What the judge reads from the chains' logs: entries that differ, and times that end (design.md 13.3).
#include <absl/strings/str_cat.h>

#include "simulator/checker.h"

namespace stonemount {

namespace {
constexpr std::size_t kMostFaults = 20;
const char* termText(Term term) {
  constexpr const char* kTexts[] = {"licence", "close", "quota window", "results", "key", "retention", "route's end"};
  return kTexts[static_cast<std::size_t>(term)];
}
}  // namespace

// "Anything expires early": against true time, whatever the cut says. No allowance.
void TermChecker::seeTerm(const TermNote& note, Us stampedUs, Us trueWallUs) {
  const std::pair<Term, std::string> key(note.term, note.name);
  if (!note.over) {
    Us& untilUs = promised_[key];
    untilUs = std::max(untilUs, stampedUs + note.lengthUs);
    return;
  }
  ++ended;
  auto found = promised_.find(key);
  const bool early =
      note.term == Term::kClose ? trueWallUs < note.lengthUs : found != promised_.end() && stampedUs < found->second;
  const Us byUs = note.term == Term::kClose ? note.lengthUs - trueWallUs : early ? found->second - stampedUs : 0;
  if (early && faults.size() < kMostFaults)
    faults.push_back(absl::StrCat("expired early: ", termText(note.term), " ", note.name, " by ", byUs));
}

// The cut never goes back, is never ahead of true time, and never makes up for a moment that it was
// behind; no two samplers share an epoch.
void TermChecker::seeCut(const CutState& cut, Us stampedUs, Us trueWallUs, bool held) {
  if (cut.epoch == 0 || faults.size() >= kMostFaults) return;
  const auto holder = std::make_pair(cut.holder, cut.session);
  if (epochHolders_.emplace(cut.epoch, holder).first->second != holder)
    faults.push_back(absl::StrCat("epoch ", cut.epoch, " has two holders"));
  if (cut.cutUs < lastCutUs_) faults.push_back(absl::StrCat("the cut went back by ", lastCutUs_ - cut.cutUs));
  lastCutUs_ = std::max(lastCutUs_, cut.cutUs);
  if (cut.cutUs > trueWallUs)
    faults.push_back(absl::StrCat("the cut is ahead of true time by ", cut.cutUs - trueWallUs));
  if (!held) return;
  const Us lagUs = stampedUs - cut.cutUs;
  if (leastLagUs_ != -1 && lagUs < leastLagUs_)
    faults.push_back(absl::StrCat("the cut was faster than true time by ", leastLagUs_ - lagUs));
  leastLagUs_ = leastLagUs_ == -1 ? lagUs : std::max(leastLagUs_, lagUs);
}

void EntryChecker::see(PartKind kind, const std::string& who, const Entry& entry, bool acknowledged) {
  Log& log = logs_[kind];
  const std::uint64_t digest = spread(entry.command, entry.id.client ^ (entry.id.number * 31) ^ (entry.revision << 48));
  log.applied[who][entry.index] = {entry.revision, digest};
  if (acknowledged) {
    const std::uint64_t first = log.committed.emplace(entry.index, digest).first->second;
    if (first != digest && faults.size() < kMostFaults)
      faults.push_back(absl::StrCat("two entries were acknowledged as ", entry.index, ", the second at ", who));
    // Whoever applied it before, in the same view, must hold the same.
    for (const auto& [other, held] : log.applied) {
      auto same = held.find(entry.index);
      if (same == held.end() || other == who || same->second.first != entry.revision) continue;
      ++compared;
      if (same->second.second != digest && faults.size() < kMostFaults)
        faults.push_back(absl::StrCat(other, " and ", who, " differ at ", entry.index));
    }
    return;
  }
  auto found = log.committed.find(entry.index);
  if (found == log.committed.end()) return;
  ++compared;
  if (found->second != digest && faults.size() < kMostFaults)
    faults.push_back(absl::StrCat(who, " applied another entry as ", entry.index, " after one was acknowledged"));
}

}  // namespace stonemount
