// Faults of machines, disks, clocks and links (design.md 13.3).
#include <algorithm>

#include "simulator/fault_schedule.h"

namespace stonemount {

bool FaultSchedule::strikeMachine(Fault fault, Us shortUs) {
  switch (fault) {
    case Fault::kKill:
    case Fault::kPower: {
      Part& part = anyMachine();
      if (!part.host->up()) return false;
      fleet_.kill(part, fault == Fault::kPower);
      later(shortUs, part, Fault::kKill);
      return true;
    }
    case Fault::kWipe:
    case Fault::kWipeAfterAck:
    case Fault::kCorrupt: {
      const PartKind kind = chance_.oneIn(2) ? PartKind::kCore : PartKind::kStore;
      if (!mayLoseDisk(kind)) return false;
      if (fault == Fault::kWipeAfterAck) {  // within a millisecond of an acknowledgement
        ackKind_ = kind;
        const std::uint64_t before = acks_;
        if (kind == PartKind::kCore) operators_[0]->pushRoutes(false);
        for (int i = 0; i < 2000 && acks_ == before; ++i) fleet_.run(kMilliUs);
        if (acks_ == before || !mayLoseDisk(kind)) return false;
      }
      Part& part = anyOf(kind);
      fleet_.kill(part, true);
      if (fault == Fault::kCorrupt)
        for (int i = 0; i < 30; ++i) part.host->disk->corrupt(chance_);
      else
        part.host->disk->wipe();
      later(chance_.oneIn(2) ? 0 : shortUs, part, Fault::kKill);
      return true;
    }
    case Fault::kFreeze: {
      Part& part = anyMachine();
      part.host->frozenUntilUs = fleet_.world().nowUs() + shortUs;
      fleet_.troubled(part, part.host->frozenUntilUs);
      return part.host->up();
    }
    case Fault::kClockStep: {
      Part& part = anyMachine();
      const Us stepUs = static_cast<Us>(1 + chance_.below(7200)) * kSecondUs;
      // Clocks jump on some machines: never on so many that most of all are wrong.
      std::size_t wrong = 0;
      for (auto& host : fleet_.world().hosts()) wrong += host->disk != nullptr && host->wallOffsetUs != 0 ? 1 : 0;
      if (part.host->disk != nullptr && part.host->wallOffsetUs == 0 && wrong >= 2) return false;
      part.host->wallOffsetUs = chance_.oneIn(4) ? 0 : chance_.oneIn(2) ? stepUs : -stepUs;
      return true;
    }
    case Fault::kSlowDisk: {
      Part& part = anyOf(chance_.oneIn(2) ? PartKind::kCore : PartKind::kStore);
      part.host->disk->extraUs = static_cast<Us>(100 + chance_.below(2000)) * kMilliUs;
      undos_.push_back({fleet_.world().nowUs() + shortUs * 2, Fault::kSlowDisk, &part});
      return true;
    }
    case Fault::kStalledDisk: {
      Part& part = anyOf(chance_.oneIn(2) ? PartKind::kCore : PartKind::kStore);
      part.host->disk->stalledUntilUs = part.host->monoUs() + shortUs;
      return true;
    }
    case Fault::kFullDisk: {  // with its machine's other troubles: a disk that takes no bytes is a loss
      const PartKind kind = chance_.oneIn(2) ? PartKind::kCore : PartKind::kStore;
      if (!mayLoseDisk(kind)) return false;
      Part& part = anyOf(kind);
      part.host->disk->full = true;
      later(shortUs * 2, part, Fault::kFullDisk);
      return true;
    }
    case Fault::kSlowMachine: {
      Part& part = anyMachine();
      part.host->slowUs = static_cast<Us>(50 + chance_.below(1000));
      later(shortUs * 2, part, Fault::kSlowMachine);
      return true;
    }
    case Fault::kZoneLost: {
      const std::string zone = fleet_.shape().zones[chance_.below(fleet_.shape().zones.size())];
      for (Part& part : fleet_.parts()) {
        if (part.host->zone() != zone || part.kind == PartKind::kCaller || part.kind == PartKind::kPlatform) continue;
        fleet_.kill(part, true);
        later(shortUs, part, Fault::kKill);
      }
      return true;
    }
    case Fault::kAllLost:
      for (Part& part : fleet_.parts()) {
        if (part.kind == PartKind::kCaller) continue;
        fleet_.kill(part, true);
        later(shortUs, part, Fault::kKill);
      }
      return true;
    case Fault::kRestartNode: {
      Part& part = anyOf(PartKind::kNode);
      fleet_.kill(part, false);
      later(100 * kMilliUs, part, Fault::kKill);
      return true;
    }
    default:
      return false;
  }
}

void FaultSchedule::cutOff(Part& part, bool oneWay, Us lengthUs) {
  const bool outward = chance_.oneIn(2);
  for (auto& other : fleet_.world().hosts()) {
    if (other.get() == part.host) continue;
    if (!oneWay || outward) fleet_.world().setCut(*part.host, *other, true);
    if (!oneWay || !outward) fleet_.world().setCut(*other, *part.host, true);
  }
  later(lengthUs, part, Fault::kCutOff);
}

bool FaultSchedule::strikeLink(Fault fault, Us shortUs) {
  switch (fault) {
    case Fault::kCutOff:
    case Fault::kCutOneWay:
      cutOff(anyMachine(), fault == Fault::kCutOneWay, shortUs);
      return true;
    case Fault::kCutPair:
    case Fault::kCutPairOneWay: {
      Part& one = anyMachine();
      Part& other = anyMachine();
      if (one.host == other.host) return false;
      fleet_.world().setCut(*one.host, *other.host, true);
      if (fault == Fault::kCutPair) fleet_.world().setCut(*other.host, *one.host, true);
      later(shortUs, one, Fault::kCutOff);
      fleet_.troubled(other, fleet_.world().nowUs() + shortUs);
      return true;
    }
    case Fault::kSlowLink: {
      Part& part = anyMachine();
      part.host->usPerKilobyte = static_cast<Us>(100 + chance_.below(3000));
      later(shortUs * 2, part, Fault::kSlowLink);
      return true;
    }
    case Fault::kSplitCore: {
      // Each side keeps some of the nodes, and callers talk to all of those.
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
      return true;
    }
    default:
      return false;
  }
}

}  // namespace stonemount
