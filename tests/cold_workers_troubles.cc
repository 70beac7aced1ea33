// What happens to the modelled fleet: workers that turn cold, and what keeps nodes from knowing of it.
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "cold_workers_rig.h"

namespace stonemount {

namespace {
constexpr Us kSilenceUs = 3 * kSecondUs;  // until a request's own limit ends it at a worker that went dark
}  // namespace

// A silence that is over before anybody can have noticed it, at a worker that is the same afterwards, is not modelled:
// a start makes a new life, and what is meant for another life is turned away and counts for nothing.
bool ColdFleet::unnoticed(Us forUs, WorkerState state) {
  return state == WorkerState::kDark && forUs < ColdAllowance::kSilentUs + 300 * kMilliUs;
}

void ColdFleet::turnCold(Worker& worker, bool newLife, bool cold) {
  worker.state = WorkerState::kUp;
  worker.arrivals.clear();
  const std::string life = newLife ? absl::StrCat("i-", ++lives_) : worker.now().life;
  worker.facts.push_back({clock_.nowUs, life, cold ? clock_.nowUs + plan_.coldUs : 0});
}

// Who is down already stays as it is, and returns once.
void ColdFleet::down(std::vector<std::size_t> which, Us forUs, WorkerState state, bool newLife, bool cold) {
  std::erase_if(which, [this](std::size_t place) { return workers_[place].state != WorkerState::kUp; });
  newLife |= unnoticed(forUs, state);
  for (const std::size_t place : which) {
    Worker& worker = workers_[place];
    worker.state = state;
    const Us seenUs = state == WorkerState::kDark ? kSilenceUs : kMilliUs;
    for (const std::shared_ptr<Run>& run : std::exchange(worker.runs, {})) {
      auto cut = std::make_shared<Run>(*run);
      run->over = true;  // it puts out no more
      at(seenUs, [this, cut] { finish(*cut, PoolLoadTable::Ending::kBroken); });
    }
  }
  at(forUs, [this, which, newLife, cold] {
    for (const std::size_t place : which) turnCold(workers_[place], newLife, cold);
  });
}

void ColdFleet::setZone(const std::string& zone, bool evacuated) {
  control_.apply(pack(ControlCommand(SetZone{zone, evacuated})));
  tellAll();
}

// Shortly before its end the zone's workers go cold, with nothing else to be seen of it.
void ColdFleet::evacuate(const std::string& zone, Us forUs) {
  const bool untold = clock_.nowUs < controlDownUntilUs_;  // the operator gets no acknowledgement
  if (untold || control_.state().evacuated(zone)) return;
  setZone(zone, true);
  endEvacuation(zone, forUs);
}

void ColdFleet::endEvacuation(const std::string& zone, Us inUs) {
  at(inUs, [this, zone] {
    if (clock_.nowUs < controlDownUntilUs_) return endEvacuation(zone, controlDownUntilUs_ - clock_.nowUs + kSecondUs);
    for (Worker& worker : workers_)
      if (worker.zone == zone && worker.state == WorkerState::kUp) turnCold(worker, false, true);
    at(some(1, 400) * kMilliUs, [this, zone] { setZone(zone, false); });
  });
}

void ColdFleet::planTroubles() {
  const std::uint64_t count = 2 + chance_.below(3);
  for (std::uint64_t i = 0; i < count; ++i) {
    const Us atUs = some(0, plan_.lengthUs * 2 / 3);
    troubleWorkers(atUs);
    if (plan_.troubles) troubleNodes(std::max<Us>(0, atUs + some(-3 * kSecondUs, 3 * kSecondUs)));
    if (!plan_.bursts) continue;
    const Us burstUs = atUs + some(0, 3 * kSecondUs);
    absl::StrAppend(&troubles_, "burst ", (clock_.nowUs + burstUs) / kMilliUs, ", ");
    at(burstUs, [this] {
      burstTimes_ = 2 + chance_.below(2);
      burstUntilUs_ = clock_.nowUs + some(2 * kSecondUs, 5 * kSecondUs);
    });
  }
}

// A zone, a part, all of them, or one after the other; down in silence or refusing; back as they were or as others.
void ColdFleet::troubleWorkers(Us atUs) {
  const WorkerState state = chance_.oneIn(2) ? WorkerState::kDark : WorkerState::kRefusing;
  const Us forUs = some(300 * kMilliUs, 5 * kSecondUs);
  const bool newLife = !plan_.sameLife || chance_.oneIn(2);
  std::vector<std::size_t> which;
  const std::uint64_t kind = chance_.below(5);
  const std::uint64_t zone = chance_.below(3);
  const char* const kinds[] = {"zone", "all", "half", "one by one", "evacuation"};
  absl::StrAppend(&troubles_, kinds[kind], state == WorkerState::kDark ? " dark " : " refusing ",
                  (clock_.nowUs + atUs) / kMilliUs, " for ", forUs / kMilliUs, newLife ? " new life, " : ", ");
  for (std::size_t i = 0; i < workers_.size(); ++i)
    if (kind == 1 || (kind == 0 && i % 3 == zone) || (kind == 2 && chance_.oneIn(2))) which.push_back(i);
  if (kind <= 2) return at(atUs, [this, which, forUs, state, newLife] { down(which, forUs, state, newLife, true); });
  if (kind == 3) {  // every one of them down and back, one at a time
    for (std::size_t i = 0; i < workers_.size(); ++i)
      at(atUs + static_cast<Us>(i) * 300 * kMilliUs,
         [this, i, state, newLife] { down({i}, some(200 * kMilliUs, 2 * kSecondUs), state, newLife, true); });
    return;
  }
  // An evacuation, at whose end the zone's workers have gone cold.
  const std::string name(1, static_cast<char>('a' + zone));
  at(atUs, [this, name, forUs] { evacuate(name, forUs + 2 * kSecondUs); });
}

void ColdFleet::troubleNodes(Us atUs) {
  const std::uint64_t kind = chance_.below(5);
  const Us forUs = some(kSecondUs, 8 * kSecondUs);
  const char* const kinds[] = {"control down", "nodes cut", "nodes frozen", "nodes killed", "nodes added"};
  absl::StrAppend(&troubles_, kinds[kind], " ", (clock_.nowUs + atUs) / kMilliUs, " for ", forUs / kMilliUs, ", ");
  if (kind == 0)  // control is in halves: nobody is told anything
    return at(atUs, [this, forUs] { controlDownUntilUs_ = clock_.nowUs + forUs; });
  if (kind == 4) {  // newcomers, all at once
    at(atUs, [this] {
      const std::size_t before = nodes_.size();
      for (std::size_t i = 0; i < 1 + before / 3; ++i) {
        const Address address{0x0a000000u + static_cast<std::uint32_t>(nodes_.size()), 7001};
        nodes_.push_back(std::make_unique<ColdNode>(clock_, address, "a"));
        startNode(nodes_.size() - 1);
      }
    });
    return;
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!chance_.oneIn(3)) continue;
    at(atUs, [this, i, kind, forUs] {
      ColdNode& node = *nodes_[i];
      if (kind == 1) node.cutUntilUs = clock_.nowUs + forUs;
      if (kind == 2) node.frozenUntilUs = clock_.nowUs + forUs;
      if (kind != 3) return;
      node.life = 0;  // killed
      at(forUs / 2, [this, i] { startNode(i); });
    });
  }
}

}  // namespace stonemount
