// Membership without an operator: nobody tells a process where store machines are, nor how many. They are
// found, added, replaced, retired, and every loss that the deployment bears may come right after.
#include "members_stage.h"

using namespace stonemount;

namespace {
constexpr std::uint64_t kSeeds = 10;

void founding(std::uint64_t seed) {
  Stage stage(seed);
  const Us wholeUs = stage.untilWhole(PartKind::kStore, 6 * kSecondUs);
  expect(stage.fleet.runUntilReady(8 * kSecondUs), seed, "ready");
  const Us readyUs = stage.fleet.world().nowUs();
  std::printf("founding seed=%d store_us=%lld ready_us=%lld\n", static_cast<int>(seed), static_cast<long long>(wholeUs),
              static_cast<long long>(readyUs));
  expect(wholeUs <= 2500 * kMilliUs, seed, "the store chain stands 2.5 s after the start");
  expect(readyUs <= 6 * kSecondUs, seed, "the cut is certain 6 s after the start");
  expect(stage.view(PartKind::kCore).voters.size() == 3, seed, "three cores vote");
  expect(stage.view(PartKind::kStore).voters.size() == 3, seed, "three stores vote");
}

// One is gone for good, an empty one comes later at another address; then the next is lost.
void replaced(std::uint64_t seed, PartKind kind, bool managerToo) {
  Stage stage(seed);
  stage.serve();
  for (int round = 0; round < 2; ++round) {
    Part* membershipManager = stage.membershipManager();
    Part& old =
        kind == PartKind::kCore && managerToo && membershipManager != nullptr ? *membershipManager : stage.seated(kind);
    const std::string zone = old.host->zone();
    stage.lose(old);
    stage.run(static_cast<Us>(stage.chance.below(4000)) * kMilliUs);
    stage.arrive(kind, zone);
    const Us arrivedUs = stage.fleet.world().nowUs();
    if (kind == PartKind::kStore && managerToo && membershipManager != nullptr) {
      stage.run(static_cast<Us>(stage.chance.below(1500)) * kMilliUs);
      stage.fleet.kill(*membershipManager, false);
      stage.run(static_cast<Us>(stage.chance.below(500)) * kMilliUs);
      stage.fleet.start(*membershipManager);
    }
    const Us tookUs = stage.untilWhole(kind, 12 * kSecondUs) + 0;
    const Us wholeUs = stage.fleet.world().nowUs() - arrivedUs;
    std::printf("replaced seed=%d kind=%d membershipManager=%d whole_us=%lld\n", static_cast<int>(seed),
                static_cast<int>(kind), managerToo ? 1 : 0, static_cast<long long>(wholeUs));
    // A membershipManager that was lost on top is a loss of its own: its time counts from its return.
    expect(stage.whole(kind) && (managerToo ? tookUs : wholeUs) <= kSyncUs, seed, "a newcomer is seated in time");
    if (wholeUs < kSyncUs) stage.run(kSyncUs - wholeUs);
    // The next: its disk, and it comes back; or for good.
    Part& next = stage.seated(kind);
    stage.fleet.kill(next, true);
    next.host->disk->wipe();
    next.settings.firstStart = false;
    stage.run(kSecondUs);
    stage.fleet.start(next);
    expect(stage.pushes(), seed, "a configuration is acknowledged after the next loss");
    expect(stage.untilWhole(kind, 12 * kSecondUs) <= kSyncUs, seed, "a wiped one takes its own seat");
    stage.run(kSecondUs);
  }
  stage.conclude();
}

void retired(std::uint64_t seed) {
  Stage stage(seed);
  stage.serve();
  expect(stage.ask(stage.anyService().retire("nobody")) == RetireOutcome::kUnknown, seed,
         "an unknown machine is unknown");
  expect(stage.ask(stage.anyService().stateOf("nobody")) == RetireState::kUnknown, seed, "and has no state");
  Part& old = stage.seated(PartKind::kStore);
  if (stage.fleet.standing(PartKind::kStore).size() == 3) {
    expect(stage.ask(stage.anyService().retire(old.settings.name)) == RetireOutcome::kTooFew, seed,
           "three are too few");
    stage.arrive(PartKind::kStore, old.host->zone());
    stage.run(2 * kSecondUs);
  }
  expect(stage.ask(stage.anyService().stateOf(old.settings.name)) == RetireState::kServing, seed, "it serves");
  expect(stage.ask(stage.anyService().retire(old.settings.name)) == RetireOutcome::kTaken, seed, "it is retired");
  expect(stage.ask(stage.anyService().retire(old.settings.name)) == RetireOutcome::kUnderWay, seed,
         "it was asked before");
  if (Part* membershipManager = stage.membershipManager(); seed % 3 == 0 && membershipManager != nullptr) {
    stage.fleet.kill(*membershipManager, true);
    stage.run(kSecondUs);
    stage.fleet.start(*membershipManager);
  }
  RetireState state = RetireState::kServing;
  const Us sinceUs = stage.fleet.world().nowUs();
  while (state != RetireState::kComplete && stage.fleet.world().nowUs() < sinceUs + 10 * kSecondUs)
    state = stage.ask(stage.anyService().stateOf(old.settings.name));
  std::printf("retired seed=%d us=%lld\n", static_cast<int>(seed),
              static_cast<long long>(stage.fleet.world().nowUs() - sinceUs));
  expect(state == RetireState::kComplete, seed, "it may be taken away");
  stage.lose(old);
  Part& next = stage.seated(PartKind::kStore);
  stage.fleet.kill(next, true);
  next.host->disk->wipe();
  next.settings.firstStart = false;
  stage.fleet.start(next);
  expect(stage.untilWhole(PartKind::kStore, 12 * kSecondUs) <= kSyncUs, seed, "a wiped one comes back");
  expect(findMember(stage.view(PartKind::kStore), old.host->wire()) == nullptr, seed, "the retired one has no seat");
  stage.conclude();
}

// Machines that nobody needs stay out, and copy nothing, until one of the seated is lost for good.
void added(std::uint64_t seed) {
  Stage stage(seed);
  stage.serve();
  Part& old = stage.seated(PartKind::kStore);
  Part& fresh = stage.arrive(PartKind::kStore, old.host->zone());
  stage.run(4 * kSecondUs);
  expect(fresh.store->replica().state() == ReplicaState::kOutside && fresh.store->replica().end() == 0, seed,
         "it is to spare");
  stage.lose(old);
  expect(stage.untilWhole(PartKind::kStore, 12 * kSecondUs) <= 6 * kSecondUs, seed, "one to spare takes the seat");
  stage.conclude();
}
}  // namespace

// One course of one seed alone, told in full: members_test founding|core|store|manager|retired|added SEED
int main(int argc, char** argv) {
  loud = argc > 2;
  const std::string only = argc > 1 ? argv[1] : "";
  const std::uint64_t from = argc > 2 ? std::stoull(argv[2]) : 1;
  for (std::uint64_t seed = from; seed < from + (argc > 2 ? 1 : kSeeds); ++seed) {
    if (only.empty() || only == "founding") founding(seed);
    if (only.empty() || only == "core") replaced(seed, PartKind::kCore, seed % 3 == 0);
    if (only.empty() || only == "store") replaced(seed, PartKind::kStore, false);
    if (only.empty() || only == "manager") replaced(seed, PartKind::kStore, true);
    if (only.empty() || only == "retired") retired(seed);
    if (only.empty() || only == "added") added(seed);
  }
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
