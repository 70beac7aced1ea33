// What the modelled fleet's nodes are told: by control, by each other, by the platform.
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "cold_workers_rig.h"
#include "node/platform_relay.h"

namespace stonemount {

namespace {
constexpr Us kListEveryUs = 600 * kMilliUs;
constexpr Us kTickUs = 200 * kMilliUs;
constexpr Us kPeerForgottenUs = 30 * kSecondUs;
constexpr Us kPeerMetUs = kSecondUs;
constexpr std::size_t kMostKnown = 63;  // partial views
constexpr char kPool[] = "p";
const char* const kZones[] = {"a", "b", "c"};
}  // namespace

std::vector<ListedWorker> ColdFleet::listAsOf(Us asOfUs) const {
  std::vector<ListedWorker> listed;
  for (const Worker& worker : workers_) {
    const Fact* fact = &worker.facts.front();
    for (const Fact& later : worker.facts)
      if (later.atUs <= asOfUs) fact = &later;
    ListedWorker entry;
    entry.address = worker.address;
    entry.pool = kPool;
    entry.zone = worker.zone;
    entry.slots = plan_.slots;
    entry.life = fact->life;
    entry.coldLeftUs = std::max<Us>(0, fact->coldUntilUs - asOfUs);
    listed.push_back(entry);
  }
  return listed;
}

// As worker discovery does: coldness is told as it begins, a list without news is confirmed.
void ColdFleet::pollList() {
  at(kListEveryUs + some(0, 100 * kMilliUs), [this] { pollList(); });
  if (clock_.nowUs < controlDownUntilUs_) return;
  std::vector<ListedWorker> list = listAsOf(clock_.nowUs - ColdNode::kListLagUs);
  bool news = control_.state().workers().empty();
  for (ListedWorker& worker : list) {
    auto& [life, leftUs] = coldTold_[worker.address];
    const bool begins = worker.coldLeftUs > 0 && (life != worker.life || worker.coldLeftUs > leftUs + 20 * kMilliUs);
    news |= begins || life != worker.life;
    life = worker.life;
    leftUs = worker.coldLeftUs;
    if (!begins) worker.coldLeftUs = 0;
  }
  const std::uint64_t number = control_.platformVersion() + 1;
  if (news)
    control_.apply(pack(ControlCommand(PutWorkers{number, true, list})));
  else
    control_.apply(pack(ControlCommand(ConfirmWorkers{number})));
  if (news) tellAll();
}

std::size_t ColdFleet::followers() const {
  std::size_t count = 0;
  for (const auto& node : nodes_)
    count += node->life != 0 && clock_.nowUs >= std::max(node->cutUntilUs, node->frozenUntilUs) ? 1 : 0;
  return count;
}

// Held questions are answered as there is news; else after their time.
void ColdFleet::follow(std::size_t place, std::uint64_t life) {
  if (nodes_[place]->life != life) return;
  at(some(500, 700) * kMilliUs, [this, place, life] { follow(place, life); });
  tellNode(place);
}

void ColdFleet::tellAll() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) at(some(2, 20) * kMilliUs, [this, i] { tellNode(i); });
}

void ColdFleet::tellNode(std::size_t place) {
  ColdNode& node = *nodes_[place];
  if (node.life == 0 || clock_.nowUs < std::max({node.cutUntilUs, node.frozenUntilUs, controlDownUntilUs_})) return;
  tail_.note(node.address, clock_.nowUs);
  tail_.refresh(clock_.nowUs);
  control_.setFollowers({followers(), tail_.sight(node.address).place});
  const Bytes query = pack(ControlQuery(FollowAsk{node.control.revision()}));
  auto reply = unpack<FollowReply>(std::get<Bytes>(control_.answer(query, true)));
  const FollowReply& told = std::get<FollowReply>(reply);
  auto news = unpack<ControlNews>(told.news);
  if (node.control.absorb(std::get<ControlNews>(news))) node.table.relist();
  node.sharing.onContact(
      {std::max(node.startedUs, clock_.nowUs - 600 * kMilliUs), told.listNumber, told.followers, told.place});
}

std::vector<Address> ColdFleet::knownTo(const ColdNode& node) const {
  std::vector<Address> known;
  for (const auto& other : nodes_) {
    if (other->address == node.address || other->startedUs == 0) continue;
    const bool met = clock_.nowUs - other->startedUs > kPeerMetUs && clock_.nowUs - node.startedUs > kPeerMetUs;
    const bool lost = other->life == 0 && clock_.nowUs - other->startedUs > kPeerForgottenUs;
    if (met && !lost) known.push_back(other->address);
  }
  if (known.size() <= kMostKnown) return known;
  for (std::size_t i = 0; i < kMostKnown; ++i)
    std::swap(known[i], known[i + (node.address.ip * 31 + i * 17) % (known.size() - i)]);
  known.resize(kMostKnown);
  return known;
}

void ColdFleet::tick(std::size_t place, std::uint64_t life) {
  ColdNode& node = *nodes_[place];
  if (node.life != life) return;
  if (clock_.nowUs < node.frozenUntilUs)
    return at(node.frozenUntilUs - clock_.nowUs, [this, place, life] { tick(place, life); });
  node.sharing.shareOut(knownTo(node), clock_.nowUs - node.startedUs > 3 * kSecondUs);
  at(kTickUs, [this, place, life] { tick(place, life); });
}

// What a node does that has not heard of control for a while: a peer tells it what the platform told some time ago
// (PlatformRelay), and no more than what is marked.
void ColdFleet::askPlatform(std::size_t place, std::uint64_t life) {
  ColdNode& node = *nodes_[place];
  if (node.life != life) return;
  at(some(300, 900) * kMilliUs, [this, place, life] { askPlatform(place, life); });
  if (clock_.nowUs < node.frozenUntilUs || !node.sharing.listOld()) return;
  if (chance_.oneIn(3)) return;  // nobody has anything that is fresh
  const Us ageUs = some(0, PlatformRelay::kFreshUs);
  std::vector<ListedWorker> marked = listAsOf(clock_.nowUs - ageUs - ColdNode::kListLagUs);
  for (ListedWorker& worker : marked) worker.coldLeftUs = std::max<Us>(0, worker.coldLeftUs - ageUs);
  std::erase_if(marked, [](const ListedWorker& worker) { return !worker.leaving && worker.coldLeftUs == 0; });
  node.sharing.onPlatformList(marked, clock_.nowUs - ageUs);
}

void ColdFleet::startNode(std::size_t place) {
  ColdNode& old = *nodes_[place];
  const std::string zone = kZones[place % std::size(kZones)];
  const bool half = old.secondHalf;
  nodes_[place] = std::make_unique<ColdNode>(clock_, old.address, zone);
  ColdNode& node = *nodes_[place];
  node.secondHalf = half;
  node.life = ++lives_;
  node.startedUs = clock_.nowUs;
  node.table.probeWanted.connect([this, place](const Address& worker) { probe(place, worker); });
  const std::uint64_t life = node.life;
  at(some(1, 300) * kMilliUs, [this, place, life] { follow(place, life); });
  at(some(700, 1200) * kMilliUs, [this, place, life] { arrive(place, life); });
  at(kSecondUs, [this, place, life] { askPlatform(place, life); });
  tick(place, life);
}

}  // namespace stonemount
