// Claims of standing lots' items in the store's machine alone: which items a node gets, and which nodes are called to
// claim (design.md 9.8).
#include <rapidcheck.h>

#include <algorithm>

#include "lot_store_rig.h"

using namespace stonemount;

namespace {
constexpr Us kDueUs[] = {4 * kSecondUs, 9 * kSecondUs};
constexpr std::uint32_t kSlotCap = 6;
constexpr std::uint32_t kNodes = 12;

template <class Verdict = StoreVerdict>
Verdict apply(StoreMachine& machine, const StoreCommand& command) {
  auto read = unpack<Verdict>(machine.apply(pack(StoreEntry{0, command})));
  RC_ASSERT(std::holds_alternative<Verdict>(read));
  return std::get<Verdict>(read);
}
// One route lies below the other; lots lie at either and below.
constexpr const char* kScopes[] = {"h/a/", "h/a/b/"};
constexpr const char* kLocations[] = {"h/a/", "h/a/x/y/", "h/a/b/", "h/a/b/c/"};
std::string scopeOf(std::uint64_t number) { return kScopes[number]; }
// The longest scope that begins it is the one whose demand it is.
bool isFor(const std::vector<RouteDemand>& demands, const RouteDemand& demand, const std::string& location) {
  const RouteDemand* longest = nullptr;
  for (const RouteDemand& one : demands)
    if (location.compare(0, one.route.size(), one.route) == 0 &&
        (longest == nullptr || one.route.size() > longest->route.size()))
      longest = &one;
  return longest != nullptr && longest->route == demand.route;
}

class ClaimPlay {
 public:
  explicit ClaimPlay(std::uint64_t seed) : chance_(seed), machine_(chance_, StorePlan()) {
    apply(machine_, LockWish{{1, 1}, 7});
    for (int i = 0; i < 12; ++i) tick(500 * kMilliUs);
    RC_ASSERT(machine_.state().cut.certain);
  }
  void tick(Us elapsedUs) {
    const std::uint64_t epoch = machine_.state().cut.epoch;
    apply(machine_, CutProposal{epoch, 7, ++round_, elapsedUs, 0, elapsedUs, 0, {10 * kSecondUs, 10 * kSecondUs}, 2});
  }
  void submit() {
    SubmitLot lot = lotNamed("lot-" + std::to_string(++lots_));
    lot.route = kLocations[chance_.below(std::size(kLocations))];
    lot.retentionUs = 0;
    apply(machine_, lot);
  }
  std::uint32_t most(std::uint32_t place, std::uint32_t places) {
    StandingWorkAsk ask{{{scopeOf(0), 0, 1}, {scopeOf(1), 0, 1}}, {place, places}};
    auto read = unpack<StandingWorkVerdict>(std::get<Bytes>(machine_.answer(pack(StoreQuery(ask)), true)));
    return std::get<StandingWorkVerdict>(read).most;
  }
  std::uint64_t waiting() const {
    std::uint64_t waiting = 0;
    for (const auto& [name, lot] : machine_.state().lots) waiting += lot.ended ? 0 : lot.waiting.size();
    return waiting;
  }
  // Late, and when it is due, of any lot that may give an item to that demand.
  using Rank = std::tuple<bool, Us>;
  std::optional<Rank> firstOf(const std::vector<RouteDemand>& demands, const RouteDemand& demand) const {
    std::optional<Rank> first;
    for (const auto& [name, lot] : machine_.state().lots) {
      if (!isFor(demands, demand, lot.route) || lot.ended || lot.waiting.empty()) continue;
      const Us dueUs = lot.createdUs + demand.completionUs;
      const Rank rank{dueUs <= machine_.state().cut.cutUs, dueUs};
      if (!first || rank < *first) first = rank;
    }
    return first;
  }
  // One item at a time must be what claiming many brings: each the first due of those that wait.
  void claim() {
    ClaimRuns command;
    command.node = {1, static_cast<std::uint16_t>(1 + chance_.below(kNodes))};
    command.licenceUs = 3 * kSecondUs;
    command.slotCap = kSlotCap;
    command.certainHere = !chance_.oneIn(8);
    for (std::uint64_t i = 0; i < 2; ++i)
      if (!chance_.oneIn(4))
        command.demands.push_back({scopeOf(i), kDueUs[i], static_cast<std::uint32_t>(chance_.below(5))});
    const std::uint64_t before = waiting();
    std::optional<Rank> first;
    std::uint32_t wanted = 0;
    for (const RouteDemand& demand : command.demands) {
      if (demand.most == 0) continue;
      const std::optional<Rank> rank = firstOf(command.demands, demand);
      if (rank) wanted += demand.most;
      if (rank && (!first || *rank < *first)) first = rank;
    }
    auto charged = machine_.state().charged.find(command.node);
    const std::uint32_t used = charged == machine_.state().charged.end() ? 0 : charged->second;
    const ClaimVerdict verdict = apply<ClaimVerdict>(machine_, command);
    const bool certain = command.certainHere && machine_.state().cut.certain;
    RC_ASSERT(verdict.outcome == (certain ? StoreOutcome::kDone : StoreOutcome::kUncertain));
    RC_ASSERT(certain || verdict.claimed.empty());
    RC_ASSERT(waiting() + verdict.claimed.size() == before);
    RC_ASSERT(used + verdict.claimed.size() <= kSlotCap);
    RC_ASSERT(!certain || !first || used >= kSlotCap || !verdict.claimed.empty());
    judge(command, verdict, first);
    RC_ASSERT(verdict.claimed.size() <= wanted);
  }
  void endSome() {
    const std::string name = "lot-" + std::to_string(1 + chance_.below(lots_ + 1));
    apply(machine_, EndLot{name});
  }
  void dropSome() {
    if (machine_.state().runningItems.empty()) return;
    const auto [name, item] = *machine_.state().runningItems.begin();
    const std::uint32_t run = machine_.state().lots.at(name).items[item].run;
    apply(machine_, DropRuns{{{{name, item, run}, false, false}}, true});
  }
  // A member that loaded the state chooses the same.
  void sameElsewhere() {
    StoreMachine other(chance_, StorePlan());
    RC_ASSERT(other.load(machine_.save()));
    ClaimRuns command{{9, 9}, kSecondUs, 100, {{scopeOf(0), kDueUs[0], 7}, {scopeOf(1), kDueUs[1], 7}}, true};
    StoreMachine same(chance_, StorePlan());
    RC_ASSERT(same.load(other.save()));
    RC_ASSERT(other.apply(pack(StoreEntry{0, command})) == same.apply(pack(StoreEntry{0, command})));
    RC_ASSERT(other.save() == same.save());
  }
  Chance& chance() { return chance_; }

 private:
  void judge(const ClaimRuns& command, const ClaimVerdict& verdict, const std::optional<Rank>& first) {
    std::optional<Rank> previous;
    std::vector<std::uint32_t> taken(command.demands.size(), 0);
    for (const ClaimedRun& one : verdict.claimed) {
      RC_ASSERT(one.demand < command.demands.size());
      const RouteDemand& demand = command.demands[one.demand];
      const KeptLot& lot = machine_.state().lots.at(one.name.lot);
      RC_ASSERT(isFor(command.demands, demand, lot.route) && !lot.ended);
      RC_ASSERT(++taken[one.demand] <= demand.most);
      RC_ASSERT(lot.items[one.name.item].state == ItemState::kRunning);
      RC_ASSERT(lot.items[one.name.item].node == command.node);
      RC_ASSERT(one.item.body == lot.items[one.name.item].given.body);
      const Us dueUs = lot.createdUs + demand.completionUs;
      const Rank rank{dueUs <= machine_.state().cut.cutUs, dueUs};
      RC_ASSERT(!previous || *previous <= rank);
      RC_ASSERT(previous || rank == *first);
      previous = rank;
    }
  }
  Chance chance_;
  StoreMachine machine_;
  std::uint64_t round_ = 0;
  std::uint64_t lots_ = 0;
};

void play(std::uint64_t seed) {
  ClaimPlay play(seed);
  for (int step = 0; step < 150; ++step) {
    const std::uint64_t roll = play.chance().below(10);
    if (roll < 3)
      play.submit();
    else if (roll < 7)
      play.claim();
    else if (roll == 7)
      play.dropSome();
    else if (roll == 8 && play.chance().oneIn(3))
      play.endSome();
    else
      play.tick(static_cast<Us>(play.chance().below(1500)) * kMilliUs);
  }
  play.sameElsewhere();
}

// As many nodes are called as the items need, not the whole fleet; where nobody claims, soon all are.
void calls(std::uint64_t seed, std::uint32_t places) {
  ClaimPlay play(seed);
  for (int lot = 0; lot < 8; ++lot) play.submit();
  const auto called = [&play, places] {
    std::uint32_t called = 0;
    for (std::uint32_t place = 0; place < places; ++place) called += play.most(place, places) > 0 ? 1 : 0;
    return called;
  };
  const std::uint64_t waiting = play.waiting();
  std::uint64_t most = 0;
  for (std::uint32_t place = 0; place < places; ++place) most += play.most(place, places);
  RC_ASSERT(most >= waiting);
  RC_ASSERT(called() <= std::max<std::uint64_t>(8, waiting / 2));
  for (int i = 0; i < 6; ++i) play.tick(250 * kMilliUs);
  RC_ASSERT(called() == places);
}

}  // namespace

int main() {
  const bool well =
      rc::check("claims are the first due of those that wait", [] { play(*rc::gen::arbitrary<std::uint64_t>()); }) &&
      rc::check("as many are called as are needed",
                [] { calls(*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::element(9U, 75U, 255U, 420U)); });
  return well ? 0 : 1;
}
