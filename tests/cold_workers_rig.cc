#include "cold_workers_rig.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kHopUs = 1500;
constexpr Us kHoldUs = 150 * kMilliUs;
constexpr Us kLookUs = 20 * kMilliUs;
constexpr Us kEventUs = 100 * kMilliUs;  // between what a run puts out
constexpr Us kLimitUs = 4 * kSecondUs;   // of a request
constexpr Us kProbeLimitUs = 2 * kSecondUs;
constexpr char kPool[] = "p";
const char* const kZones[] = {"a", "b", "c"};
}  // namespace

ColdFleet::ColdFleet(std::uint64_t seed, ColdFleetPlan plan) : chance_(seed), plan_(plan) {
  for (std::size_t i = 0; i < plan_.workers; ++i) {
    Worker& worker = workers_.emplace_back();
    worker.address = {0x0a100000u + static_cast<std::uint32_t>(i), 8080};
    worker.zone = kZones[i % std::size(kZones)];
    worker.facts.push_back({0, absl::StrCat("i-", ++lives_), 0});
  }
  ControlNews told;  // a configuration with the one pool
  told.whole = true;
  told.to = told.configRevision = 1;
  Pool pool;
  pool.name = kPool;
  pool.warmPerKs = plan_.ratePerS * 1000;
  told.pools.push_back(pool);
  control_.apply(pack(ControlCommand(Rebuild{told})));
  pollList();
  for (std::size_t i = 0; i < plan_.nodes; ++i) {
    const Address address{0x0a000000u + static_cast<std::uint32_t>(i), 7001};
    nodes_.push_back(std::make_unique<ColdNode>(clock_, address, kZones[i % std::size(kZones)]));
    startNode(i);
  }
}

void ColdFleet::at(Us delayUs, Deed deed) { queue_.push({clock_.nowUs + delayUs, ++lastNumber_, std::move(deed)}); }

void ColdFleet::run() {
  const Us calmUs = 6 * kSecondUs;  // all know all
  const Us endUs = clock_.nowUs + calmUs + plan_.lengthUs;
  at(calmUs, [this] { planTroubles(); });
  while (!queue_.empty() && queue_.top().atUs < endUs) {
    const Later next = queue_.top();
    queue_.pop();
    clock_.nowUs = next.atUs;
    next.deed();
  }
}

void ColdFleet::arrive(std::size_t place, std::uint64_t life) {
  ColdNode& node = *nodes_[place];
  if (node.life != life) return;
  const std::uint64_t times = clock_.nowUs < burstUntilUs_ ? burstTimes_ : 1;
  const Us everyUs = kSecondUs * static_cast<Us>(nodes_.size()) / static_cast<Us>(plan_.requestsPerS * times);
  at(some(0, 2 * everyUs), [this, place, life] { arrive(place, life); });
  // A node that stands still finds some of them as it wakes.
  if (clock_.nowUs < node.frozenUntilUs && !chance_.oneIn(4)) return;
  Request request;
  request.node = place;
  request.wish.pool = kPool;
  request.wish.spot = chance_.oneIn(3) ? 1 + chance_.below(40) : 0;
  request.wish.lot = chance_.oneIn(4);
  request.giveUpUs = std::max(clock_.nowUs, node.frozenUntilUs) + kHoldUs * (request.wish.lot ? 3 : 1);
  attempt(std::move(request));
}

void ColdFleet::attempt(Request request) {
  ColdNode& node = *nodes_[request.node];
  if (node.life == 0) return;
  if (clock_.nowUs < node.frozenUntilUs)
    return at(node.frozenUntilUs - clock_.nowUs, [this, request] { attempt(request); });
  const std::optional<Address> chosen = node.table.choose(request.wish);
  if (!chosen) {
    if (clock_.nowUs + kLookUs > request.giveUpUs || request.tries > 2) {
      ++refused_;
      return;
    }
    return at(request.wish.lot ? 3 * kLookUs : kLookUs, [this, request] { attempt(request); });
  }
  node.table.take(*chosen, request.wish.lot);
  const std::uint64_t nodeLife = node.life;
  at(kHopUs + some(0, 1000), [this, request, worker = *chosen, life = node.table.lifeOf(*chosen), nodeLife] {
    reach(request, worker, life, nodeLife);
  });
}

void ColdFleet::reach(Request request, Address address, std::string life, std::uint64_t nodeLife) {
  Worker& worker = workers_[address.ip - workers_[0].address.ip];
  auto run = std::make_shared<Run>(Run{request.node, nodeLife, address, life, request.wish.lot});
  if (worker.state == WorkerState::kDark)
    return at(kLimitUs, [this, run] { finish(*run, PoolLoadTable::Ending::kBroken); });
  if (worker.state == WorkerState::kUp && worker.now().life == life) {
    countArrival(worker);
    worker.runs.push_back(run);
    return work(std::move(run));
  }
  const bool refuses = worker.state == WorkerState::kRefusing;
  finish(*run, refuses ? PoolLoadTable::Ending::kUnsent : PoolLoadTable::Ending::kOtherLife);
  request.wish.passedOver.insert(address);
  ++request.tries;
  attempt(std::move(request));
}

void ColdFleet::work(std::shared_ptr<Run> run) {
  const Us workUs = some(200 * kMilliUs, 1200 * kMilliUs);
  for (Us partUs = kEventUs; partUs < workUs; partUs += kEventUs) at(partUs, [this, run] { emit(*run); });
  at(workUs, [this, run] {
    if (!run->over) ++served_;
    emit(*run);
    finish(*run, PoolLoadTable::Ending::kWhole);
    std::erase(workers_[run->worker.ip - workers_[0].address.ip].runs, run);
  });
}

// As WarmthProbe does, by the worker's own health answer.
void ColdFleet::probe(std::size_t place, const Address& address) {
  ColdNode& node = *nodes_[place];
  if (!node.table.takeProbe(address)) return;
  const Us askedUs = clock_.nowUs;
  auto run = std::make_shared<Run>(Run{place, node.life, address, node.table.lifeOf(address), false});
  at(kHopUs + some(0, 1000), [this, run, askedUs] { answerProbe(run, askedUs); });
}

void ColdFleet::answerProbe(std::shared_ptr<Run> run, Us askedUs) {
  Worker& worker = workers_[run->worker.ip - workers_[0].address.ip];
  if (worker.state == WorkerState::kDark)
    return at(kProbeLimitUs, [this, run] { finish(*run, PoolLoadTable::Ending::kLeft); });
  if (worker.state == WorkerState::kRefusing) return finish(*run, PoolLoadTable::Ending::kLeft);
  if (worker.now().life != run->life) return finish(*run, PoolLoadTable::Ending::kOtherLife);
  countArrival(worker);
  const Us leftUs = std::max<Us>(0, worker.now().coldUntilUs - clock_.nowUs);
  at(kHopUs + some(0, 20 * kMilliUs), [this, run, askedUs, leftUs] {
    ColdNode& node = *nodes_[run->node];
    if (node.life != run->nodeLife || clock_.nowUs < node.frozenUntilUs)
      return finish(*run, PoolLoadTable::Ending::kLeft);
    node.table.contact(run->worker, run->life);
    node.table.toldWarmth(run->worker, run->life, askedUs, leftUs);
    finish(*run, PoolLoadTable::Ending::kWhole);
  });
}

void ColdFleet::emit(const Run& run) {
  if (!run.over && nodes_[run.node]->life == run.nodeLife) nodes_[run.node]->table.contact(run.worker, run.life);
}

void ColdFleet::finish(Run& run, PoolLoadTable::Ending ending) {
  ColdNode& node = *nodes_[run.node];
  if (std::exchange(run.over, true) || node.life != run.nodeLife) return;
  if (node.table.lifeOf(run.worker) != run.life) ending = PoolLoadTable::Ending::kLeft;
  node.table.giveBack(run.worker, run.lot, ending);
}

void ColdFleet::countArrival(Worker& worker) {
  if (clock_.nowUs >= worker.now().coldUntilUs) return;
  ++coldServed_;
  worker.arrivals.push_back(clock_.nowUs);
  while (clock_.nowUs - worker.arrivals.front() >= kSecondUs) worker.arrivals.pop_front();
  if (worker.arrivals.size() <= worst_) return;
  worst_ = worker.arrivals.size();
  const Us coldForUs = clock_.nowUs - worker.now().atUs;
  worstStory_ = absl::StrCat(worst_, " requests at ", addressText(worker.address), " at ", clock_.nowUs / kMilliUs,
                             ", ", coldForUs / kMilliUs, " ms after it turned cold");
}

}  // namespace stonemount
