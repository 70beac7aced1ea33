// Standing lots in the store's machine alone: whatever order grants, failures, seals, sweeps, doubts and ends
// come in, results keep their positions and content, bodies stay until they are listed, and nothing is given up
// but for a worker's no, too many failures, or a retention that the cut has passed (design.md 7.4).
#include <rapidcheck.h>

#include "lot_store_rig.h"

using namespace stonemount;

namespace {
constexpr Address kNode{1, 2};

StoreVerdict apply(StoreMachine& machine, const StoreCommand& command) {
  auto read = unpack<StoreVerdict>(machine.apply(pack(StoreEntry{0, command})));
  RC_ASSERT(std::holds_alternative<StoreVerdict>(read));
  return std::get<StoreVerdict>(read);
}

LotVerdict ask(StoreMachine& machine, LotAsk wish) {
  const QueryVerdict answer = machine.answer(pack(StoreQuery(std::move(wish))), true);
  auto read = unpack<LotVerdict>(std::get<Bytes>(answer));
  RC_ASSERT(std::holds_alternative<LotVerdict>(read));
  return std::get<LotVerdict>(read);
}

struct Seen {  // of one lot, by whoever reads it
  std::vector<ItemSight> results;
  std::map<std::uint32_t, std::uint32_t> failures, declined;
  bool ended = false;
  Us createdUs = 0;
};

struct Play {
  explicit Play(std::uint64_t seed) : chance(seed), machine(chance, StorePlan()) {
    apply(machine, LockWish{{1, 1}, 7});
    apply(machine, CutProposal{1, 7, ++round, 0, 0, 0, 0, {10 * kSecondUs, 10 * kSecondUs}, 2});
  }
  void tick(Us elapsedUs) {
    apply(machine,
          CutProposal{
              machine.state().cut.epoch, 7, ++round, elapsedUs, 0, elapsedUs, 0, {10 * kSecondUs, 10 * kSecondUs}, 2});
  }
  void submit(const std::string& name) {
    SubmitLot lot = lotNamed(name);
    lot.node = kNode;
    lot.licenceUs = 3 * kSecondUs;
    lot.atOnce = static_cast<std::uint32_t>(chance.below(4));
    lot.slotCap = 8;
    lot.certainHere = chance.oneIn(2);
    const bool certain = lot.certainHere && machine.state().cut.certain;
    const bool known = !handedIn.insert(name).second;
    const StoreVerdict verdict = apply(machine, lot);
    if (verdict.outcome == StoreOutcome::kConflict) RC_FAIL("the same lot is no conflict");
    RC_ASSERT((verdict.outcome == StoreOutcome::kAgain) == known);
    RC_ASSERT(verdict.granted.empty() || (certain && !known));
    if (!known) lots[name].createdUs = machine.state().cut.cutUs;
    SubmitLot other = lot;
    other.digest ^= 1;
    RC_ASSERT(apply(machine, other).outcome == StoreOutcome::kConflict);
  }
  void step() {
    const std::string name = chance.oneIn(2) ? "x" : "y";
    const std::uint32_t item = static_cast<std::uint32_t>(chance.below(kItems));
    const std::uint32_t run = 1 + static_cast<std::uint32_t>(chance.below(5));
    const bool certain = chance.oneIn(2);
    auto kept = machine.state().lots.find(name);
    const KeptItem* at = kept == machine.state().lots.end() ? nullptr : &kept->second.items[item];
    const bool counts = at != nullptr && at->state == ItemState::kRunning && at->run == run;
    const std::uint32_t runBefore = at == nullptr ? 0 : at->run;
    switch (chance.below(9)) {
      case 0:
        submit(name);
        break;
      case 1: {
        const StoreVerdict verdict = apply(machine, GrantRuns{kNode, 3 * kSecondUs, {{name, item, kNode, 8}}, certain});
        RC_ASSERT(verdict.granted.empty() || (certain && machine.state().cut.certain && !lots[name].ended));
        for (const GrantedRun& one : verdict.granted) RC_ASSERT(one.item.body == lotNamed(name).items[item].body);
        break;
      }
      case 2: {
        const bool failed = chance.oneIn(2);
        lots[name].failures[item] += counts && failed ? 1 : 0;
        apply(machine, DropRuns{{{{name, item, run}, true, failed}}, certain});
        break;
      }
      case 3: {
        const bool refused = chance.oneIn(4);
        lots[name].declined[item] += refused && at != nullptr && run <= runBefore ? 1 : 0;
        apply(machine,
              SealRuns{{{{name, item, run}, refused, refused ? "" : "text of " + std::to_string(run)}}, certain});
        break;
      }
      case 4: {
        const StoreVerdict verdict = apply(machine, RenewRuns{kNode, 3 * kSecondUs, {{name, item, run}}});
        RC_ASSERT(verdict.over.empty() == (at != nullptr && !at->final() && at->run == run && !lots[name].ended));
        break;
      }
      case 5:
        apply(machine, Sweep{certain, 0});
        break;
      case 6:
        if (!chance.oneIn(20)) break;
        lots[name].ended |= apply(machine, EndLot{name}).outcome != StoreOutcome::kUnknownLot;
        break;
      default:
        tick(chance.oneIn(12) ? 5 * kSecondUs : 500 * kMilliUs);
    }
  }
  void look(const std::string& name) {
    Seen& seen = lots[name];
    LotAsk wish;
    wish.lot = name;
    wish.listed = true;
    wish.count = 100;
    const LotVerdict verdict = ask(machine, wish);
    if (verdict.outcome == StoreOutcome::kUnknownLot) {  // only its own time may end it
      RC_ASSERT(machine.state().cut.cutUs >= seen.createdUs + 30 * kSecondUs);
      return;
    }
    RC_ASSERT(verdict.items == kItems);
    RC_ASSERT(verdict.sights.size() >= seen.results.size());
    std::set<std::uint32_t> places;
    for (std::size_t i = 0; i < verdict.sights.size(); ++i) {
      const ItemSight& sight = verdict.sights[i];
      RC_ASSERT(places.insert(sight.item).second);
      if (i < seen.results.size()) {
        RC_ASSERT(sight.id == seen.results[i].id && sight.state == seen.results[i].state &&
                  sight.answer == seen.results[i].answer);
        continue;
      }
      if (sight.state != ItemState::kRefused) continue;
      const bool late = machine.state().cut.certain && machine.state().cut.cutUs >= seen.createdUs + kRetentionUs;
      RC_ASSERT(late || seen.declined[sight.item] > 0 || seen.failures[sight.item] >= kAttempts);
    }
    seen.results = verdict.sights;
    // From any position on, as many as the bytes allow, and one at least.
    wish.from = static_cast<std::uint32_t>(chance.below(kItems + 2));
    wish.mostBytes = static_cast<std::uint32_t>(1 + chance.below(40));
    const LotVerdict part = ask(machine, wish);
    RC_ASSERT(part.next == wish.from + part.sights.size());
    RC_ASSERT(part.sights.empty() == (wish.from >= seen.results.size()));
    for (std::size_t i = 0; i < part.sights.size(); ++i) RC_ASSERT(part.sights[i].id == seen.results[wish.from + i].id);
    for (std::uint32_t i = 0; i < kItems; ++i) {
      if (places.contains(i) || seen.ended) continue;
      LotAsk body;
      body.lot = name;
      body.bodies = true;
      body.count = 1;
      body.item = name + std::to_string(i);
      const LotVerdict told = ask(machine, body);
      RC_ASSERT(told.sights.size() == 1 && told.sights[0].body == lotNamed(name).items[i].body);
    }
  }
  // What follows from the state is the same after it was saved and loaded, and nothing runs that no slot is kept for.
  void weigh() {
    StoreMachine other(chance, StorePlan());
    RC_ASSERT(other.load(machine.save()));
    RC_ASSERT(other.save() == machine.save() && other.owedBytes() == machine.owedBytes());
    const Sweep sweep{true, 0};
    StoreMachine third(chance, StorePlan());
    RC_ASSERT(third.load(machine.save()));
    apply(other, sweep);
    apply(third, sweep);
    RC_ASSERT(other.save() == third.save());
    std::uint32_t charged = 0;
    for (const auto& [address, count] : machine.state().charged) charged += count;
    RC_ASSERT(charged == machine.state().runningItems.size() + machine.state().pendingSlots.size());
  }
  Chance chance;
  StoreMachine machine;
  std::uint64_t round = 0;
  std::map<std::string, Seen> lots;
  std::set<std::string> handedIn;
};

void resultsStay(std::uint64_t seed) {
  Play play(seed);
  play.submit("x");
  play.submit("y");
  for (int i = 0; i < 250; ++i) {
    play.step();
    play.look("x");
    play.look("y");
    if (i % 10 == 0) play.weigh();
  }
}

// A copy that was never saved sweeps as one that was: its index was kept up, the other's made anew.
void indexIsKeptUp(std::uint64_t seed) {
  Play play(seed), again(seed);
  for (int i = 0; i < 150; ++i) {
    play.step();
    again.step();
    if (i % 7 == 0) RC_ASSERT(again.machine.load(again.machine.save()));
    RC_ASSERT(play.machine.save() == again.machine.save());
  }
}

// Nothing is given up while the cut is uncertain, however long that is; nor before it has passed.
void retentionByTheCut() {
  Play play(1);
  play.submit("x");
  for (int i = 0; i < 30; ++i) play.tick(kSecondUs);  // certain after some of them, the cut moves on
  RC_ASSERT(play.machine.state().cut.certain);
  apply(play.machine, Sweep{false, 0});
  LotAsk wish;
  wish.lot = "x";
  wish.listed = true;
  wish.count = 100;
  RC_ASSERT(ask(play.machine, wish).sights.empty());
  apply(play.machine, Sweep{true, 0});
  const LotVerdict after = ask(play.machine, wish);
  RC_ASSERT(after.sights.size() == kItems && after.refused == kItems);
  for (int i = 0; i < 4; ++i) {
    play.tick(kSecondUs);
    apply(play.machine, Sweep{true, 0});
  }
  LotAsk body{"x", true, false, 0, 1};
  body.item = "x0";
  RC_ASSERT(ask(play.machine, body).sights.at(0).body.empty());  // owed only until it is listed
}
}  // namespace

int main() {
  bool well = rc::check("results stay", resultsStay);
  well &= rc::check("the index is kept up", indexIsKeptUp);
  well &= rc::check("retention by the cut", retentionByTheCut);
  return well ? 0 : 1;
}
