#include "bench/chaos.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kStepUs = 50 * kMilliUs;
constexpr Address kOperatorWire{(127u << 24) | (1u << 16) | 240, 7000};
constexpr Address kOperatorHttp{(127u << 24) | (1u << 16) | 240, 8000};
}  // namespace

const char* faultText(Fault fault) {
  constexpr const char* kTexts[] = {"kill", "power", "wipe", "freeze", "cut_off", "cut_one_way", "split_core",
                                    "clock_step", "slow_disk", "stalled_disk", "worker_crash", "worker_leaves",
                                    "zone_lost", "all_lost", "restart_node", "push", "race_of_pushes", "evacuate", "end_lot"};
  return kTexts[static_cast<std::size_t>(fault)];
}

Chaos::Chaos(std::uint64_t seed, FleetShape shape, ChaosPlan plan)
    : plan_(std::move(plan)), fleet_(seed, std::move(shape)),
      operatorHost_(fleet_.world().addHost("operators", "outside", kOperatorWire, kOperatorHttp)),
      judge_(fleet_, ledger_), chance_(seed ^ 0x5EED) {
  operatorHost_.rise();
  for (int i = 0; i < 2; ++i) operators_.push_back(std::make_unique<SimOperator>(fleet_, operatorHost_, ledger_));
}

Chaos::~Chaos() { operators_.clear(); }

Part& Chaos::anyOf(PartKind kind) {
  const std::vector<Part*> parts = fleet_.of(kind);
  return *parts[chance_.below(parts.size())];
}

Part& Chaos::anyMachine() {
  constexpr PartKind kKinds[] = {PartKind::kCore, PartKind::kStore, PartKind::kNode};
  return anyOf(kKinds[chance_.below(3)]);
}

void Chaos::step(Us lengthUs) {
  const Us untilUs = fleet_.world().nowUs() + lengthUs;
  while (fleet_.world().nowUs() < untilUs) {
    undoDue(fleet_.world().nowUs());
    fleet_.run(kStepUs);
    judge_.look();
  }
}

void Chaos::later(Us delayUs, Part& part, Fault undo) {
  const Us atUs = fleet_.world().nowUs() + delayUs;
  undos_.push_back({atUs, undo, &part});
  fleet_.troubled(part, atUs);
}

void Chaos::undoDue(Us nowUs) {
  std::vector<Undo> due, still;
  for (const Undo& undo : undos_) (undo.atUs <= nowUs ? due : still).push_back(undo);
  undos_ = std::move(still);
  for (const Undo& undo : due) {
    Part& part = *undo.part;
    switch (undo.fault) {
      case Fault::kCutOff:
        for (auto& other : fleet_.world().hosts()) {
          fleet_.world().setCut(*part.host, *other, false);
          fleet_.world().setCut(*other, *part.host, false);
        }
        break;
      case Fault::kSlowDisk: part.host->disk->extraUs = 0; break;
      case Fault::kEvacuate:
        operators_[0]->setZone(evacuated_, false);
        evacuated_.clear();
        break;
      default: fleet_.start(part); break;
    }
  }
}

// A disk may be lost only while the chain stands whole without it: the brief asks for one, not two.
bool Chaos::mayLoseDisk(PartKind kind) {
  for (Part* part : fleet_.of(kind)) {
    const Member* member = part->core ? &part->core->member() : part->store ? &part->store->member() : nullptr;
    if (member == nullptr || !member->active() || part->host->frozen()) return false;
    if (member->view().chain.size() != fleet_.of(kind).size()) return false;
    if (part->troubledUs > fleet_.world().nowUs()) return false;
  }
  return true;
}

void Chaos::cutOff(Part& part, bool oneWay, Us lengthUs) {
  const bool outward = chance_.oneIn(2);
  for (auto& other : fleet_.world().hosts()) {
    if (other.get() == part.host) continue;
    if (!oneWay || outward) fleet_.world().setCut(*part.host, *other, true);
    if (!oneWay || !outward) fleet_.world().setCut(*other, *part.host, true);
  }
  later(lengthUs, part, Fault::kCutOff);
}

void Chaos::cause(Fault fault) {
  // Mostly short; at times longer than a licence.
  const Us shortUs = (300 * kMilliUs + static_cast<Us>(chance_.below(5000)) * kMilliUs) * (chance_.oneIn(5) ? 4 : 1);
  logEvent("fault", {{"what", faultText(fault)}});
  switch (fault) {
    case Fault::kKill:
    case Fault::kPower: {
      Part& part = anyMachine();
      fleet_.kill(part, fault == Fault::kPower);
      later(shortUs, part, Fault::kKill);
      break;
    }
    case Fault::kWipe: {
      const PartKind kind = chance_.oneIn(2) ? PartKind::kCore : PartKind::kStore;
      if (!mayLoseDisk(kind)) break;
      Part& part = anyOf(kind);
      fleet_.kill(part, true);
      part.host->disk->wipe();
      later(chance_.oneIn(2) ? 0 : shortUs, part, Fault::kKill);
      break;
    }
    case Fault::kFreeze: {
      Part& part = anyMachine();
      part.host->frozenUntilUs = fleet_.world().nowUs() + shortUs;
      fleet_.troubled(part, part.host->frozenUntilUs);
      break;
    }
    case Fault::kCutOff: cutOff(anyMachine(), false, shortUs); break;
    case Fault::kCutOneWay: cutOff(anyMachine(), true, shortUs); break;
    case Fault::kSplitCore: {
      // Each side keeps some of the nodes.
      for (Part& one : fleet_.parts()) {
        for (Part& other : fleet_.parts()) {
          const bool near = one.kind == PartKind::kCore && other.kind != PartKind::kWorker && one.host != other.host;
          if (near && (one.host->place() + other.host->place()) % 2 == 1) {
            fleet_.world().setCut(*one.host, *other.host, true);
            fleet_.world().setCut(*other.host, *one.host, true);
            if (other.kind == PartKind::kNode) fleet_.troubled(other, fleet_.world().nowUs() + shortUs);
          }
        }
        if (one.kind == PartKind::kCore) later(shortUs, one, Fault::kCutOff);
      }
      break;
    }
    case Fault::kClockStep: {
      Part& part = anyMachine();
      const Us stepUs = static_cast<Us>(1 + chance_.below(7200)) * kSecondUs;
      part.host->wallOffsetUs += chance_.oneIn(2) ? stepUs : -stepUs;
      break;
    }
    case Fault::kSlowDisk: {
      Part& part = anyOf(chance_.oneIn(2) ? PartKind::kCore : PartKind::kStore);
      part.host->disk->extraUs = static_cast<Us>(100 + chance_.below(2000)) * kMilliUs;
      undos_.push_back({fleet_.world().nowUs() + shortUs * 2, Fault::kSlowDisk, &part});
      break;
    }
    case Fault::kStalledDisk: {
      Part& part = anyOf(chance_.oneIn(2) ? PartKind::kCore : PartKind::kStore);
      part.host->disk->stalledUntilUs = part.host->monoUs() + shortUs;
      break;
    }
    case Fault::kWorkerCrash: {
      Part& part = anyOf(PartKind::kWorker);
      fleet_.kill(part, false);
      later(shortUs, part, Fault::kKill);
      break;
    }
    case Fault::kWorkerLeaves: {
      Part& part = anyOf(PartKind::kWorker);
      std::size_t left = 0;
      for (Part* worker : fleet_.of(PartKind::kWorker)) left += worker->leftUs >= 0 ? 1 : 0;
      if (!part.worker || left > 2 || part.leftUs >= 0 || !fleet_.platform().platform) break;
      part.leftUs = fleet_.world().nowUs();
      if (chance_.oneIn(2)) part.worker->leave();
      fleet_.platform().platform->leave(part.host->http());
      break;
    }
    case Fault::kZoneLost: {
      const std::string zone = fleet_.shape().zones[chance_.below(fleet_.shape().zones.size())];
      for (Part& part : fleet_.parts()) {
        if (part.host->zone() != zone || part.kind == PartKind::kCaller || part.kind == PartKind::kPlatform) continue;
        fleet_.kill(part, true);
        later(shortUs, part, Fault::kKill);
      }
      break;
    }
    case Fault::kAllLost:
      for (Part& part : fleet_.parts()) {
        if (part.kind == PartKind::kCaller) continue;
        fleet_.kill(part, true);
        later(shortUs, part, Fault::kKill);
      }
      break;
    case Fault::kRestartNode: {
      Part& part = anyOf(PartKind::kNode);
      fleet_.kill(part, false);
      later(100 * kMilliUs, part, Fault::kKill);
      break;
    }
    case Fault::kPush: operators_[0]->pushRoutes(false); break;
    case Fault::kRaceOfPushes:
      operators_[0]->pushRoutes(false);
      operators_[1]->pushRoutes(false);
      break;
    case Fault::kEvacuate:
      if (!evacuated_.empty()) break;
      evacuated_ = fleet_.shape().zones[chance_.below(fleet_.shape().zones.size())];
      operators_[0]->setZone(evacuated_, true);
      undos_.push_back({fleet_.world().nowUs() + 15 * kSecondUs, Fault::kEvacuate, &fleet_.parts().front()});
      break;
    case Fault::kEndLot: {
      Part& part = anyOf(PartKind::kCaller);
      if (part.callerLedger.lots.empty()) break;
      operators_[0]->endLot(part.callerLedger.lots.rbegin()->second.lot);
      break;
    }
    case Fault::kCount: break;
  }
}

}  // namespace stonemount
