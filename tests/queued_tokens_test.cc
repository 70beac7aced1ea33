// The tokens that wait on a route stay within what it allows, counted over all lots and nodes; against a plain count,
// in whatever order lots come, come again, are done, fail, are given up, ended, and the state is saved and loaded
// (design.md 7.4).
#include <rapidcheck.h>

#include <algorithm>

#include "lot_store_rig.h"

using namespace stonemount;

namespace {
constexpr Address kNode{1, 2};
// One route lies below the other; lots lie at either and below.
constexpr const char* kScopes[] = {"h/a/", "h/a/b/"};
constexpr const char* kLocations[] = {"h/a/", "h/a/x/y/", "h/a/b/", "h/a/b/c/"};
std::size_t scopeAt(const std::string& location) { return location.compare(0, 6, kScopes[1]) == 0 ? 1 : 0; }

struct PlainLot {
  std::string location;
  std::vector<std::uint64_t> tokens;  // of each item; 0: it waits no more
  bool ended = false;
};

struct Count {
  explicit Count(std::uint64_t seed) : chance(seed), machine(std::make_unique<StoreMachine>(chance, StorePlan())) {
    apply(LockWish{{1, 1}, 7});
    tick(0);
  }
  StoreVerdict apply(const StoreCommand& command) {
    auto read = unpack<StoreVerdict>(machine->apply(pack(StoreEntry{0, command})));
    RC_ASSERT(std::holds_alternative<StoreVerdict>(read));
    return std::get<StoreVerdict>(read);
  }
  void tick(Us elapsedUs) {
    apply(CutProposal{
        machine->state().cut.epoch, 7, ++round, elapsedUs, 0, elapsedUs, 0, {10 * kSecondUs, 10 * kSecondUs}, 2});
    apply(Sweep{true, 0});
  }
  template <class Counts>
  std::uint64_t waiting(const Counts& counts) const {
    std::uint64_t sum = 0;
    for (const auto& [name, lot] : lots)
      for (const std::uint64_t tokens : lot.tokens) sum += counts(lot.location) && !lot.ended ? tokens : 0;
    return sum;
  }
  std::uint64_t waitingWithin(std::size_t scope) const {
    return waiting([scope](const std::string& location) { return scopeAt(location) == scope; });
  }
  std::uint64_t waitingAt(const std::string& location) const {
    return waiting([&location](const std::string& other) { return other == location; });
  }
  // Many nodes hand lots in; their limits may differ for a moment after a change.
  void submit() {
    SubmitLotWithin command;
    command.lot = lotNamed("lot-" + std::to_string(chance.below(30)));
    command.lot.route = kLocations[spread(command.lot.name) % std::size(kLocations)];
    const std::size_t scope = scopeAt(command.lot.route);
    command.scope = kScopes[scope];
    if (scope == 0) command.nested = {kScopes[1]};
    std::uint64_t tokens = 0;
    for (LotItem& item : command.lot.items) {
      item.tokens = 1 + static_cast<std::uint32_t>(spread(item.id) % 50);
      tokens += item.tokens;
    }
    command.mostQueuedTokens = limits[chance.below(2)];
    const StoreState& state = machine->state();
    const bool known = state.lots.contains(command.lot.name) || state.tombstones.contains({"", command.lot.name});
    if (!known) lots.erase(command.lot.name);  // long gone, and its name forgotten
    const std::uint64_t before = waitingWithin(scope);
    const bool fits = command.mostQueuedTokens == 0 || before + tokens <= command.mostQueuedTokens;
    const StoreVerdict verdict = apply(command);
    if (known) return RC_ASSERT(verdict.outcome == StoreOutcome::kAgain);
    RC_ASSERT(verdict.outcome == (fits ? StoreOutcome::kDone : StoreOutcome::kOverQuota));
    RC_ASSERT(state.lots.contains(command.lot.name) == fits);  // never half taken
    if (!fits) return;
    PlainLot& lot = lots[command.lot.name];
    lot.location = command.lot.route;
    for (const LotItem& item : command.lot.items) lot.tokens.push_back(item.tokens);
  }
  void runOne() {
    const std::string name = "lot-" + std::to_string(chance.below(30));
    auto kept = machine->state().lots.find(name);
    if (kept == machine->state().lots.end()) return;
    const auto item = static_cast<std::uint32_t>(chance.below(kItems));
    apply(GrantRuns{kNode, 3 * kSecondUs, {{name, item, kNode, 64}}, true});
    const RunName run{name, item, kept->second.items[item].run};
    switch (chance.below(4)) {
      case 0:
        apply(SealRuns{{{run, false, Bytes("done")}}, true});
        break;
      case 1:
        apply(SealRuns{{{run, true, Bytes("never")}}, true});
        break;
      case 2:
        apply(DropRuns{{{run, true, true}}, true});
        break;
      default:
        break;  // still at it
    }
    note(name);
  }
  // What the machine holds to be final waits no more.
  void note(const std::string& name) {
    auto kept = machine->state().lots.find(name);
    if (kept == machine->state().lots.end()) return;
    for (std::uint32_t i = 0; i < kItems; ++i)
      if (kept->second.items[i].final()) lots[name].tokens[i] = 0;
  }
  void end() {
    const std::string name = "lot-" + std::to_string(chance.below(30));
    if (apply(EndLot{name}).outcome != StoreOutcome::kUnknownLot && lots.contains(name)) lots[name].ended = true;
  }
  // Another member takes over: what it holds is the state and no more.
  void moveHead() {
    auto next = std::make_unique<StoreMachine>(chance, StorePlan());
    RC_ASSERT(next->load(machine->save()));
    machine = std::move(next);
  }
  void step() {
    const std::uint64_t deed = chance.below(40);
    if (deed < 14)
      submit();
    else if (deed < 30)
      runOne();
    else if (deed < 33)
      end();
    else if (deed < 36)
      tick(static_cast<Us>(chance.below(4 * kSecondUs)));
    else if (deed < 38)
      moveHead();
    else if (deed == 38)
      limits[chance.below(2)] = chance.oneIn(6) ? 0 : chance.below(1500);
    for (auto& [name, lot] : lots) note(name);
    for (const char* location : kLocations) RC_ASSERT(machine->queuedTokens(location) == waitingAt(location));
  }
  Chance chance;
  std::unique_ptr<StoreMachine> machine;
  std::map<std::string, PlainLot> lots;
  std::uint64_t limits[2] = {700, 700};
  std::uint64_t round = 0;
};

void anyOrder(std::uint64_t seed) {
  Count count(seed);
  for (int i = 0; i < 400; ++i) count.step();
}

// A crowd of lots from many nodes at the edge: exactly as many are taken as fit, and room is made by what is done.
void crowd() {
  Count count(1);
  SubmitLotWithin command;
  std::uint32_t taken = 0;
  for (int i = 0; i < 20; ++i) {
    command.lot = lotNamed("crowd-" + std::to_string(i));
    for (LotItem& item : command.lot.items) item.tokens = 20;
    command.mostQueuedTokens = 1000;
    taken += count.apply(command).outcome == StoreOutcome::kDone ? 1 : 0;
  }
  RC_ASSERT(taken == 10u);
  RC_ASSERT(count.apply(EndLot{"crowd-3"}).outcome == StoreOutcome::kDone);
  RC_ASSERT(count.apply(command).outcome == StoreOutcome::kDone);
  RC_ASSERT(count.apply(command).outcome == StoreOutcome::kAgain);  // the same again is not counted twice
  RC_ASSERT(count.machine->queuedTokens("bulk") == 1000u);
}
}  // namespace

int main() {
  bool well = rc::check("any order", anyOrder);
  well &= rc::check("a crowd at the edge", crowd);
  return well ? 0 : 1;
}
