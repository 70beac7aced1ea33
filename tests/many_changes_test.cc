// After hundreds of changes: members that start again, lose their disk or come new while an operator changes a
// configuration of 10,000 routes without a pause are back within a stated time, from a snapshot and the log after it,
// and until then serve nobody; and what happens where state and log meet the size of the disk (docs/review).
#include "many_changes_rig.h"

using namespace stonemount;

namespace {
// Of simulated time, from the start of the process until it serves in the newest view. A start waits for the next view
// (0.7 s blind, a ballot); a state of 10,000 routes takes the link some 0.1 s, the storm's log less.
constexpr Us kRestartBoundUs = 1500 * kMilliUs;
constexpr Us kWipeBoundUs = 2 * kSecondUs;
constexpr Us kNewcomerBoundUs = 2 * kSecondUs;

struct ServesAgain {
  Cores& cores;
  std::size_t member;
  bool operator()() const { return cores.serves(member) && cores.serving() == 3; }
};
struct Changed {
  Cores& cores;
  std::uint64_t goal;
  bool operator()() const { return cores.changes >= goal; }
};
struct AllServe {
  Cores& cores;
  bool operator()() const { return cores.serving() == 3; }
};
struct IsTrue {
  const bool& value;
  bool operator()() const { return value; }
};
struct IsDone {
  const Order& order;
  bool operator()() const { return order.done; }
};

void comesBack(Cores& cores, std::size_t member, Us boundUs, const std::string& what) {
  const Us fromUs = cores.world.nowUs();
  const std::uint64_t changesBefore = cores.changes;
  const bool well = cores.runUntil(ServesAgain{cores, member}, boundUs);
  const auto tookMs = static_cast<long long>((cores.world.nowUs() - fromUs) / kMilliUs);
  std::printf("after %llu changes, %s: serves after %lld ms, %llu changes meanwhile\n",
              static_cast<unsigned long long>(changesBefore), what.c_str(), tookMs,
              static_cast<unsigned long long>(cores.changes - changesBefore));
  expect(well, absl::StrCat("after ", changesBefore, " changes, ", what, " is back within its bound"));
  cores.run(500 * kMilliUs);
}

Task changeVoters(Cores& cores, ChangeVoters change, bool& done) {
  Job<std::variant<ChangeReply, PeerSilent>> job = cores.client->changeVoters(change, 8 * kSecondUs);
  const std::variant<ChangeReply, PeerSilent> answer = co_await job;
  auto* reply = std::get_if<ChangeReply>(&answer);
  done = reply != nullptr && reply->outcome == ChangeOutcome::kDone;
}

// Head, middle and tail in turn.
std::size_t memberAt(const Cores& cores, std::size_t place) {
  for (std::size_t i = 0; i < cores.processes.size(); ++i) {
    if (!cores.serves(i)) continue;
    const std::vector<Seat>& chain = cores.processes[i]->member.view().chain;
    for (std::size_t j = 0; j < cores.addresses.size(); ++j)
      if (cores.addresses[j] == chain[place % chain.size()].address) return j;
  }
  return 0;
}

// A machine is lost for good; an empty one at another address takes its seat.
void newcomer(Cores& cores, std::size_t gone) {
  const std::string zone = cores.hosts[gone]->zone();
  cores.wipe(gone);
  cores.run(1500 * kMilliUs);
  const std::size_t fresh = cores.addMachine(zone);
  cores.start(fresh);
  bool done = false;
  cores.room.start(changeVoters(cores, ChangeVoters{cores.addresses[fresh], cores.addresses[gone]}, done));
  comesBack(cores, fresh, kNewcomerBoundUs, "a newcomer");
  expect(cores.runUntil(IsTrue{done}, 3 * kSecondUs), "the order for it is answered");
}

void troubles(Cores& cores) {
  for (std::size_t place = 0; place < 3; ++place) {
    const std::size_t member = memberAt(cores, place);
    cores.kill(member);
    cores.run(static_cast<Us>(200 + cores.chance.below(1500)) * kMilliUs);
    cores.start(member);
    comesBack(cores, member, kRestartBoundUs, absl::StrCat("a restart at place ", place));
  }
  for (std::size_t place = 0; place < 3; place += 2) {
    const std::size_t member = memberAt(cores, place);
    cores.wipe(member);
    cores.run(static_cast<Us>(200 + cores.chance.below(1500)) * kMilliUs);
    cores.start(member);
    comesBack(cores, member, kWipeBoundUs, absl::StrCat("a wiped disk at place ", place));
  }
  newcomer(cores, memberAt(cores, 1));
}

void allAtOnce(Cores& cores) {
  std::vector<std::size_t> members;
  for (std::size_t i = 0; i < cores.processes.size(); ++i)
    if (cores.processes[i]) members.push_back(i);
  for (const std::size_t i : members) cores.kill(i);
  for (const std::size_t i : members) cores.start(i);
  comesBack(cores, members[0], kRestartBoundUs, "a loss of power of all");
}

void underTheStorm() {
  Cores cores(64);
  expect(cores.runUntil(AllServe{cores}, 5 * kSecondUs), "the chain is founded");
  Order first;
  cores.room.start(send(cores, PutConfig{wholeConfig(kRoutes, 0, 0)}, first));
  expect(cores.runUntil(IsDone{first}, 20 * kSecondUs) && first.verdict.outcome == ControlOutcome::kDone,
         "10,000 routes are taken");
  cores.room.start(storm(cores));
  cores.room.start(reader(cores));
  cores.storming = true;
  for (const std::uint64_t goal : {1u, 300u, 3000u}) {
    expect(cores.runUntil(Changed{cores, goal}, 600 * kSecondUs), absl::StrCat(goal, " changes are taken"));
    troubles(cores);
  }
  allAtOnce(cores);
  // What an older state of the system is offered for afterwards is not taken.
  ControlNews old;
  old.whole = true;
  old.to = cores.processes[memberAt(cores, 0)]->machine.state().revision() + 1000;
  Order rebuild;
  cores.room.start(send(cores, Rebuild{old}, rebuild));
  cores.runUntil(IsDone{rebuild}, 20 * kSecondUs);
  expect(rebuild.done && rebuild.verdict.outcome == ControlOutcome::kUnchanged, "nodes restore nothing onto a state");
  cores.storming = false;
  cores.run(2 * kSecondUs);
  expect(cores.stale == 0, "nobody serves from old state");
  expect(cores.reads > 100 && cores.oldReads == 0, absl::StrCat("no read is old, of ", cores.reads));
  expect(cores.refusals == 0, absl::StrCat("no change is refused or left unanswered: ", cores.refusals));
  std::set<Bytes> states;
  std::size_t stateBytes = 0;
  for (std::size_t i = 0; i < cores.processes.size(); ++i)
    if (cores.serves(i)) states.insert(cores.processes[i]->machine.save());
  if (!states.empty()) stateBytes = states.begin()->size();
  expect(states.size() == 1, "all hold the same state, to the byte");
  std::printf("%llu changes, %llu reads, state %zu bytes, %.0f s simulated\n",
              static_cast<unsigned long long>(cores.changes), static_cast<unsigned long long>(cores.reads), stateBytes,
              static_cast<double>(cores.world.nowUs()) / kSecondUs);
}
}  // namespace

int main() {
  underTheStorm();
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
