// Faults of workers and of the platform, crowds, and what operators do (design.md 13.3).
#include <algorithm>

#include "simulator/fault_schedule.h"

namespace stonemount {

namespace {
constexpr Us kLeaveUs = 8 * kSecondUs;
constexpr Us kNoticeUs = kSecondUs;
constexpr std::size_t kManyRoutes = 1500;
constexpr std::uint32_t kCrowd = 60;
constexpr int kRacers = 8;  // changes that are under way at once
}  // namespace

bool FaultSchedule::strikeWork(Fault fault, Us shortUs) {
  const Us nowUs = fleet_.world().nowUs();
  RehearsePlatform* platform = fleet_.platform().platform.get();
  switch (fault) {
    case Fault::kWorkerCrash: {
      Part& part = anyOf(PartKind::kWorker);
      if (!part.host->up()) return false;
      fleet_.kill(part, false);
      later(shortUs, part, Fault::kKill);
      return true;
    }
    case Fault::kReplaceWorkers: {  // one by one, each cold in its place
      std::size_t place = 0;
      for (Part* part : fleet_.standing(PartKind::kWorker)) {
        if (!part->host->up() || place >= 4) continue;
        undos_.push_back({nowUs + static_cast<Us>(place) * kSecondUs, Fault::kShortNotice, part});
        undos_.push_back({nowUs + static_cast<Us>(place++) * kSecondUs + 300 * kMilliUs, Fault::kKill, part});
      }
      return place > 0;
    }
    case Fault::kWorkerLeaves:
    case Fault::kShortNotice: {
      Part& part = anyOf(PartKind::kWorker);
      std::size_t leaving = 0;
      for (Part* worker : fleet_.standing(PartKind::kWorker)) leaving += worker->leaving(nowUs) ? 1 : 0;
      if (!part.worker || leaving > 2 || part.leaving(nowUs) || platform == nullptr) return false;
      part.leaves.emplace_back(nowUs, nowUs + 3600 * kSecondUs);
      if (chance_.oneIn(2)) part.worker->leave();
      platform->leave(part.host->http());
      if (fault == Fault::kShortNotice) undos_.push_back({nowUs + kNoticeUs, Fault::kShortNotice, &part});
      undos_.push_back({nowUs + kLeaveUs, Fault::kWorkerLeaves, &part});
      return true;
    }
    case Fault::kWorkerGone: {  // from the list, with requests open
      Part& part = anyOf(PartKind::kWorker);
      if (platform == nullptr || part.leaving(nowUs)) return false;
      platform->remove(part.host->http());
      undos_.push_back({nowUs + shortUs, Fault::kWorkerGone, &part});
      return true;
    }
    case Fault::kPlatformDown:
      if (platform == nullptr) return false;
      fleet_.kill(fleet_.platform(), false);
      undos_.push_back({nowUs + shortUs, Fault::kKill, &fleet_.platform()});
      return true;
    case Fault::kOldList:
      if (platform == nullptr) return false;
      platform->tellOld(true);
      undos_.push_back({nowUs + shortUs, Fault::kOldList, &fleet_.platform()});
      return true;
    case Fault::kCrowd:
      for (Part* part : fleet_.of(PartKind::kCaller)) part->caller->burst(kCrowd);
      return true;
    default:
      return false;
  }
}

bool FaultSchedule::strikeChange(Fault fault) {
  const Us nowUs = fleet_.world().nowUs();
  switch (fault) {
    case Fault::kPush:
      operators_[0]->pushRoutes(false);
      return true;
    case Fault::kManyRoutes:
      operators_[0]->pushRoutes(false, kManyRoutes);
      return true;
    case Fault::kRaceOfPushes:
      for (int racer = 0; racer < kRacers; ++racer) operators_[racer % 2]->pushRoutes(false);
      return true;
    case Fault::kEvacuate:
    case Fault::kEvacuateHead: {
      if (!evacuated_.empty()) return false;
      evacuated_ = fleet_.shape().zones[chance_.below(fleet_.shape().zones.size())];
      if (fault == Fault::kEvacuateHead)  // of the store's head, or of the sampler
        for (Part* part : fleet_.standing(chance_.oneIn(2) ? PartKind::kCore : PartKind::kStore))
          if ((part->store && part->store->replica().head()) ||
              (part->core && part->core->election().holds(Sampler::kDuty)))
            evacuated_ = part->host->zone();
      operators_[0]->setZone(evacuated_, true);
      undos_.push_back({nowUs + 15 * kSecondUs, Fault::kEvacuate, &fleet_.parts().front()});
      return true;
    }
    case Fault::kEndLot: {
      Part& part = anyOf(PartKind::kCaller);
      if (part.callerLedger.lots.empty()) return false;
      operators_[0]->endLot(part.callerLedger.lots.rbegin()->second.lot);
      return true;
    }
    case Fault::kReplaceCore:
    case Fault::kReplaceStore:
    case Fault::kAddStore: {
      const PartKind kind = fault == Fault::kReplaceCore ? PartKind::kCore : PartKind::kStore;
      if (spares_ >= 4 || !mayLoseDisk(kind)) return false;
      Part& old = anyOf(kind);
      Part& fresh = fleet_.addSpare(kind, old.host->zone(), (kind == PartKind::kCore ? 11 : 31) + spares_++);
      fleet_.start(fresh);
      const bool add = fault == Fault::kAddStore;
      if (!add && chance_.oneIn(2)) {  // the old machine is gone already
        fleet_.kill(old, true);
        old.gone = true;
      }
      wish(kind == PartKind::kCore ? "/op/core/replace"
           : add                   ? "/op/store/add"
                                   : "/op/store/replace",
           &fresh, add ? nullptr : &old);
      return true;
    }
    case Fault::kRetireStore:
      if (fleet_.standing(PartKind::kStore).size() < 4 || !mayLoseDisk(PartKind::kStore)) return false;
      wish("/op/store/retire", nullptr, &anyOf(PartKind::kStore));
      return true;
    default:
      return false;
  }
}

}  // namespace stonemount
