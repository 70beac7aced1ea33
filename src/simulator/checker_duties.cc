// Who holds a duty while it is cut off (docs/review/1-cut-off.md).
#include <absl/strings/str_cat.h>

#include "simulator/checker.h"

namespace stonemount {

namespace {
// A holder stands down 0.8 s after the last majority, looks twice a second at most, and a slow poll adds a quarter.
constexpr Us kStoodDownUs = 1600 * kMilliUs;
constexpr std::size_t kMostFaults = 5;

bool inContact(World& world, const Part& part, const View& view) {
  std::size_t reached = 0;
  for (const Seat& voter : view.voters) {
    SimHost* host = world.hostByWire(voter.address);
    if (host == nullptr) continue;
    reached += host == part.host || (!world.cut(*part.host, *host) && !world.cut(*host, *part.host)) ? 1 : 0;
  }
  return reached >= view.majority();
}
}  // namespace

void DutyChecker::look(Fleet& fleet) {
  const Us nowUs = fleet.world().nowUs();
  for (Part* part : fleet.of(PartKind::kCore)) {
    const bool runs = part->core && !part->host->frozen() && part->host->slowUs == 0;
    if (!runs || inContact(fleet.world(), *part, part->core->replica().view())) {
      apartSinceUs_.erase(part);
      continue;
    }
    const Us sinceUs = apartSinceUs_.emplace(part, nowUs).first->second;
    if (nowUs - sinceUs < kStoodDownUs || faults.size() >= kMostFaults) continue;
    for (const char* duty : {Sampler::kDuty, Core::kWorkerDiscovery, MembershipManager::kDuty})
      if (part->core->election().holds(duty))
        faults.push_back(absl::StrCat(part->host->name(), " is cut off and holds the duty ", duty));
  }
}

}  // namespace stonemount
