// Items of standing lots whose route has ended, in the store's machine alone: given up by the cut, when their location
// was reported to have no route without a break for the whole time, and only then (design.md 7.5; incident 33).
#include <rapidcheck.h>

#include "lot_store_rig.h"

using namespace stonemount;

namespace {
constexpr Address kNode{1, 2};
constexpr const char* kFolders[] = {"/a/", "/a/b/", "/c/"};

class UnroutedPlay {
 public:
  explicit UnroutedPlay(std::uint64_t seed)
      : chance_(seed), machine_(std::make_unique<StoreMachine>(chance_, StorePlan())) {
    apply(LockWish{{1, 1}, 7});
    tick(0);
  }
  StoreVerdict apply(const StoreCommand& command) {
    auto read = unpack<StoreVerdict>(machine_->apply(pack(StoreEntry{0, command})));
    RC_ASSERT(std::holds_alternative<StoreVerdict>(read));
    return std::get<StoreVerdict>(read);
  }
  void tick(Us elapsedUs) {
    apply(CutProposal{
        machine_->state().cut.epoch, 7, ++round_, elapsedUs, 0, elapsedUs, 0, {10 * kSecondUs, 10 * kSecondUs}, 2});
  }
  // The lot lies at one location, each of its items at any.
  void submit() {
    SubmitLot lot = lotNamed("lot-" + std::to_string(++lots_));
    lot.retentionUs = 0;
    lot.route = locationOf(lot.host, anyFolder() + "lot");
    for (LotItem& item : lot.items) item.target = anyFolder() + item.id + "?q=/x/";
    apply(lot);
  }
  // Routes stand at some of the folders; what the store is asked and told is what a core would.
  void changeRoutes() {
    lotScopes_.clear();
    nestedOthers_.clear();
    for (const char* folder : kFolders) {
      const std::uint64_t kind = chance_.below(4);
      if (kind < 2) lotScopes_.push_back(std::string("example") + folder);
      if (kind == 2) nestedOthers_.push_back(std::string("example") + folder);
    }
  }
  // Longest prefix first, as the pages say.
  bool routed(const std::string& location) const {
    std::size_t longest = 0;
    bool takesLots = false;
    for (const auto* scopes : {&nestedOthers_, &lotScopes_})
      for (const std::string& scope : *scopes)
        if (location.compare(0, scope.size(), scope) == 0 && scope.size() > longest) {
          longest = scope.size();
          takesLots = scopes == &lotScopes_;
        }
    return takesLots;
  }
  std::set<std::string> waitingLocations() const {
    std::set<std::string> locations;
    for (const auto& [name, lot] : machine_->state().lots)
      for (const std::uint32_t place : lot.waiting) {
        if (lot.ended) continue;
        locations.insert(lot.route);
        locations.insert(itemLocation(lot, place));
      }
    return locations;
  }
  LotRoutesAsk askOfRoutes() const {
    LotRoutesAsk ask{{}, nestedOthers_};
    for (const std::string& scope : lotScopes_) ask.routes.push_back({scope, 0, 0});
    return ask;
  }
  void report() {
    auto read = unpack<LotRoutesVerdict>(std::get<Bytes>(machine_->answer(pack(StoreQuery(askOfRoutes())), true)));
    const LotRoutesVerdict verdict = std::get<LotRoutesVerdict>(read);
    std::vector<std::string> plain;
    for (const std::string& location : waitingLocations())
      if (!routed(location)) plain.push_back(location);
    RC_ASSERT(verdict.unrouted == plain);
    RC_ASSERT(verdict.reportedBefore == !since_.empty());
    const Us cutUs = machine_->state().cut.cutUs;
    std::map<std::string, Us> since;
    for (const std::string& location : plain) since[location] = since_.contains(location) ? since_.at(location) : cutUs;
    since_ = since;
    const bool certainHere = !chance_.oneIn(4);
    const bool certain = certainHere && machine_->state().cut.certain;
    const auto due = [this, cutUs](const std::string& location) {
      return since_.contains(location) && since_.at(location) + StorePlan().routeEndUs <= cutUs;
    };
    const std::map<std::string, KeptLot> before = machine_->state().lots;
    apply(ReportUnrouted{verdict.unrouted, certainHere});
    for (const auto& [name, lot] : before)
      for (std::uint32_t place = 0; place < lot.items.size(); ++place) {
        const bool waits = lot.waiting.contains(place) && !lot.ended;
        const bool ends = certain && waits && (due(lot.route) || due(itemLocation(lot, place)));
        const ItemState now = machine_->state().lots.at(name).items[place].state;
        RC_ASSERT(now == (ends ? ItemState::kRefused : lot.items[place].state));
        givenUp += ends ? 1 : 0;
      }
  }
  void runOne() {
    const std::string name = "lot-" + std::to_string(1 + chance_.below(lots_ + 1));
    auto kept = machine_->state().lots.find(name);
    if (kept == machine_->state().lots.end()) return;
    const auto item = static_cast<std::uint32_t>(chance_.below(kItems));
    apply(GrantRuns{kNode, 3 * kSecondUs, {{name, item, kNode, 64}}, true});
    if (chance_.oneIn(2)) apply(DropRuns{{{{name, item, kept->second.items[item].run}, false, false}}, true});
  }
  void step() {
    const std::uint64_t deed = chance_.below(30);
    if (deed < 5)
      submit();
    else if (deed < 10)
      runOne();
    else if (deed == 10)
      apply(EndLot{"lot-" + std::to_string(1 + chance_.below(lots_ + 1))});
    else if (deed < 13)
      changeRoutes();
    else if (deed < 15)
      moveHead();
    else if (deed < 22)
      tick(static_cast<Us>(chance_.below(3000)) * kMilliUs);
    else
      report();
  }
  static inline std::uint64_t givenUp = 0;

 private:
  std::string anyFolder() { return kFolders[chance_.below(std::size(kFolders))]; }
  static std::string itemLocation(const KeptLot& lot, std::uint32_t place) {
    const std::string& target = lot.items[place].given.target;
    const std::string path = target.substr(0, target.find('?'));
    return lot.host + path.substr(0, path.rfind('/') + 1);
  }
  // Another member takes over: what it holds is the state and no more.
  void moveHead() {
    auto next = std::make_unique<StoreMachine>(chance_, StorePlan());
    RC_ASSERT(next->load(machine_->save()));
    machine_ = std::move(next);
  }
  Chance chance_;
  std::unique_ptr<StoreMachine> machine_;
  std::vector<std::string> lotScopes_, nestedOthers_;
  std::map<std::string, Us> since_;
  std::uint64_t round_ = 0;
  std::uint64_t lots_ = 0;
};

void anyOrder(std::uint64_t seed) {
  UnroutedPlay play(seed);
  for (int i = 0; i < 300; ++i) play.step();
}
}  // namespace

int main() {
  const bool well = rc::check("any order", anyOrder);
  return well && UnroutedPlay::givenUp > 0 ? 0 : 1;
}
