#include "replication_model_rig.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

namespace {
constexpr std::size_t kFiles = 8;
constexpr std::size_t kFileBytes = 16 << 10;
constexpr Address kClientWire{1, 99};
constexpr Us kTryUs = 1500 * kMilliUs;
constexpr Us kProbeUs = 150 * kMilliUs;
constexpr Us kSliceUs = 5 * kMilliUs;
constexpr std::size_t kMachines = 4;
}  // namespace

ModelProcess::ModelProcess(SimHost& host, ExplorationWire& wire, Disk& disk, ReplicaPlan plan)
    : ports{host, host, wire, host, host, &disk, host.chance},
      rpc(host, wire, host.chance),
      replica(ports, rpc, room, machine, std::move(plan)) {}

ModelRig::ModelRig(History history, Choices choices, bool loud)
    : world_(20261202), exploration_(world_, *this, rules, std::move(choices)), history_(history) {
  world_.loud = loud;
  if (!loud) setLogSink(nullptr);
  if (history == History::kRemoved) founders_ = 4;
  if (history == History::kSlowJoiner) kept_ = 2;
  for (std::size_t i = 0; i < kMachines; ++i) {
    const std::uint16_t port = static_cast<std::uint16_t>(1 + i);
    Machine machine;
    machine.host = &world_.addHost(absl::StrCat("m", i), absl::StrCat("zone-", i % kMachines), {1, port}, {2, port});
    machine.wire = std::make_unique<ExplorationWire>(exploration_, *machine.host, true);
    machine.disk = std::make_unique<ExplorationDisk>(*machine.host, exploration_, i, kFiles, kFileBytes);
    machines_.push_back(std::move(machine));
  }
  SimHost& clientHost = world_.addHost("client", "zone-0", kClientWire, {2, 99});
  clientHost.rise();
  clientWire_ = std::make_unique<ExplorationWire>(exploration_, clientHost, false);
  clientPorts_ = std::make_unique<Ports>(clientHost.ports());
  clientRpc_ = std::make_unique<RpcEndpoint>(clientHost, *clientWire_, clientHost.chance);
  std::vector<Address> members;
  for (const Machine& machine : machines_) members.push_back(machine.host->wire());
  client_ = std::make_unique<ChainClient>(*clientPorts_, *clientRpc_, members);
}

ModelRig::~ModelRig() {
  room_.clear();
  for (Machine& machine : machines_) {
    machine.process.reset();
    machine.disk->stop(DiskLoss::kNothing);
  }
}

void ModelRig::start(std::size_t place) {
  Machine& machine = machines_[place];
  if (machine.process) return;
  machine.startAtUs = -1;
  machine.host->rise();
  ReplicaPlan plan;
  plan.zone = machine.host->zone();
  for (std::size_t i = 0; i < founders_; ++i) plan.founders.push_back(machines_[i].host->wire());
  plan.mayFound = place < founders_;
  plan.keptEntries = kept_;
  machine.process = std::make_unique<ModelProcess>(*machine.host, *machine.wire, *machine.disk, plan);
  Replica& replica = machine.process->replica;
  replica.viewMoved.connect([this, place] { onView(place); });
  replica.applied.connect(
      [this, place](const Entry& entry, bool acknowledged) { onApplied(place, entry, acknowledged); });
  replica.begin();
}

void ModelRig::onView(std::size_t place) {
  const ModelProcess& process = *machines_[place].process;
  rules.setIncarnation(place, process.replica.incarnation());
  rules.onView(process.replica, process.machine);
}

void ModelRig::onApplied(std::size_t place, const Entry& entry, bool acknowledged) {
  const ModelProcess& process = *machines_[place].process;
  rules.onApplied(process.replica, process.machine, entry, acknowledged, world_.nowUs());
}

void ModelRig::stopProcess(std::size_t place, DiskLoss loss, Us downUs) {
  Machine& machine = machines_[place];
  if (machine.process) {
    rules.setIncarnation(place, machine.process->replica.incarnation());
    machine.process.reset();
    machine.host->fall();
  }
  machine.disk->stop(loss);
  if (loss == DiskLoss::kAll) rules.wiped(place);
  machine.startAtUs = world_.nowUs() + downUs;
}

// The loss of a disk is one that the chain promises to bear while most voters still have theirs, and someone besides
// who holds all that was acknowledged; and so in every view that may yet be chosen to follow.
bool ModelRig::mayWipe(std::size_t place) const {
  if (rules.views.empty()) return false;
  const View& newest = rules.views.rbegin()->second;
  if (!bearsWipe(newest, place)) return false;
  auto next = rules.proposed.find(newest.revision + 1);
  if (next == rules.proposed.end()) return true;
  for (const View& view : next->second)
    if (!bearsWipe(view, place)) return false;
  return true;
}

bool ModelRig::bearsWipe(const View& view, std::size_t place) const {
  std::size_t voters = 0, holders = 0;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    if (i == place) continue;
    const Address& address = machines_[i].host->wire();
    voters += holdsSeat(view.voters, address, rules.incarnation(i)) ? 1 : 0;
    holders += holdsSeat(spansZones(view.chain) ? view.chain : view.wide, address, rules.incarnation(i)) ? 1 : 0;
  }
  return voters >= view.majority() && holders >= 1;
}

void ModelRig::advance(Us lengthUs) {
  const Us untilUs = world_.nowUs() + lengthUs;
  while (world_.nowUs() < untilUs && rules.broken.empty()) {
    for (std::size_t i = 0; i < machines_.size(); ++i)
      if (machines_[i].startAtUs >= 0 && machines_[i].startAtUs <= world_.nowUs()) start(i);
    if (world_.nowUs() - probedUs_ >= kProbeUs) pokeServers();
    world_.runUntil(std::min(untilUs, world_.nowUs() + kSliceUs));
  }
}

// Clients that know no newer view than the one whose tail, or head, they ask: whoever still thinks that it is one is
// asked again and again.
void ModelRig::pokeServers() {
  probedUs_ = world_.nowUs();
  for (const Machine& machine : machines_) {
    if (!machine.process) continue;
    const Replica& replica = machine.process->replica;
    if (replica.tail()) room_.start(probeTail(machine.host->wire(), replica.view().revision));
    if (replica.head() && lastValue_ > 0)
      room_.start(probeHead(machine.host->wire(), replica.view().revision, absl::StrCat("p", ++lastValue_)));
  }
}

bool ModelRig::waitFor(const bool& done, Us limitUs) {
  const Us untilUs = world_.nowUs() + limitUs;
  while (!done && world_.nowUs() < untilUs && rules.broken.empty()) advance(kSliceUs);
  return done;
}

bool ModelRig::write(Us limitUs) {
  auto& [done, well] = flags_.emplace_back(false, false);
  room_.start(writeTask(absl::StrCat("v", ++lastValue_), done, well));
  return waitFor(done, limitUs) && well;
}

bool ModelRig::read(Us limitUs) {
  auto& [done, well] = flags_.emplace_back(false, false);
  room_.start(readTask(done, well));
  return waitFor(done, limitUs) && well;
}

void ModelRig::writeAndRead() {
  if (write(kTryUs)) read(kTryUs);
}

void ModelRig::change(const Address& add, const Address& remove) {
  bool& done = flags_.emplace_back(false, false).first;
  room_.start(changeTask(ChangeVoters{add, remove}, done));
  waitFor(done, 2 * kTryUs);
}

Task ModelRig::writeTask(Bytes value, bool& done, bool& well) {
  Job<ChainAnswer> job = client_->submit(value, kTryUs);
  const ChainAnswer answer = co_await job;
  well = std::holds_alternative<Bytes>(answer);
  done = true;
}

Task ModelRig::readTask(bool& done, bool& well) {
  const Us begunUs = world_.nowUs();
  Job<ChainAnswer> job = client_->read("all", 0, kTryUs);
  const ChainAnswer answer = co_await job;
  well = std::holds_alternative<Bytes>(answer);
  if (well) {
    auto list = unpack<std::vector<Bytes>>(std::get<Bytes>(answer));
    if (auto* values = std::get_if<std::vector<Bytes>>(&list)) rules.onRead(*values, begunUs, world_.nowUs());
  }
  done = true;
}

Task ModelRig::probeTail(Address tail, Revision revision) {
  const Us begunUs = world_.nowUs();
  Job<std::variant<ChainReply, PeerSilent>> job =
      ask<ChainReply>(*clientRpc_, tail, Read{revision, "all", 0}, 3 * kSecondUs);
  const std::variant<ChainReply, PeerSilent> answer = co_await job;
  auto* reply = std::get_if<ChainReply>(&answer);
  if (reply == nullptr || reply->outcome != ChainOutcome::kDone) co_return;
  auto list = unpack<std::vector<Bytes>>(reply->body);
  if (auto* values = std::get_if<std::vector<Bytes>>(&list)) rules.onRead(*values, begunUs, world_.nowUs());
}

Task ModelRig::probeHead(Address head, Revision revision, Bytes value) {
  Submit submit{revision, {77, lastValue_}, value};
  Job<std::variant<ChainReply, PeerSilent>> job = ask<ChainReply>(*clientRpc_, head, submit, kTryUs);
  co_await job;
}

Task ModelRig::changeTask(ChangeVoters request, bool& done) {
  Job<std::variant<ChangeReply, PeerSilent>> job = client_->changeVoters(request, 2 * kTryUs);
  co_await job;
  done = true;
}

}  // namespace stonemount
