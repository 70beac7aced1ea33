// Model test of the election of duties: one and two faults at every frame that three electors exchange, each run from
// the start (docs/design-notes/model-checking.md). Rules: (1) no term has two holders, as long as no elector forgot its
// votes by a restart; (2) whoever no majority nods to lets go, so two hold a duty no longer than that takes; (3) once
// faults have ended, one holds it, and all know who, within a bound.
// ELECTION_PAIRS=N two faults at every Nth frame (0: none).
#include <absl/strings/str_cat.h>

#include <cstdio>
#include <cstdlib>

#include "election/election.h"
#include "simulator/exploration.h"

using namespace stonemount;

namespace {
constexpr std::size_t kElectors = 3;
constexpr Us kWindowUs = 1800 * kMilliUs;
constexpr Us kSettledUs = 6 * kSecondUs;
// From its last nod on, a holder goes on for at most 800 ms, a pause and a poll of 250 ms each; another cannot have won
// before 900 ms without heartbeats: 400 ms, or 500 ms after a freeze; of two faults, one after the other, twice that.
constexpr Us kTwoHoldersUs = 1000 * kMilliUs;
constexpr Us kSliceUs = 5 * kMilliUs;
const std::string kDuty = "sampler";

struct Elector {
  Elector(SimHost& host, ExplorationWire& wire)
      : ports{host, host, wire, host, host, nullptr, host.chance},
        rpc(host, wire, host.chance),
        election(ports, rpc, room, ElectionPlan{}) {}
  ~Elector() { room.clear(); }
  Ports ports;
  TaskRoom room;
  RpcEndpoint rpc;
  Election election;
};

class ElectionRig : public ProcessOwner, public FrameObserver {
 public:
  ElectionRig(bool early, Choices choices)
      : early_(early), world_(20261202), exploration_(world_, *this, *this, std::move(choices)) {
    setLogSink(nullptr);
    for (std::size_t i = 0; i < kElectors; ++i) {
      const std::uint16_t port = static_cast<std::uint16_t>(1 + i);
      hosts_.push_back(&world_.addHost(absl::StrCat("c", i), absl::StrCat("zone-", i), {1, port}, {2, port}));
      wires_.push_back(std::make_unique<ExplorationWire>(exploration_, *hosts_.back(), true));
      seats_.push_back({hosts_.back()->wire(), i + 1, hosts_.back()->zone()});
      electors_.emplace_back();
      startAtUs_.push_back(0);
    }
  }
  ~ElectionRig() override { electors_.clear(); }
  void play() {
    const Us foundByUs = world_.nowUs() + kSettledUs;
    while (!early_ && !settled() && world_.nowUs() < foundByUs) advance(kSliceUs);
    exploration_.open();
    advance(kWindowUs);
    exploration_.close();
    const Us untilUs = world_.nowUs() + kSettledUs;
    while (!settled() && world_.nowUs() < untilUs && broken.empty()) advance(kSliceUs);
    if (!settled()) require(false, "nobody holds the duty, or not all know who, 6 s after the last fault");
  }
  void stopProcess(std::size_t place, DiskLoss, Us downUs) override {
    if (!electors_[place]) return;
    electors_[place].reset();
    hosts_[place]->fall();
    startAtUs_[place] = world_.nowUs() + downUs;
    forgot_ = true;
  }
  bool mayWipe(std::size_t) const override { return true; }  // they keep nothing on a disk
  void received(std::size_t, const Address&, const Envelope&) override {}
  // Rule 1: whoever sends heartbeats holds the duty in the term that they name.
  void sent(std::size_t, const Address&, const Envelope& frame) override {
    if (frame.verdict || frame.kind != DutyHeartbeat::kKind) return;
    auto read = unpack<DutyHeartbeat>(frame.body);
    auto* heartbeat = std::get_if<DutyHeartbeat>(&read);
    if (heartbeat == nullptr || forgot_) return;
    const Address& holder = holders_.emplace(heartbeat->term, heartbeat->holder).first->second;
    require(holder == heartbeat->holder, absl::StrCat("two holders in term ", heartbeat->term));
  }
  const std::vector<Step>& steps() const { return exploration_.steps(); }
  std::string broken;

 private:
  void require(bool holds, const std::string& rule) {
    if (!holds && broken.empty()) broken = rule;
  }
  void start(std::size_t place) {
    startAtUs_[place] = -1;
    hosts_[place]->rise();
    electors_[place] = std::make_unique<Elector>(*hosts_[place], *wires_[place]);
    electors_[place]->election.setElectors(seats_, seats_[place].incarnation);
    electors_[place]->election.begin({kDuty});
  }
  std::size_t holding() const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < kElectors; ++i)
      count += electors_[i] && !hosts_[i]->frozen() && electors_[i]->election.holds(kDuty) ? 1 : 0;
    return count;
  }
  bool settled() const {
    if (holding() != 1) return false;
    for (const auto& elector : electors_)
      if (!elector || electors_[0] == nullptr ||
          elector->election.holder(kDuty) != electors_[0]->election.holder(kDuty) ||
          !elector->election.holder(kDuty).set())
        return false;
    return true;
  }
  void advance(Us lengthUs) {
    const Us untilUs = world_.nowUs() + lengthUs;
    while (world_.nowUs() < untilUs) {
      for (std::size_t i = 0; i < kElectors; ++i)
        if (startAtUs_[i] >= 0 && startAtUs_[i] <= world_.nowUs()) start(i);
      world_.runUntil(std::min(untilUs, world_.nowUs() + kSliceUs));
      if (holding() < 2) twoSinceUs_ = world_.nowUs();  // rule 2
      require(world_.nowUs() - twoSinceUs_ <= kTwoHoldersUs, "two hold the duty for too long");
    }
  }
  bool early_;  // faults from the first ballot on; else once one holds the duty
  World world_;
  Exploration exploration_;
  std::vector<SimHost*> hosts_;
  std::vector<std::unique_ptr<ExplorationWire>> wires_;
  std::vector<Seat> seats_;
  std::vector<std::unique_ptr<Elector>> electors_;
  std::vector<Us> startAtUs_;
  std::map<std::uint64_t, Address> holders_;
  bool forgot_ = false;
  Us twoSinceUs_ = 0;
};

std::uint64_t runs = 0;
bool well = true;

std::vector<Step> run(bool early, const Choices& choices) {
  ElectionRig rig(early, choices);
  rig.play();
  ++runs;
  if (!rig.broken.empty()) {
    std::printf("FAILED %s \"%s\": %s\n", early ? "early" : "held", choicesText(choices).c_str(), rig.broken.c_str());
    well = false;
  }
  return rig.steps();
}

void explore(bool early, const Choices& before, std::size_t deeper, std::size_t stride) {
  const std::vector<Step> steps = run(early, before);
  const std::size_t from = before.empty() ? 0 : before.back().step + 1;
  for (std::size_t i = from; i < steps.size() && well; ++i) {
    if (i % stride != 0) continue;
    for (const StepFault fault : steps[i].faults) {
      Choices choices = before;
      choices.push_back({i, fault});
      if (well && deeper > 1) explore(early, choices, deeper - 1, stride);
      if (well && deeper == 1) run(early, choices);
    }
  }
}
}  // namespace

int main() {
  const char* setting = std::getenv("ELECTION_PAIRS");
  const std::size_t stride = setting != nullptr ? std::stoul(setting) : 1;
  for (const bool early : {true, false}) explore(early, {}, 1, 1);
  const std::uint64_t singles = runs;
  for (const bool early : {true, false})
    if (well && stride > 0) explore(early, {}, 2, stride);
  std::printf("%llu runs of one fault, %llu of two, %s\n", static_cast<unsigned long long>(singles),
              static_cast<unsigned long long>(runs - singles), well ? "well" : "FAILED");
  return well ? 0 : 1;
}
