// The histories themselves, and what is expected once the faults have ended.
#include <absl/strings/str_cat.h>

#include "replication_model_rig.h"

namespace stonemount {

namespace {
constexpr Us kFoundUs = 3 * kSecondUs;
constexpr Us kAvailableUs = 10 * kSecondUs;  // from the end of all faults to a command taken and read
constexpr Us kAwayUs = kSecondUs;
}  // namespace

const char* historyText(History history) {
  static const char* const texts[kHistories] = {"quiet",   "head_lost", "tail_lost",   "wiped",     "replaced",
                                                "removed", "narrow",    "slow_joiner", "whole_lost"};
  return texts[static_cast<std::size_t>(history)];
}

bool ModelRig::wholeAndActive(std::size_t members) const {
  for (std::size_t i = 0; i < members; ++i) {
    const auto& process = machines_[i].process;
    if (!process || !process->replica.active() || process->replica.view().chain.size() != members) return false;
  }
  return true;
}

// Of the newest view that anyone knows.
std::size_t ModelRig::placeInChain(std::size_t index) const {
  const View& view = rules.views.rbegin()->second;
  const Address address = view.chain[std::min(index, view.chain.size() - 1)].address;
  for (std::size_t i = 0; i < machines_.size(); ++i)
    if (machines_[i].host->wire() == address) return i;
  return 0;
}

void ModelRig::play() {
  for (std::size_t i = 0; i < machines_.size(); ++i) start(i);
  const Us foundedByUs = world_.nowUs() + kFoundUs;
  while (!wholeAndActive(founders_) && world_.nowUs() < foundedByUs) advance(10 * kMilliUs);
  advance(50 * kMilliUs);
  exploration_.open();
  playHistory();
  exploration_.close();
  expectAvailable();
}

void ModelRig::playHistory() {
  writeAndRead();
  switch (history_) {
    case History::kQuiet:
      break;
    case History::kHeadLost:
      stopProcess(placeInChain(0), DiskLoss::kNothing, kAwayUs);
      break;
    case History::kTailLost:
      stopProcess(placeInChain(2), DiskLoss::kUnsynced, kAwayUs);
      break;
    case History::kWiped:
      if (mayWipe(placeInChain(1))) stopProcess(placeInChain(1), DiskLoss::kAll, kAwayUs / 4);
      break;
    case History::kReplaced:
      change(machines_[3].host->wire(), machines_[1].host->wire());
      break;
    case History::kRemoved:
      change(Address(), machines_[1].host->wire());
      break;
    case History::kNarrow:
      playNarrow();
      break;
    case History::kSlowJoiner:
      stopProcess(placeInChain(1), DiskLoss::kNothing, 2 * kAwayUs);
      for (int i = 0; i < 5; ++i) writeAndRead();
      break;
    case History::kWholeLost:
      for (std::size_t i = 0; i < founders_; ++i) stopProcess(i, DiskLoss::kUnsynced, kAwayUs / 4);
      break;
  }
  writeAndRead();
  writeAndRead();
}

// One is away and copies nothing once it is back, while the next one is lost: one is left. Then its disk is lost.
void ModelRig::playNarrow() {
  const std::size_t away = placeInChain(0), next = placeInChain(1), last = placeInChain(2);
  stopProcess(away, DiskLoss::kNothing, kAwayUs);
  writeAndRead();
  exploration_.block(away, FetchLog::kKind);
  advance(kAwayUs);
  stopProcess(next, DiskLoss::kNothing, 3 * kAwayUs);
  advance(3 * kAwayUs / 2);
  if (mayWipe(last)) stopProcess(last, DiskLoss::kAll, kAwayUs / 2);
  exploration_.unblock();
  advance(2 * kAwayUs);
}

// Rule 8: once faults have ended, a command is taken and read within a bound. Whoever was stopped is started again;
// a replica whose disk failed has to come back by itself.
void ModelRig::expectAvailable() {
  for (std::size_t i = 0; i < machines_.size(); ++i)
    if (!machines_[i].process) start(i);
  const Us untilUs = world_.nowUs() + kAvailableUs;
  bool written = false, shown = false;
  while (world_.nowUs() < untilUs && rules.broken.empty() && !shown) {
    if (!written) written = write(3 * kSecondUs);
    if (written) shown = read(3 * kSecondUs);
  }
  if (!shown && rules.broken.empty()) rules.broken = "not available again within 10 s of the last fault";
  if (rules.broken.empty()) expectMembers();
}

// What is at rest agrees: whoever is active in the newest view holds all that was acknowledged.
void ModelRig::expectMembers() {
  for (const Machine& machine : machines_)
    if (machine.process) rules.onView(machine.process->replica, machine.process->machine);
}

}  // namespace stonemount
