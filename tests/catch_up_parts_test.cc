// The parts that catch-up is made of, each alone: whose turn it is to copy, the log behind a copied snapshot, and who
// is a candidate for a seat (design.md 6.7, 6.10, incident 35).
#include <rapidcheck.h>

#include "expect.h"
#include "membership/chain_seats.h"
#include "replication/copy_queue.h"
#include "replication/recent_log.h"

using namespace stonemount;

namespace {
constexpr std::size_t kMostEntries = 50;
constexpr std::size_t kMostBytes = 4000;
constexpr std::size_t kTimes = 4;
constexpr std::uint64_t kSteps = 400;
constexpr std::uint64_t kCopiers = 5;

Address machine(std::uint64_t number) { return {1, static_cast<std::uint16_t>(1 + number)}; }

Entry entryOf(std::uint64_t index, std::size_t bytes) {
  Entry entry;
  entry.index = index;
  entry.command = Bytes(bytes, 'e');
  return entry;
}

// Entries of any length: the log reaches back to the snapshot until it is as long as may be kept for one.
void logReachesBackToTheSnapshot() {
  RecentLog log;
  std::uint64_t snapshotEnd = 0;
  for (std::uint64_t index = 1; index <= kSteps; ++index) {
    const std::size_t bytes = *rc::gen::inRange<std::size_t>(1, *rc::gen::element<std::size_t>(20, 2000));
    log.push(entryOf(index, bytes), 0);
    if (*rc::gen::inRange(0, 60) == 0) snapshotEnd = index;
    const std::size_t behindBytes = log.bytesAfter(snapshotEnd);
    const bool mayGo = index - snapshotEnd > kMostEntries * kTimes || behindBytes > kMostBytes * kTimes;
    const bool reached = log.reachesBackTo(snapshotEnd);
    log.trimBehind(snapshotEnd, kTimes, kMostEntries, kMostBytes, index);
    RC_ASSERT(mayGo || !reached || log.empty() || log.reachesBackTo(snapshotEnd));
    RC_ASSERT(log.size() <= kMostEntries * kTimes && log.bytes() <= kMostBytes * kTimes + bytes);
  }
}

// Whoever asks, in whatever order: who is admitted has the turn alone, and who has a seat is kept waiting only by
// another that has one.
void oneCopiesAtATime() {
  CopyQueue queue;
  Us nowUs = kSecondUs;
  std::map<Address, bool> seated;
  std::map<Address, Us> usedUs;
  for (std::uint64_t i = 0; i < kCopiers; ++i) seated[machine(i)] = *rc::gen::arbitrary<bool>();
  for (std::uint64_t step = 0; step < kSteps; ++step) {
    nowUs += static_cast<Us>(*rc::gen::inRange(1, 50)) * kMilliUs;
    const Address asker = machine(*rc::gen::inRange<std::uint64_t>(0, kCopiers));
    const Address before = queue.copier();
    const bool admitted = queue.admits(asker, seated[asker], nowUs);
    RC_ASSERT(admitted == (queue.copier() == asker));
    if (!admitted && seated[asker]) RC_ASSERT(!queue.copier().set() || seated[queue.copier()]);
    const bool taken = admitted && before.set() && before != asker;
    RC_ASSERT(!taken || (seated[asker] && !seated[before]) || nowUs - usedUs[before] > kSecondUs);
    if (admitted) usedUs[asker] = nowUs;
    if (*rc::gen::inRange(0, 20) == 0) queue.joined(asker);
  }
}

// Who has the turn keeps it while it gets nearer, and loses it once it does not, or asks no more.
void turnsPassOn() {
  CopyQueue queue;
  Us nowUs = kSecondUs;
  expect(queue.admits(machine(0), true, nowUs), "the first has the turn");
  expect(!queue.admits(machine(1), true, nowUs), "the second waits");
  for (std::size_t lacking = 100; lacking > 0; --lacking) {
    nowUs += 100 * kMilliUs;
    queue.follows(machine(0), lacking, nowUs);
    expect(!queue.admits(machine(1), true, nowUs), "the second waits while the first gets nearer");
  }
  bool passed = false;
  for (int i = 0; i < 40 && !passed; ++i) {
    nowUs += 100 * kMilliUs;
    queue.follows(machine(0), 1, nowUs);
    passed = queue.admits(machine(1), true, nowUs);
  }
  expect(passed, "the turn passes on from one that gets no nearer");
  nowUs += 900 * kMilliUs;
  expect(!queue.admits(machine(2), false, nowUs), "a third waits");
  nowUs += 200 * kMilliUs;
  expect(queue.admits(machine(2), false, nowUs), "the turn of one that is silent passes on");
  expect(queue.admits(machine(3), true, nowUs), "who has a seat comes before one that has none");
}

// Gossip names another sample at each look: who has begun to copy is wanted all the while that it answers.
void theSameMachineIsWanted() {
  Chance chance(*rc::gen::inRange<std::uint64_t>(1, 1000000));
  View view;
  view.revision = 1;
  for (std::uint64_t i = 0; i < 5; ++i) view.voters.push_back({machine(i), 1, "zone-" + std::to_string(i % 3)});
  view.chain = view.voters;
  ChainSeats seats(FailureDetectorPlan(), 5);
  const auto retired = [](const Address&, const std::string&) { return false; };
  Us nowUs = 100 * kSecondUs;
  Address wanted;
  for (int look = 0; look < 60; ++look, nowUs += 250 * kMilliUs) {
    for (std::uint64_t i = 0; i < 14; ++i) {
      PeerRecord record;
      record.wire = machine(i);
      record.zone = "zone-" + std::to_string(i % 3);
      if (i != 2 && (look == 0 || chance.below(92) < 64)) seats.name(record, nowUs);
    }
    seats.look(view, nowUs);
    for (std::uint64_t i = 0; i < 14; ++i) {
      Pong pong;
      pong.incarnation = 1;
      pong.revision = 1;
      pong.state = i < 5 ? ReplicaState::kActive : ReplicaState::kOutside;
      pong.zone = "zone-" + std::to_string(i % 3);
      pong.suspects = {machine(2)};
      pong.copying = machine(i) == wanted;
      if (i != 2 && chance.below(20) != 0) seats.heard(machine(i), pong, nowUs);
    }
    const std::vector<Address> now = wantedIn(seats.need(view, Address(), retired, nowUs));
    RC_ASSERT(now.size() <= 1U);
    if (now.empty()) continue;
    const Pong* last = wanted.set() ? seats.pong(wanted, nowUs) : nullptr;
    if (last != nullptr && last->copying) RC_ASSERT(now.front() == wanted);
    wanted = now.front();
  }
  RC_ASSERT(wanted.set());
}
}  // namespace

int main() {
  bool well = rc::check("the log reaches back to the snapshot that is copied", logReachesBackToTheSnapshot);
  well = rc::check("one copies at a time", oneCopiesAtATime) && well;
  well = rc::check("the same machine is wanted at each look", theSameMachineIsWanted) && well;
  turnsPassOn();
  return expectationsVerdict() == 0 && well ? 0 : 1;
}
