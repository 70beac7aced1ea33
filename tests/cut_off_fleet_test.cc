// What hangs on more than the control chain while a machine is cut off: retire orders right after its return, views
// of processes when every seed is lost, what a node answers, and drawn cuts on both shapes (docs/review/1-cut-off.md).
#include "asking.h"
#include "members_stage.h"
#include "simulator/fault_schedule.h"

using namespace stonemount;

namespace {
void cut(Fleet& fleet, SimHost& alone, bool isCut) {
  for (const auto& other : fleet.world().hosts()) {
    if (other.get() == &alone) continue;
    fleet.world().setCut(alone, *other, isCut);
    fleet.world().setCut(*other, alone, isCut);
  }
}

// A retire order that is proper is not refused by a core that has just come back and has not met the stores again.
void retireOnReturn(std::uint64_t seed, bool restarted) {
  Stage stage(seed);
  stage.serve();
  stage.arrive(PartKind::kStore, stage.fleet.shape().zones[0]);
  stage.run(6 * kSecondUs);
  std::vector<Part*> cores = stage.fleet.standing(PartKind::kCore);
  Part& alone = *cores[seed % cores.size()];
  cut(stage.fleet, *alone.host, true);
  stage.run(10 * kSecondUs);
  if (restarted) {
    stage.fleet.kill(alone, true);
    stage.fleet.start(alone);
  }
  stage.run(10 * kSecondUs);
  const std::string name = stage.seated(PartKind::kStore).settings.name;
  cut(stage.fleet, *alone.host, false);
  RetireOutcome outcome = RetireOutcome::kUnsure;
  const Us backUs = stage.fleet.world().nowUs();
  while (outcome == RetireOutcome::kUnsure && stage.fleet.world().nowUs() < backUs + 8 * kSecondUs) {
    const RetireState state = stage.ask(alone.core->retireService().stateOf(name));
    expect(state != RetireState::kUnknown, seed, "a known machine is not called unknown");
    outcome = stage.ask(alone.core->retireService().retire(name));
  }
  expect(outcome == RetireOutcome::kTaken || outcome == RetireOutcome::kUnderWay, seed,
         "a proper retire order is taken, not refused");
}

void cutPair(Fleet& fleet, Part& one, Part& other, bool isCut) {
  fleet.world().setCut(*one.host, *other.host, isCut);
  fleet.world().setCut(*other.host, *one.host, isCut);
}

// A node that is in touch with one core only, which is cut off from the other cores, says soon that it took nothing
// and shows nothing; the same order is taken elsewhere, and seen there once it is back.
void nodeBesideLoneCore(std::uint64_t seed, const FleetShape& shape) {
  Asking asking(seed, shape);
  Fleet& fleet = asking.fleet;
  Part& node = *fleet.of(PartKind::kNode)[0];
  const std::vector<Part*> cores = fleet.of(PartKind::kCore);
  Part& lone = *cores[seed % cores.size()];
  for (const bool isCut : {true, false}) {
    for (Part* core : cores) {
      if (core == &lone) continue;
      cutPair(fleet, *core, node, isCut);
      cutPair(fleet, *core, lone, isCut);
    }
    const std::string order = absl::StrCat(R"({"base":)", isCut ? 1 : 2, R"(,"routes":[{"name":"kept-)", isCut ? 1 : 2,
                                           R"(","kind":"whole","pool":"models"}]})");
    if (isCut) {
      fleet.run(3 * kSecondUs);
      const Us askedUs = fleet.world().nowUs();
      const Answer answer = asking.ask("PATCH", "/op/config", order);
      expect(answer.status == 503 && answer.has(R"("taken":"no")"), seed, "a node beside a lone core takes nothing");
      expect(fleet.world().nowUs() - askedUs <= 2400 * kMilliUs, seed, "and says so soon");
      expect(asking.ask("GET", "/op/config").status == 503, seed, "and shows nothing");
      expect(asking.ask("POST", "/op/zones/" + shape.zones[0] + "/evacuate").status == 503, seed, "nor evacuates");
      expect(asking.ask("PATCH", "/op/config", order, 1).status == 200, seed, "the order is taken elsewhere");
      fleet.run(15 * kSecondUs);
    } else {
      expect(asking.ask("GET", "/op/config").has(R"("base":2)"), seed, "it is shown on the return");
      expect(asking.ask("PATCH", "/op/config", order).status == 200, seed, "and orders are taken there");
    }
  }
}

// A process of a crowd that knows the others by gossip alone.
struct Peer {
  Peer(SimHost& given, GossipPlan plan)
      : host(given), ports(given.ports()), rpc(given, given, given.chance), gossip(ports, rpc, room, std::move(plan)) {
    PeerRecord record;
    record.role = Role::kNode;
    gossip.begin(record);
  }
  ~Peer() { room.clear(); }
  SimHost& host;
  Ports ports;
  TaskRoom room;
  RpcEndpoint rpc;
  Gossip gossip;
};

constexpr std::uint32_t kPeers = 24;

struct Crowd {
  explicit Crowd(std::uint64_t seed) : world(seed) {
    for (std::uint16_t i = 1; i <= 3; ++i) plan.seeds.push_back({1, i});
    for (std::uint32_t i = 0; i < kPeers; ++i) {
      const auto number = static_cast<std::uint16_t>(1 + i);
      world.addHost(absl::StrCat("p", i), "z", {1, number}, {2, number});
      peers.emplace_back();
      start(i);
    }
    run(8 * kSecondUs);
  }
  ~Crowd() { peers.clear(); }
  void start(std::size_t i) {
    world.hosts()[i]->rise();
    peers[i] = std::make_unique<Peer>(*world.hosts()[i], plan);
  }
  void stop(std::size_t i) {
    peers[i].reset();
    world.hosts()[i]->fall();
  }
  void run(Us lengthUs) { world.runUntil(world.nowUs() + lengthUs); }
  // The last `away` of them from all others, both ways.
  void cut(std::size_t away, bool isCut) {
    for (std::size_t i = 0; i < kPeers; ++i)
      for (std::size_t j = 0; j < kPeers; ++j)
        if ((i < kPeers - away) != (j < kPeers - away)) world.setCut(*world.hosts()[i], *world.hosts()[j], isCut);
  }
  // Until each that runs knows of so many, itself among them.
  bool untilMet(std::size_t wanted, Us limitUs) {
    const Us untilUs = world.nowUs() + limitUs;
    std::size_t fewest = 0;
    while (fewest < wanted && world.nowUs() < untilUs) {
      run(100 * kMilliUs);
      fewest = kPeers;
      for (const auto& peer : peers)
        if (peer) fewest = std::min(fewest, peer->gossip.alive(Role::kNode).size());
    }
    return fewest >= wanted;
  }
  World world;
  GossipPlan plan;
  std::vector<std::unique_ptr<Peer>> peers;
};

// Some are cut off; the seeds, which are among the others, are lost for good meanwhile. After the cut all find each
// other again, by the addresses that they remember.
void seedsLost(std::uint64_t seed, std::size_t away, Us cutUs) {
  Crowd crowd(seed);
  crowd.cut(away, true);
  crowd.run(cutUs / 2);
  for (std::size_t i = 0; i < 3; ++i) crowd.stop(i);
  crowd.run(cutUs / 2);
  crowd.cut(away, false);
  expect(crowd.untilMet(kPeers - 3, 15 * kSecondUs), seed, "all find each other though every seed is lost");
}

// One that starts anew while it is cut off, its wall clock put back, is met again soon after the cut.
void clockPutBack(std::uint64_t seed) {
  Crowd crowd(seed);
  crowd.cut(1, true);
  crowd.run(10 * kSecondUs);
  crowd.stop(kPeers - 1);
  crowd.world.hosts()[kPeers - 1]->wallOffsetUs = -7200 * kSecondUs;
  crowd.start(kPeers - 1);
  crowd.run(10 * kSecondUs);
  crowd.cut(1, false);
  expect(crowd.untilMet(kPeers, 6 * kSecondUs), seed, "one whose clock was put back is met again");
}

// Cuts of this kind alone and all of them together; the checker looks for what must not be.
void drawn(std::uint64_t seed, const FleetShape& shape, std::vector<Fault> faults) {
  FaultSchedulePlan plan;
  plan.faults = std::move(faults);
  plan.lengthUs = 24 * kSecondUs;
  plan.everyUs = 6 * kSecondUs;
  FaultSchedule schedule(seed, shape, plan);
  for (const std::string& fault : schedule.run())
    std::printf("%s seed=%d %s\n", shape.name.c_str(), static_cast<int>(seed), fault.c_str());
  expect(schedule.started() && schedule.judge().faults().empty(), seed, "drawn cuts break nothing");
}
}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) retireOnReturn(seed, seed > 2);
  for (std::uint64_t seed = 1; seed <= 4; ++seed)
    nodeBesideLoneCore(seed, seed % 2 == 0 ? posilkaShape() : portaviaShape());
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    seedsLost(seed, 1, 20 * kSecondUs);
    seedsLost(seed, 1, 40 * kSecondUs);  // longer than a record is kept
    seedsLost(seed, 10, 40 * kSecondUs);
    clockPutBack(seed);
  }
  const std::vector<Fault> cuts = {Fault::kCutLong, Fault::kCutLongOneWay, Fault::kCutFromVoters,
                                   Fault::kCutMet,  Fault::kCutRestarted,  Fault::kSeedTurnover};
  for (const FleetShape& shape : {posilkaShape(), portaviaShape()}) drawn(4100, shape, cuts);
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
