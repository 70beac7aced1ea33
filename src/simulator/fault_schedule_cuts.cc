// Cuts of some 20 s, what meets a machine on its return from one, and seeds that change (docs/review/1-cut-off.md).
#include "simulator/fault_schedule.h"

namespace stonemount {

namespace {
constexpr Us kLeastUs = 18 * kSecondUs;
constexpr std::uint64_t kSpreadMs = 4000;
constexpr int kResends = 8;  // the most orders that the users' operator has under way at once
}  // namespace

void FaultSchedule::heal(Part& part) {
  for (auto& other : fleet_.world().hosts()) {
    fleet_.world().setCut(*part.host, *other, false);
    fleet_.world().setCut(*other, *part.host, false);
  }
}

// From the other members of its chain, one way or both; nodes, workers and operators reach it as before.
void FaultSchedule::cutFromVoters(Part& part, Us lengthUs) {
  const std::uint64_t ways = chance_.below(3);
  for (Part* other : fleet_.standing(part.kind)) {
    if (other == &part) continue;
    if (ways != 1) fleet_.world().setCut(*part.host, *other->host, true);
    if (ways != 2) fleet_.world().setCut(*other->host, *part.host, true);
  }
  later(lengthUs, part, Fault::kCutOff);
}

// Orders that race, and the same kind of order pressed by all operators, in the moment of the return.
void FaultSchedule::meetReturn() {
  for (int i = 0; i < kResends; ++i) operators_[static_cast<std::size_t>(i) % operators_.size()]->pushRoutes(false);
}

// Later starts are given other seeds, as the users' settings file may name others; one machine starts anew with them.
void FaultSchedule::turnSeedsOver() {
  std::vector<Address> seeds;
  for (int i = 0; i < 3; ++i) seeds.push_back(anyMachine().host->wire());
  for (Part& part : fleet_.parts()) part.settings.seeds = seeds;
}

bool FaultSchedule::strikeCut(Fault fault) {
  const Us longUs = kLeastUs + static_cast<Us>(chance_.below(kSpreadMs)) * kMilliUs;
  Part& part = anyOf(chance_.oneIn(2) ? PartKind::kCore : PartKind::kStore);
  switch (fault) {
    case Fault::kCutLong:
    case Fault::kCutLongOneWay:
      cutOff(part, fault == Fault::kCutLongOneWay, longUs);
      return true;
    case Fault::kCutFromVoters:
      cutFromVoters(part, longUs);
      return true;
    case Fault::kCutMet:
      cutOff(part, chance_.oneIn(3), longUs);
      undos_.back().fault = Fault::kCutMet;
      return true;
    case Fault::kCutRestarted: {
      if (!part.host->up()) return false;
      cutOff(part, chance_.oneIn(3), longUs);
      fleet_.kill(part, chance_.oneIn(2));
      undos_.push_back(
          {fleet_.world().nowUs() + static_cast<Us>(chance_.below(12000)) * kMilliUs, Fault::kCutRestarted, &part});
      return true;
    }
    case Fault::kSeedTurnover: {
      turnSeedsOver();
      Part& anew = anyMachine();
      if (!anew.host->up()) return true;
      fleet_.kill(anew, chance_.oneIn(2));
      later(300 * kMilliUs, anew, Fault::kKill);
      return true;
    }
    default:
      return false;
  }
}

}  // namespace stonemount
