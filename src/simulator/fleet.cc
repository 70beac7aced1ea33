#include "simulator/fleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

namespace {
constexpr std::uint32_t kNet = (127u << 24) | (1u << 16);
constexpr std::size_t kRingFiles = 8;
constexpr std::size_t kRingFileBytes = 1 << 20;

struct GoneFor {
  bool operator()(const Part* part) const { return part->gone; }
};

Address wireOf(std::uint32_t number) { return {kNet + number, 7000}; }
Address httpOf(std::uint32_t number) { return {kNet + number, 8000}; }
}  // namespace

Fleet::Fleet(std::uint64_t seed, FleetShape shape) : world_(seed), shape_(std::move(shape)) {
  std::vector<Address> cores, stores, nodes;
  for (std::uint32_t i = 0; i < shape_.cores; ++i) cores.push_back(wireOf(1 + i));
  for (std::uint32_t i = 0; i < shape_.stores; ++i) stores.push_back(wireOf(21 + i));
  for (std::uint32_t i = 0; i < shape_.nodes; ++i) nodes.push_back(httpOf(41 + i));
  const std::size_t zones = shape_.zones.size();
  platform_ = &add(PartKind::kPlatform, "platform", shape_.zones[0], 200);
  for (std::uint32_t i = 0; i < shape_.cores; ++i) {
    Part& part = add(PartKind::kCore, absl::StrCat("core-", i + 1), shape_.zones[i % zones], 1 + i);
    part.settings.founders = cores;
    if (!shape_.told && cores.size() > 3) part.settings.founders.resize(3);
    if (shape_.coresWithoutDisk.contains(i)) part.host->disk.reset();
  }
  for (std::uint32_t i = 0; i < shape_.stores; ++i) {
    Part& part = add(PartKind::kStore, absl::StrCat("store-", i + 1), shape_.zones[i % zones], 21 + i);
    if (shape_.told) part.settings.founders = stores;
  }
  for (std::uint32_t i = 0; i < shape_.nodes; ++i)
    add(PartKind::kNode, absl::StrCat("node-", i + 1), shape_.zones[i % zones], 41 + i);
  for (std::uint32_t i = 0; i < shape_.models + shape_.apps; ++i) {
    Part& part = add(PartKind::kWorker, absl::StrCat("worker-", i + 1), shape_.zones[i % zones], 100 + i);
    part.workerPlan.zone = part.host->zone();
    part.workerPlan.slots = shape_.slots;
    part.workerPlan.coldBear = shape_.coldBear;
    part.workerPlan.oddsTruncate = shape_.oddsTruncate;
    part.workerPlan.oddsSwap = shape_.oddsSwap;
    part.workerPlan.oddsSilent = shape_.oddsSilent;
    part.workerPlan.padBytes = shape_.padBytes;
    if (i < shape_.models) continue;
    part.workerPlan.pool = "apps";
    part.workerPlan.slots = 16;
    part.workerPlan.coldBear = 4;
  }
  for (std::uint32_t i = 0; i < zones; ++i) {
    Part& part = add(PartKind::kCaller, absl::StrCat("caller-", i + 1), shape_.zones[i], 220 + i);
    part.callerPlan.name = part.host->name();
    part.callerPlan.nodes = nodes;
    part.callerPlan.event = "night";
    part.callerPlan.lookupEveryUs = shape_.lookupEveryUs;
    part.callerPlan.streamEveryUs = shape_.streamEveryUs;
    part.callerPlan.wholeEveryUs = shape_.wholeEveryUs;
    part.callerPlan.lotEveryUs = shape_.lotEveryUs;
    part.callerPlan.lots = shape_.lots;
    part.callerPlan.lotItems = shape_.lotItems;
    part.callerPlan.lotPatienceUs = 300 * kSecondUs;
  }
  for (Part& part : parts_) {
    part.settings.seeds = {cores[0], cores[1], shape_.told ? stores[0] : cores[2]};
    part.settings.platform = platform_->host->http();
  }
}

Fleet::~Fleet() {
  for (Part& part : parts_) kill(part, false);
}

Part& Fleet::add(PartKind kind, const std::string& name, const std::string& zone, std::uint32_t number) {
  Part& part = parts_.emplace_back();
  part.kind = kind;
  part.host = &world_.addHost(name, zone, wireOf(number), httpOf(number));
  part.settings.wire = part.host->wire();
  part.settings.http = part.host->http();
  part.settings.zone = zone;
  part.settings.name = name;
  if (kind == PartKind::kCore || kind == PartKind::kStore)
    part.host->disk = std::make_unique<SimDisk>(*part.host, kRingFiles, kRingFileBytes);
  return part;
}

Part& Fleet::addSpare(PartKind kind, const std::string& zone, std::uint32_t number) {
  Part& part = add(kind, absl::StrCat("spare-", number), zone, number);
  part.settings.firstStart = false;
  part.settings.seeds = {wireOf(1), wireOf(2), shape_.told ? wireOf(21) : wireOf(3)};
  part.settings.platform = platform_->host->http();
  return part;
}

std::vector<Part*> Fleet::of(PartKind kind) {
  std::vector<Part*> found;
  for (Part& part : parts_)
    if (part.kind == kind) found.push_back(&part);
  return found;
}

std::vector<Part*> Fleet::standing(PartKind kind) {
  std::vector<Part*> found = of(kind);
  std::erase_if(found, GoneFor{});
  return found;
}

ListedWorker Fleet::listing(const Part& worker) const {
  ListedWorker listed;
  listed.address = worker.host->http();
  listed.pool = worker.workerPlan.pool;
  listed.zone = worker.workerPlan.zone;
  listed.slots = worker.workerPlan.slots;
  listed.leaving = worker.leaving(world_.nowUs());
  return listed;
}

void Fleet::start(Part& part) {
  if (part.host->up() || part.gone) return;
  part.host->rise();
  part.ports = std::make_unique<Ports>(part.host->ports());
  GossipPlan gossip;
  gossip.seeds = part.settings.seeds;
  for (const Address& founder : part.settings.founders)
    if (founder != part.settings.wire) gossip.seeds.push_back(founder);
  switch (part.kind) {
    case PartKind::kCore: {
      if (part.host->disk == nullptr) {
        part.standby = std::make_unique<StandbyCore>(*part.ports, part.settings, gossip);
        part.standby->begin();
        break;
      }
      CorePlan plan;
      plan.gossip = gossip;
      part.core = std::make_unique<Core>(*part.ports, part.settings, plan);
      watch(part);
      part.core->begin();
      break;
    }
    case PartKind::kStore:
      part.store = std::make_unique<Store>(*part.ports, part.settings, gossip, shape_.store);
      watch(part);
      part.store->begin();
      break;
    case PartKind::kNode: {
      NodePlan plan;
      plan.gossip = gossip;
      part.node = std::make_unique<Node>(*part.ports, part.settings, plan);
      part.node->begin();
      break;
    }
    case PartKind::kWorker:
      part.worker =
          std::make_unique<RehearseWorker>(*part.ports, part.host->http(), part.workerPlan, part.workerLedger);
      part.worker->begin();
      break;
    case PartKind::kPlatform:
      part.platform = std::make_unique<RehearsePlatform>(*part.ports);
      part.platform->begin();
      for (Part* worker : of(PartKind::kWorker)) part.platform->put(listing(*worker));
      break;
    case PartKind::kCaller:
      part.caller = std::make_unique<RehearseCaller>(*part.ports, part.callerPlan, part.callerLedger);
      break;
  }
}

const Replica* Fleet::memberOf(const Part& part) const {
  return part.core ? &part.core->replica() : part.store ? &part.store->replica() : nullptr;
}

// The judge hears of what each member takes and applies, and of each time that ends by it.
void Part::noteTerm(const TermNote& note) { terms.push_back(note); }
void Part::noteTaken(const Entry& entry) { fleet->taken.emit(*this, entry); }
void Part::noteApplied(const Entry& entry, bool acknowledged) {
  fleet->applied.emit(*this, entry, acknowledged);
  terms.clear();
}

void Fleet::watch(Part& part) {
  part.fleet = this;
  part.terms.clear();
  Replica& member = part.core ? part.core->replica() : part.store->replica();
  member.taken.connect(sigc::mem_fun(part, &Part::noteTaken));
  member.applied.connect(sigc::mem_fun(part, &Part::noteApplied));
  if (part.store) part.store->machine().termNoted.connect(sigc::mem_fun(part, &Part::noteTerm));
}

void Fleet::kill(Part& part, bool power) {
  if (!part.host->up()) return;
  part.core.reset();
  part.standby.reset();
  part.store.reset();
  part.node.reset();
  part.worker.reset();
  part.platform.reset();
  part.caller.reset();
  part.ports.reset();
  part.seenControl = 0;
  part.host->fall();
  if (part.host->disk != nullptr) part.host->disk->losePower(power ? world_.chance() : part.host->chance);
}

bool Fleet::ready() {
  for (Part* part : standing(PartKind::kNode))
    if (part->host->up() && (part->node->configCache().state().revision() == 0 || part->node->board().sights().empty()))
      return false;
  bool certain = false;
  std::size_t cores = 0, stores = 0;
  for (Part* part : standing(PartKind::kCore)) cores += part->core && part->core->replica().active() ? 1 : 0;
  for (Part* part : standing(PartKind::kStore)) stores += part->store && part->store->replica().active() ? 1 : 0;
  // Where nobody is told who founds, three take the seats, and others stay to spare (design.md 6.10).
  const std::size_t most = shape_.told ? parts_.size() : 3;
  if (cores < std::min(most, standing(PartKind::kCore).size())) return false;
  if (stores < std::min(most, standing(PartKind::kStore).size())) return false;
  for (Part* part : standing(PartKind::kStore)) {
    if (!part->store) continue;
    certain |= part->store->replica().tail() && part->store->machine().state().cut.certain;
  }
  return certain;
}

bool Fleet::runUntilReady(Us limitUs) {
  const Us untilUs = world_.nowUs() + limitUs;
  while (world_.nowUs() < untilUs && !ready()) run(50 * kMilliUs);
  return ready();
}

void Fleet::startCallers() {
  for (Part* part : of(PartKind::kCaller)) part->caller->begin();
}

void Fleet::stopCallers() {
  for (Part* part : of(PartKind::kCaller)) part->caller->stop();
}

bool Fleet::callersDone() {
  for (Part* part : of(PartKind::kCaller))
    if (part->caller->open() > 0) return false;
  return true;
}

}  // namespace stonemount
