#include "simulator/fault_schedule.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

namespace {
constexpr std::uint64_t kLostOneIn = 5;  // of the answers to operators
constexpr Us kStepUs = 50 * kMilliUs;
constexpr Address kOperatorWire{(127u << 24) | (1u << 16) | 240, 7000};
constexpr Address kOperatorHttp{(127u << 24) | (1u << 16) | 240, 8000};
}  // namespace

const char* faultText(Fault fault) {
  constexpr const char* kTexts[] = {"kill",
                                    "power",
                                    "wipe",
                                    "freeze",
                                    "cut_off",
                                    "cut_one_way",
                                    "split_core",
                                    "clock_step",
                                    "slow_disk",
                                    "stalled_disk",
                                    "worker_crash",
                                    "worker_leaves",
                                    "zone_lost",
                                    "all_lost",
                                    "restart_node",
                                    "push",
                                    "race_of_pushes",
                                    "evacuate",
                                    "end_lot",
                                    "wipe_after_ack",
                                    "corrupt",
                                    "cut_pair",
                                    "cut_pair_one_way",
                                    "slow_machine",
                                    "slow_link",
                                    "worker_gone",
                                    "short_notice",
                                    "replace_workers",
                                    "platform_down",
                                    "old_list",
                                    "evacuate_head",
                                    "many_routes",
                                    "crowd",
                                    "replace_core",
                                    "replace_store",
                                    "add_store",
                                    "retire_store",
                                    "cut_long",
                                    "cut_long_one_way",
                                    "cut_from_voters",
                                    "cut_met",
                                    "cut_restarted",
                                    "seed_turnover",
                                    "full_disk"};
  static_assert(std::size(kTexts) == static_cast<std::size_t>(Fault::kCount));
  return kTexts[static_cast<std::size_t>(fault)];
}

FaultSchedule::FaultSchedule(std::uint64_t seed, FleetShape shape, FaultSchedulePlan plan)
    : plan_(std::move(plan)),
      fleet_(seed, std::move(shape)),
      operatorHost_(fleet_.world().addHost("operators", "outside", kOperatorWire, kOperatorHttp)),
      checker_(fleet_, ledger_),
      chance_(seed ^ 0x5EED) {
  operatorHost_.rise();
  ledger_.lostOneIn = kLostOneIn;
  fleet_.applied.connect(sigc::mem_fun(*this, &FaultSchedule::onApplied));
  for (int i = 0; i < 3; ++i) operators_.push_back(std::make_unique<SimOperator>(fleet_, operatorHost_, ledger_));
}

FaultSchedule::~FaultSchedule() { operators_.clear(); }

Part& FaultSchedule::anyOf(PartKind kind) {
  const std::vector<Part*> parts = fleet_.standing(kind);
  return *parts[chance_.below(parts.size())];
}

Part& FaultSchedule::anyMachine() {
  constexpr PartKind kKinds[] = {PartKind::kCore, PartKind::kStore, PartKind::kNode};
  return anyOf(kKinds[chance_.below(3)]);
}

void FaultSchedule::step(Us lengthUs) {
  const Us untilUs = fleet_.world().nowUs() + lengthUs;
  while (fleet_.world().nowUs() < untilUs) {
    undoDue(fleet_.world().nowUs());
    pressWishes();
    fleet_.run(kStepUs);
    checker_.look();
  }
}

void FaultSchedule::later(Us delayUs, Part& part, Fault undo) {
  const Us atUs = fleet_.world().nowUs() + delayUs;
  undos_.push_back({atUs, undo, &part});
  fleet_.troubled(part, atUs);
}

void FaultSchedule::undoDue(Us nowUs) {
  std::vector<Undo> due, still;
  for (const Undo& undo : undos_) (undo.atUs <= nowUs ? due : still).push_back(undo);
  undos_ = std::move(still);
  for (const Undo& one : due) undo(one.fault, *one.part);
}

void FaultSchedule::undo(Fault fault, Part& part) {
  switch (fault) {
    case Fault::kCutOff:
      heal(part);
      break;
    case Fault::kCutMet:
      heal(part);
      meetReturn();
      break;
    case Fault::kCutRestarted:  // one that was started while it was cut off stays so for its time
      fleet_.start(part);
      break;
    case Fault::kSlowDisk:
      part.host->disk->extraUs = 0;
      break;
    case Fault::kFullDisk:
      part.host->disk->full = false;
      break;
    case Fault::kSlowMachine:
      part.host->slowUs = 0;
      break;
    case Fault::kSlowLink:
      part.host->usPerKilobyte = 0;
      break;
    case Fault::kOldList:
      if (fleet_.platform().platform) fleet_.platform().platform->tellOld(false);
      break;
    case Fault::kWorkerGone:
      if (fleet_.platform().platform) fleet_.platform().platform->put(fleet_.listing(part));
      break;
    case Fault::kWorkerLeaves:  // it went, and another takes its place, cold
      fleet_.kill(part, false);
      part.leaves.back().second = fleet_.world().nowUs();
      fleet_.start(part);
      if (fleet_.platform().platform) fleet_.platform().platform->put(fleet_.listing(part));
      break;
    case Fault::kShortNotice:
      fleet_.kill(part, false);
      break;
    case Fault::kEvacuate:
      operators_[0]->setZone(evacuated_, false);
      evacuated_.clear();
      break;
    default:
      fleet_.start(part);
      break;
  }
}

// Each chain has all its members, and they have not been troubled.
bool FaultSchedule::whole() { return mayLoseDisk(PartKind::kCore) && mayLoseDisk(PartKind::kStore); }

void FaultSchedule::wish(const std::string& path, Part* add, Part* remove) { wishes_.push_back({path, add, remove}); }

// An operator asks for other voters until it is told yes; what leaves is then taken away for good.
void FaultSchedule::pressWishes() {
  if (wishes_.empty() || !operators_[2]->idle()) return;
  const Wish& now = wishes_.front();
  const int status = std::exchange(operators_[2]->lastStatus, 0);
  if (status == 200 || status == 404 || status == 409) {
    if (now.remove != nullptr && status != 409) {
      fleet_.kill(*now.remove, false);
      now.remove->gone = true;
    }
    wishes_.erase(wishes_.begin());
    return;
  }
  operators_[2]->changeVoters(now.path, now.add != nullptr ? now.add->host->wire() : Address(),
                              now.remove != nullptr ? now.remove->host->wire() : Address());
}

void FaultSchedule::onApplied(Part& part, const Entry&, bool acknowledged) {
  acks_ += acknowledged && part.kind == ackKind_ ? 1 : 0;
}

// A disk may be lost only while the chain stands whole without it: the brief asks for one, not two.
bool FaultSchedule::mayLoseDisk(PartKind kind) {
  if (!wishes_.empty()) return false;
  const std::vector<Part*> standing = fleet_.standing(kind);
  // Where nobody is told who founds, three hold the seats, and the others are to spare.
  const std::size_t seats = fleet_.shape().told ? standing.size() : std::min<std::size_t>(standing.size(), 3);
  std::size_t seated = 0;
  for (Part* part : standing) {
    const Replica* member = fleet_.memberOf(*part);
    if (member == nullptr || part->host->frozen() || part->troubledUs > fleet_.world().nowUs()) return false;
    if (!member->active() && (fleet_.shape().told || member->state() != ReplicaState::kOutside)) return false;
    if (member->active() && member->view().chain.size() < seats) return false;
    seated += member->active() ? 1 : 0;
  }
  return seated >= seats;
}

void FaultSchedule::cause(Fault fault) {
  // Mostly short; at times longer than a licence.
  const Us shortUs = (300 * kMilliUs + static_cast<Us>(chance_.below(5000)) * kMilliUs) * (chance_.oneIn(5) ? 4 : 1);
  const bool struck = strikeMachine(fault, shortUs) || strikeLink(fault, shortUs) || strikeCut(fault) ||
                      strikeWork(fault, shortUs) || strikeChange(fault);
  logEvent("fault", {{"what", faultText(fault)}, {"struck", struck ? "yes" : "no"}});
  hits_[static_cast<std::size_t>(fault)] += struck ? 1 : 0;
}

}  // namespace stonemount
