// Runs of lot items, alone: whatever order grants, drops, seals, sweeps and doubts come in, the first
// sealed answer stays, run numbers are never shared, and slots are charged until a certain cut.
#include <rapidcheck.h>

#include "store/store_machine.h"

using namespace stonemount;

namespace {
StoreVerdict apply(StoreMachine& machine, const StoreCommand& command) {
  auto read = unpack<StoreVerdict>(machine.apply(pack(StoreEntry{0, command})));
  RC_ASSERT(std::holds_alternative<StoreVerdict>(read));
  return std::get<StoreVerdict>(read);
}

void firstSealStays(std::uint64_t seed) {
  Chance chance(seed);
  StoreMachine machine(chance, StorePlan());
  apply(machine, LockWish{{1, 1}, 7});
  std::uint64_t round = 0;
  apply(machine, CutProposal{1, 7, ++round, 0, 0, 0, 0, {10 * kSecondUs, 10 * kSecondUs}, 2});  // clocks agree
  apply(machine, CreateEvent{"event", 0, 1000 * kSecondUs, 0, 0, 0});
  const std::uint32_t items = 4;
  SubmitLot submit{"event", "key", "route", 1, {}, 10 * kSecondUs};
  for (std::uint32_t i = 0; i < items; ++i) submit.items.push_back({std::to_string(i), "body"});
  const std::string lot = apply(machine, submit).name;
  RC_ASSERT(!lot.empty());
  std::map<std::uint32_t, Bytes> sealed;
  std::set<std::pair<std::uint32_t, std::uint32_t>> granted;
  const Address worker{9, 9};
  for (int step = 0; step < 300; ++step) {
    const std::uint32_t item = static_cast<std::uint32_t>(chance.below(items));
    const std::uint32_t run = 1 + static_cast<std::uint32_t>(chance.below(6));
    switch (chance.below(6)) {
      case 0: {
        GrantRuns grant{{1, 2}, 3 * kSecondUs, {{lot, item, worker, 2}}, chance.oneIn(2)};
        const StoreVerdict verdict = apply(machine, grant);
        RC_ASSERT(verdict.granted.empty() || (grant.certainHere && machine.state().cut.certain));
        for (const GrantedRun& one : verdict.granted) RC_ASSERT(granted.insert({item, one.run}).second);
        break;
      }
      case 1:
        apply(machine, DropRuns{{{{lot, item, run}, false}}, chance.oneIn(2)});
        break;
      case 2:
        apply(machine, SealRuns{{{{lot, item, run}, false, "answer of run " + std::to_string(run)}}, chance.oneIn(2)});
        break;
      case 3:
        apply(machine, RenewRuns{{1, 2}, 3 * kSecondUs, {{lot, item, run}}});
        break;
      case 4:
        apply(machine, Sweep{chance.oneIn(2), 0});
        break;
      default: {
        const Us elapsedUs = chance.oneIn(12) ? 5 * kSecondUs : 500 * kMilliUs;
        apply(machine, CutProposal{machine.state().cut.epoch,
                                   7,
                                   ++round,
                                   elapsedUs,
                                   0,
                                   elapsedUs,
                                   0,
                                   {10 * kSecondUs, 10 * kSecondUs},
                                   2});
      }
    }
    const KeptLot& kept = machine.state().lots.at(lot);
    std::uint32_t running = 0;
    for (std::uint32_t i = 0; i < items; ++i) {
      const KeptItem& one = kept.items[i];
      running += one.state == ItemState::kRunning ? 1 : 0;
      if (one.state != ItemState::kSealed) {
        RC_ASSERT(!sealed.contains(i));
        continue;
      }
      RC_ASSERT(granted.contains({i, one.run}));  // only a granted run may seal
      RC_ASSERT(sealed.emplace(i, one.answer.get()).first->second == one.answer.get());
    }
    RC_ASSERT(kept.sealed == sealed.size());
    RC_ASSERT(kept.running == running);
    std::uint32_t charged = 0;
    for (const auto& [address, count] : machine.state().charged) charged += count;
    RC_ASSERT(charged == running + machine.state().pendingSlots.size());
    // Its state survives saving and loading.
    StoreMachine other(chance, StorePlan());
    RC_ASSERT(other.load(machine.save()));
    RC_ASSERT(other.save() == machine.save());
  }
}
}  // namespace

int main() { return rc::check("the first seal stays", firstSealStays) ? 0 : 1; }
