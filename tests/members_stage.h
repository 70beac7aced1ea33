// A simulated fleet that nobody told of its members, and what may be done to it.
#pragma once

#include <cstdio>

#include "simulator/checker.h"

namespace stonemount {

constexpr Us kSyncUs = 4900 * kMilliUs;  // the tighter of the two deployments
inline int passed = 0, failed = 0;
inline bool loud = false;

inline void expect(bool well, std::uint64_t seed, const char* what) {
  ++(well ? passed : failed);
  if (!well) std::printf("FAILED seed=%d %s\n", static_cast<int>(seed), what);
}

inline FleetShape shapeOf(std::uint64_t seed) {
  FleetShape shape = seed % 2 == 0 ? posilkaShape() : portaviaShape();
  shape.told = false;
  return shape;
}

template <class Result>
Task keep(Job<Result> job, std::optional<Result>& result) {
  result = co_await job;
}

struct Stage {
  explicit Stage(std::uint64_t given)
      : seed(given),
        fleet(seed, shapeOf(seed)),
        host(fleet.world().addHost("operators", "outside", {(127u << 24) | 999, 7000}, {(127u << 24) | 999, 8000})),
        judge(fleet, ledger),
        chance(seed ^ 0xABC) {
    fleet.world().loud = loud;
    host.rise();
    operators = std::make_unique<SimOperator>(fleet, host, ledger);
    for (Part& part : fleet.parts()) fleet.start(part);
  }
  ~Stage() {
    rooms.clear();
    operators.reset();
  }
  void serve() {
    expect(fleet.runUntilReady(12 * kSecondUs), seed, "the fleet is ready");
    operators->pushRoutes(true);
    operators->createEvent("night", 24LL * 3600 * kSecondUs);
    while (!operators->idle()) fleet.run(50 * kMilliUs);
    fleet.run(kSecondUs);
    fleet.startCallers();
    run(4 * kSecondUs);
  }
  void run(Us lengthUs) {
    const Us untilUs = fleet.world().nowUs() + lengthUs;
    while (fleet.world().nowUs() < untilUs) {
      fleet.run(50 * kMilliUs);
      judge.look();
    }
  }
  const View& view(PartKind kind) {
    static const View none;
    const View* newest = &none;
    for (Part* part : fleet.of(kind)) {
      const Replica* member = fleet.memberOf(*part);
      if (member != nullptr && member->view().revision > newest->revision) newest = &member->view();
    }
    return *newest;
  }
  Part* partAt(const Address& wire) {
    for (Part& part : fleet.parts())
      if (part.host->wire() == wire) return &part;
    return nullptr;
  }
  Part& seated(PartKind kind) {
    const View now = view(kind);
    return *partAt(now.voters[chance.below(now.voters.size())].address);
  }
  Part* membershipManager() {
    for (Part* part : fleet.of(PartKind::kCore))
      if (part->core && part->core->election().holds(MembershipManager::kDuty)) return part;
    return nullptr;
  }
  // Three live members, each in the chain, that outlive any zone.
  bool whole(PartKind kind) {
    const View now = view(kind);
    if (now.voters.size() < 3 || now.chain.size() < 3 || !outlivesZones(now.voters)) return false;
    for (const Seat& seat : now.voters) {
      const Replica* member = fleet.memberOf(*partAt(seat.address));
      if (member == nullptr || !member->active() || partAt(seat.address)->host->frozen()) return false;
    }
    return true;
  }
  Us untilWhole(PartKind kind, Us limitUs) {
    const Us sinceUs = fleet.world().nowUs();
    while (!whole(kind) && fleet.world().nowUs() < sinceUs + limitUs) run(50 * kMilliUs);
    return fleet.world().nowUs() - sinceUs;
  }
  void lose(Part& part) {
    fleet.kill(part, true);
    part.host->disk->wipe();
    part.gone = true;
  }
  Part& arrive(PartKind kind, const std::string& zone) {
    Part& fresh = fleet.addSpare(kind, zone, (kind == PartKind::kCore ? 11 : 31) + spares++);
    fleet.start(fresh);
    return fresh;
  }
  bool pushes() {
    const std::size_t before = ledger.configAcked.size();
    for (int i = 0; i < 80 && ledger.configAcked.size() == before; ++i) {
      if (operators->idle()) operators->pushRoutes(false);
      run(50 * kMilliUs);
    }
    return ledger.configAcked.size() > before;
  }
  template <class Result>
  Result ask(Job<Result> job) {
    std::optional<Result> result;
    rooms.start(keep(std::move(job), result));
    while (!result) run(20 * kMilliUs);
    return *result;
  }
  RetireService& anyService() {
    std::vector<Part*> cores = fleet.standing(PartKind::kCore);
    return cores[chance.below(cores.size())]->core->retireService();
  }
  void conclude() {
    const Us backUs = fleet.world().nowUs();
    judge.backSince(backUs);
    run(16 * kSecondUs);
    judge.restUntil(fleet.world().nowUs());
    expect(pushes(), seed, "a configuration is acknowledged at the end");
    fleet.stopCallers();
    for (int i = 0; i < 400 && !fleet.callersDone(); ++i) run(500 * kMilliUs);
    judge.conclude();
    for (const std::string& fault : judge.faults()) std::printf("seed=%d %s\n", static_cast<int>(seed), fault.c_str());
    expect(judge.faults().empty(), seed, "nothing is lost, twice or mixed");
  }
  std::uint64_t seed;
  Fleet fleet;
  SimHost& host;
  OperatorLedger ledger;
  std::unique_ptr<SimOperator> operators;
  Checker judge;
  Chance chance;
  TaskRoom rooms;
  std::uint32_t spares = 0;
};

}  // namespace stonemount
