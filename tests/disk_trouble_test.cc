// Disks that fail, are full or stall for a while or for good: a replica on such a disk counts as lost, comes back by
// itself once the disk obeys, and another may take its seat (design.md 5.4, 6.10, 6.11; docs/review/3-second-loss.md).
#include "chain_rig.h"
#include "members_stage.h"
#include "membership/failure_detector.h"

using namespace stonemount;

namespace {
constexpr std::uint64_t kChainSeeds = 24;
constexpr std::uint64_t kFleetSeeds = 4;

void writeSome(Rig& rig, int count) {
  for (int i = 0; i < count; ++i) rig.room.start(writeOne(rig, hexText(++rig.next)));
  rig.world.runUntil(rig.world.nowUs() + 500 * kMilliUs);
}

bool takesWithin(Rig& rig, Us lengthUs) {
  const Us untilUs = rig.world.nowUs() + lengthUs;
  const std::uint64_t written = rig.written, reads = rig.reads;
  while (rig.world.nowUs() < untilUs && (rig.written == written || rig.reads == reads)) {
    rig.room.start(writeOne(rig, hexText(++rig.next)));
    rig.room.start(readOne(rig));
    rig.world.runUntil(rig.world.nowUs() + 500 * kMilliUs);
  }
  return rig.written > written && rig.reads > reads;
}

// One member's disk takes no bytes for some seconds; once it does again, another member is lost for good. What is
// left must be a majority: the member came back within the life of its process.
void fullThenAnotherLost(std::uint64_t seed) {
  Rig rig(seed, 3);
  rig.world.runUntil(2 * kSecondUs);
  writeSome(rig, 10);
  const std::size_t full = seed % 3;
  rig.hosts[full]->disk->full = true;
  expect(takesWithin(rig, 6 * kSecondUs), seed, "two of three go on while the third one's disk is full");
  rig.world.runUntil(rig.world.nowUs() + static_cast<Us>(rig.chance.below(4000)) * kMilliUs);
  rig.hosts[full]->disk->full = false;
  rig.world.runUntil(rig.world.nowUs() + kSyncUs);
  expect(rig.wholeAndActive(), seed, "the member is back in the chain once its disk takes bytes");
  rig.kill((full + 1 + seed / 3 % 2) % 3);
  expect(takesWithin(rig, 6 * kSecondUs), seed, "the loss of another member is borne");
}

// The process ends while its disk is full, and starts on the full disk: it waits, and comes back with the disk.
void restartedOnFullDisk(std::uint64_t seed) {
  Rig rig(seed, 3);
  rig.world.runUntil(2 * kSecondUs);
  writeSome(rig, 10);
  const std::size_t full = seed % 3;
  rig.hosts[full]->disk->full = true;
  rig.world.runUntil(rig.world.nowUs() + static_cast<Us>(rig.chance.below(2000)) * kMilliUs);
  rig.kill(full);
  writeSome(rig, 10);
  rig.hosts[full]->disk->failing = seed % 2 == 0;  // and can not even be read
  rig.start(full);
  rig.world.runUntil(rig.world.nowUs() + 2 * kSecondUs);
  rig.hosts[full]->disk->failing = false;
  rig.hosts[full]->disk->full = false;
  rig.world.runUntil(rig.world.nowUs() + kSyncUs);
  expect(rig.wholeAndActive(), seed, "a member restarted on a full disk is back once it takes bytes");
}

// Power goes while syncs fail: nothing that was acknowledged by others is missed, and nothing half written is read.
void powerLostWhileFull(std::uint64_t seed) {
  Rig rig(seed, 3);
  rig.world.runUntil(2 * kSecondUs);
  for (int round = 0; round < 3; ++round) {
    const std::size_t full = rig.chance.below(3);
    rig.hosts[full]->disk->full = true;
    writeSome(rig, 20);
    rig.kill(full);
    rig.hosts[full]->disk->full = false;
    rig.start(full);
    rig.world.runUntil(rig.world.nowUs() + kSyncUs);
  }
  expect(rig.wholeAndActive() && takesWithin(rig, 5 * kSecondUs), seed, "whole again after power losses while full");
}

// A store's disk never takes a byte again, and one to spare takes its seat; then another loss is borne.
void fullForGood(std::uint64_t seed) {
  Stage stage(seed);
  stage.serve();
  Part& broken = stage.seated(PartKind::kStore);
  broken.host->disk->full = true;
  stage.arrive(PartKind::kStore, broken.host->zone());
  const Us sinceUs = stage.fleet.world().nowUs();
  while (findMember(stage.view(PartKind::kStore), broken.host->wire()) != nullptr &&
         stage.fleet.world().nowUs() < sinceUs + 15 * kSecondUs)
    stage.run(50 * kMilliUs);
  expect(findMember(stage.view(PartKind::kStore), broken.host->wire()) == nullptr, seed,
         "another takes the seat of a store whose disk takes no bytes");
  expect(stage.untilWhole(PartKind::kStore, 6 * kSecondUs) < 6 * kSecondUs, seed, "the store chain is whole");
  Part& next = stage.seated(PartKind::kStore);
  stage.fleet.kill(next, true);
  next.host->disk->wipe();
  next.settings.firstStart = false;
  stage.run(kSecondUs);
  stage.fleet.start(next);
  expect(stage.untilWhole(PartKind::kStore, 12 * kSecondUs) <= kSyncUs, seed, "another store's disk may be lost");
  broken.host->disk->full = false;
  stage.conclude();
}

Pong pongOf(const Seat& seat, Revision revision) {
  Pong pong;
  pong.incarnation = seat.incarnation;
  pong.revision = revision;
  pong.state = ReplicaState::kActive;
  pong.zone = seat.zone;
  return pong;
}

struct Trio {
  Trio() {
    for (std::uint16_t i = 1; i <= 3; ++i) view.voters.push_back({{1, i}, i, "zone-" + std::to_string(i)});
    view.chain = view.wide = view.voters;
    view.revision = 7;
    for (const Seat& seat : view.voters) members.push_back({seat, pongOf(seat, view.revision)});
  }
  LossMargin margin() const { return lossMarginOf(view, members); }
  View view;
  std::vector<MemberSight> members;
};

void marginCounts() {
  expect(Trio().margin().bears(1, true), 0, "three sound members in three zones bear one loss or one zone");
  Trio stalled;
  stalled.members[1].pong->stalledUs = kDiskLostUs;
  expect(stalled.margin().machines == 0, 0, "a member that answers while its disk does not is lost already");
  Trio silent;
  silent.members[2].pong.reset();
  expect(silent.margin().machines == 0, 0, "a silent member is lost already");
  Trio behind;
  behind.members[0].pong->revision = 6;
  expect(behind.margin().machines == 0, 0, "one that has not synced the current view is lost already");
  Trio wiped;
  wiped.members[0].pong->incarnation = 99;
  expect(wiped.margin().machines == 0, 0, "a wiped disk holds no seat");
  Trio joining;
  joining.members[2].pong->state = ReplicaState::kSealed;
  expect(joining.margin().machines == 0, 0, "a copy that does not serve is none");
  Trio narrow;
  for (MemberSight& member : narrow.members) member.seat.zone = "zone-1";
  for (Seat& seat : narrow.view.voters) seat.zone = "zone-1";
  narrow.view.chain = narrow.view.voters;
  expect(!narrow.margin().anyZone && narrow.margin().machines == 0, 0, "a chain in one zone bears nothing");
}

void detectorCounts() {
  Trio trio;
  FailureDetector detector((FailureDetectorPlan()));
  const Us nowUs = 10 * kSecondUs;
  detector.look(trio.view, nowUs);
  const Address stalled = trio.view.voters[0].address;
  Pong pong = *trio.members[0].pong;
  detector.heard(stalled, pong, nowUs);
  expect(!detector.doubted(stalled, nowUs) && !detector.dead(trio.view, stalled, nowUs), 0, "a sound member is kept");
  pong.stalledUs = FailureDetectorPlan().doubtUs;
  detector.heard(stalled, pong, nowUs);
  expect(detector.doubted(stalled, nowUs) && !detector.dead(trio.view, stalled, nowUs), 0, "a stalled disk is doubted");
  pong.stalledUs = FailureDetectorPlan().deadUs;
  detector.heard(stalled, pong, nowUs);
  expect(detector.dead(trio.view, stalled, nowUs), 0, "a disk that stalls for long is as good as gone");
}
}  // namespace

// One course of one seed alone, told in full: disk_trouble_test full|restart|power|good SEED
int main(int argc, char** argv) {
  loud = argc > 2;
  const std::string only = argc > 1 ? argv[1] : "";
  const std::uint64_t from = argc > 2 ? std::stoull(argv[2]) : 1;
  const std::uint64_t chainUntil = argc > 2 ? from + 1 : from + kChainSeeds;
  for (std::uint64_t seed = from; seed < chainUntil; ++seed) {
    if (only.empty() || only == "full") fullThenAnotherLost(seed);
    if (only.empty() || only == "restart") restartedOnFullDisk(seed);
    if (only.empty() || only == "power") powerLostWhileFull(seed);
    if (only == "good" || (only.empty() && seed < from + kFleetSeeds)) fullForGood(seed);
  }
  if (only.empty()) marginCounts();
  if (only.empty()) detectorCounts();
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
