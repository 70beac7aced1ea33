// One node asks the platform for many: while control is silent, calls to the platform do not grow with the nodes, and
// every node still hears of marks in time (docs/design-notes/platform-calls.md). Simulated time.
#include "node/platform_relay.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "expect.h"
#include "simulator/world.h"

using namespace stonemount;

namespace {
constexpr Us kMetUs = 8 * kSecondUs;  // all have met by then
constexpr Us kStepUs = 50 * kMilliUs;
constexpr Us kSilentForUs = 10 * kSecondUs;
// What one node alone asks in that time, and as many more as lose or do not know the first one.
constexpr std::uint64_t kMostFetches = 90;
constexpr Us kHeardWithinUs = 1200 * kMilliUs;  // of wanting to know
// Of what is held, as long as it is wanted: a mark must be heard of within DrainMs (4 s), less what is under way then.
constexpr Us kMostAgeUs = 3500 * kMilliUs;
const Address kLeaving{9, 9};

// The platform as one node reaches it.
class CountedList : public WorkerListSource {
 public:
  explicit CountedList(SimHost& host) : host_(host) {}
  Job<WorkerListVerdict> fetch() override {
    ++calls;
    Pause pause(host_, 20 * kMilliUs);
    co_await pause;
    if (lost) co_return ListTrouble::kUnreachable;
    WorkerList list;
    list.workers.resize(2);
    list.workers[0].address = kLeaving;
    list.workers[0].leaving = true;
    co_return list;
  }
  std::uint64_t calls = 0;
  bool lost = false;

 private:
  SimHost& host_;
};

struct Member {
  explicit Member(SimHost& given, const GossipPlan& plan)
      : host(given),
        ports(given.ports()),
        rpc(given, given, given.chance),
        gossip(ports, rpc, room, plan),
        list(given),
        relay(ports, rpc, gossip, list, sigc::mem_fun(*this, &Member::wanted)) {
    PeerRecord record;
    record.role = Role::kNode;
    record.zone = given.zone();
    record.http = given.http();
    gossip.begin(record);
    relay.heard.connect(sigc::mem_fun(*this, &Member::hear));
    relay.begin(room);
  }
  ~Member() { room.clear(); }
  bool wanted() const { return wants; }
  void hear(const std::vector<ListedWorker>& marked, Us askedUs) {
    knowsLeaving = marked.size() == 1 && marked[0].address == kLeaving && marked[0].leaving;
    asOfUs = std::max(asOfUs, host.worldUs(askedUs));
  }
  SimHost& host;
  Ports ports;
  TaskRoom room;
  RpcEndpoint rpc;
  Gossip gossip;
  CountedList list;
  PlatformRelay relay;
  bool wants = false;
  bool knowsLeaving = false;
  Us asOfUs = -1;
  Us wantsSinceUs = -1;
};

class Fleet {
 public:
  Fleet(std::uint64_t seed, std::size_t nodes) : world(seed) {
    GossipPlan plan;
    plan.seeds = {{1, 1}, {1, 2}, {1, 3}};
    for (std::size_t i = 0; i < nodes; ++i) {
      const auto port = static_cast<std::uint16_t>(1 + i);
      world.addHost(absl::StrCat("n", i), absl::StrCat("z", i % 5), {1, port}, {2, port}).rise();
    }
    for (auto& host : world.hosts()) members.push_back(std::make_unique<Member>(*host, plan));
    world.runUntil(kMetUs);
  }
  // Wants come within half a second of each other, as control falls silent for each.
  void silence() {
    for (auto& member : members) member->wantsSinceUs = world.nowUs() + static_cast<Us>(world.chance().below(500'000));
  }
  void hush() {
    for (auto& member : members) member->wantsSinceUs = -1, member->wants = false;
  }
  void run(Us lengthUs) {
    for (const Us untilUs = world.nowUs() + lengthUs; world.nowUs() < untilUs;) {
      world.runUntil(world.nowUs() + kStepUs);
      for (auto& member : members) note(*member);
    }
  }
  std::uint64_t fetches() const {
    std::uint64_t sum = 0;
    for (const auto& member : members) sum += member->list.calls;
    return sum;
  }
  std::uint64_t questions() const {
    std::uint64_t sum = 0;
    for (const auto& member : members) sum += member->relay.questions;
    return sum;
  }
  void kill(std::size_t place) {
    members[place]->host.frozenUntilUs = world.nowUs() + 3600 * kSecondUs;
    members[place]->wantsSinceUs = -1;
  }
  World world;
  std::vector<std::unique_ptr<Member>> members;
  Us worstHeardUs = 0;  // from wanting to know until it does
  Us worstAgeUs = 0;

 private:
  void note(Member& member) {
    const Us nowUs = world.nowUs();
    if (member.wantsSinceUs < 0 || nowUs < member.wantsSinceUs) return;
    member.wants = true;
    if (!member.knowsLeaving) worstHeardUs = std::max(worstHeardUs, nowUs - member.wantsSinceUs);
    if (member.knowsLeaving) worstAgeUs = std::max(worstAgeUs, nowUs - member.asOfUs);
  }
};

void show(const std::string& name, const Fleet& fleet) {
  std::printf("%s: %lu lists fetched, %lu questions to peers, heard after %.2f s at the latest, age up to %.2f s\n",
              name.c_str(), fleet.fetches(), fleet.questions(), static_cast<double>(fleet.worstHeardUs) / kSecondUs,
              static_cast<double>(fleet.worstAgeUs) / kSecondUs);
}

void judge(const std::string& name, const Fleet& fleet, std::uint64_t mostFetches) {
  show(name, fleet);
  expect(fleet.fetches() <= mostFetches, absl::StrCat(name, ": calls do not grow with the nodes"));
  expect(fleet.worstHeardUs <= kHeardWithinUs, absl::StrCat(name, ": marks are heard in time"));
  expect(fleet.worstAgeUs <= kMostAgeUs, absl::StrCat(name, ": what is held is new"));
}

void controlSilent(std::uint64_t seed, std::size_t nodes) {
  Fleet fleet(seed, nodes);
  expect(fleet.fetches() == 0, "nobody wants to know: nobody asks");
  fleet.silence();
  fleet.run(kSilentForUs);
  judge(absl::StrCat("silent, ", nodes, " nodes, seed ", seed), fleet, kMostFetches);
  fleet.hush();
  fleet.run(3 * kSecondUs);
  const std::uint64_t fetches = fleet.fetches(), questions = fleet.questions();
  fleet.run(5 * kSecondUs);
  expect(fleet.fetches() == fetches && fleet.questions() == questions, "nobody wants to know any more: nobody asks");
}

// A tenth of the nodes is lost all of a sudden, those among them that ask for the others.
void askersLost(std::uint64_t seed, std::size_t nodes) {
  Fleet fleet(seed, nodes);
  fleet.silence();
  fleet.run(3 * kSecondUs);
  std::vector<std::pair<std::uint64_t, std::size_t>> byCalls;
  for (std::size_t i = 0; i < nodes; ++i) byCalls.emplace_back(fleet.members[i]->list.calls, i);
  std::sort(byCalls.rbegin(), byCalls.rend());
  for (std::size_t i = 0; i < std::max<std::size_t>(1, nodes / 10); ++i) fleet.kill(byCalls[i].second);
  fleet.run(kSilentForUs - 3 * kSecondUs);
  judge(absl::StrCat("askers lost, ", nodes, " nodes, seed ", seed), fleet, kMostFetches + nodes / 2);
}

// One node that hears nobody asks for itself, from the moment on at which it is cut off.
void cutOff(std::uint64_t seed, std::size_t nodes) {
  Fleet fleet(seed, nodes);
  Member& alone = *fleet.members[nodes / 2];
  for (auto& other : fleet.members) {
    if (other.get() == &alone) continue;
    fleet.world.setCut(alone.host, other->host, true);
    fleet.world.setCut(other->host, alone.host, true);
  }
  alone.wantsSinceUs = fleet.world.nowUs();
  fleet.run(kSilentForUs);
  judge(absl::StrCat("cut off, ", nodes, " nodes, seed ", seed), fleet, kMostFetches);
  expect(alone.list.calls > 0, "who is cut off asks the platform");
}

// The platform is out of reach for those that would ask for the others.
void platformLost(std::uint64_t seed, std::size_t nodes) {
  Fleet fleet(seed, nodes);
  for (std::size_t i = 0; i < nodes; i += 3) fleet.members[i]->list.lost = true;
  fleet.silence();
  fleet.run(kSilentForUs);
  show(absl::StrCat("platform lost to a third, ", nodes, " nodes, seed ", seed), fleet);
  for (auto& member : fleet.members) expect(member->knowsLeaving, "marks come by others");
}
}  // namespace

int main() {
  for (const std::size_t nodes : {12, 75, 300})
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      controlSilent(seed, nodes);
      askersLost(seed, nodes);
      cutOff(seed, nodes);
      platformLost(seed, nodes);
    }
  return expectationsVerdict();
}
