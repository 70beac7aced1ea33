#include "gossip/gossip.h"

#include <algorithm>

namespace stonemount {

namespace {
constexpr std::uint64_t kSilentOdds = 8;         // one shuffle in so many also asks a peer that is silent
constexpr std::size_t kMostLastAddresses = 256;  // addresses kept of peers that were dropped
}  // namespace

const char* roleText(Role role) {
  switch (role) {
    case Role::kCore:
      return "core";
    case Role::kStore:
      return "store";
    case Role::kNode:
      return "node";
    case Role::kOther:
      return "other";
    case Role::kStandby:
      return "standby";
  }
  return "unknown";
}

Gossip::Gossip(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, GossipPlan plan)
    : ports_(ports), rpc_(rpc), room_(room), plan_(std::move(plan)) {}

void Gossip::begin(PeerRecord self) {
  self_ = std::move(self);
  self_.wire = rpc_.self();
  // Wall time only orders the lives of one process; nothing expires by it.
  self_.life = static_cast<std::uint64_t>(std::max<Us>(ports_.clock.wallUs(), 1));
  rpc_.serve(Shuffle::kKind, sigc::mem_fun(*this, &Gossip::onShuffle));
  youngUntilUs_ = ports_.clock.monoUs() + plan_.youngForUs;
  apartUs_ = ports_.clock.monoUs();
  room_.start(shuffle());
}

void Gossip::setSeeds(std::vector<Address> seeds) {
  plan_.seeds = std::move(seeds);
  for (const Address& seed : plan_.seeds)
    if (seed != rpc_.self()) room_.start(shuffleWith(seed));
}

bool Gossip::isAlive(const Sight& sight) const { return ports_.clock.monoUs() - sight.heardUs <= plan_.silentUs; }

std::vector<PeerRecord> Gossip::alive(Role role) const {
  std::vector<PeerRecord> records;
  if (self_.role == role) records.push_back(self_);
  for (const auto& [address, sight] : sights_)
    if (sight.record.role == role && isAlive(sight)) records.push_back(sight.record);
  return records;
}

std::vector<PeerRecord> Gossip::hand() {
  std::vector<PeerRecord> records{self_};
  std::vector<const Sight*> known;
  for (const auto& [address, sight] : sights_)
    if (isAlive(sight)) known.push_back(&sight);
  for (std::size_t i = 0; i < known.size() && records.size() < plan_.told; ++i) {
    std::swap(known[i], known[i + ports_.chance.below(known.size() - i)]);
    records.push_back(known[i]->record);
  }
  return records;
}

void Gossip::absorb(const std::vector<PeerRecord>& records) {
  const Us nowUs = ports_.clock.monoUs();
  for (const PeerRecord& record : records) {
    if (record.wire == rpc_.self()) {
      // Our own record from a former life whose clock ran ahead: step past it.
      if (record.life > self_.life) self_.life = record.life + 1;
      continue;
    }
    auto found = sights_.find(record.wire);
    const bool newer = found == sights_.end() || record.life > found->second.record.life ||
                       (record.life == found->second.record.life && record.beat > found->second.record.beat);
    if (!newer) continue;
    sights_[record.wire] = {record, nowUs};
    lastAddresses_.erase(record.wire);
    met.emit(record);
  }
  trim();
}

void Gossip::trim() {
  const Us nowUs = ports_.clock.monoUs();
  for (auto sight = sights_.begin(); sight != sights_.end();) {
    if (nowUs - sight->second.heardUs > plan_.forgetUs) {
      lastAddresses_.insert(sight->first);
      sight = sights_.erase(sight);
    } else {
      ++sight;
    }
  }
  while (lastAddresses_.size() > kMostLastAddresses) {
    auto victim = lastAddresses_.begin();
    std::advance(victim, static_cast<std::ptrdiff_t>(ports_.chance.below(lastAddresses_.size())));
    lastAddresses_.erase(victim);
  }
  while (sights_.size() > plan_.most) {
    auto victim = sights_.begin();
    std::advance(victim, static_cast<std::ptrdiff_t>(ports_.chance.below(sights_.size())));
    sights_.erase(victim);
  }
}

void Gossip::onShuffle(const Asked& asked) {
  auto message = unpack<Shuffle>(asked.body);
  if (!std::holds_alternative<Shuffle>(message)) return;
  const std::vector<PeerRecord>& told = std::get<Shuffle>(message).records;
  std::vector<PeerRecord> records = hand();
  // One that started anew with a clock that was put back is told of its former life, however long ago that was, so
  // that it steps past it: until then its records look older than those that are held.
  auto former = sights_.find(asked.peer);
  if (former != sights_.end() && !told.empty() && former->second.record.life > told.front().life)
    records.push_back(former->second.record);
  rpc_.reply(asked, Shuffle{std::move(records)});
  absorb(told);
}

Address Gossip::selectPeer() {
  std::vector<Address> peers;
  const Sight* oldest = nullptr;
  for (const auto& [address, sight] : sights_) {
    if (!isAlive(sight)) continue;
    peers.push_back(address);
    if (oldest == nullptr || sight.heardUs < oldest->heardUs) oldest = &sight;
  }
  // Now and then a seed, known or not: two halves that forgot each other meet again there.
  const bool seed = peers.empty() || ports_.chance.oneIn(8);
  if (seed && !plan_.seeds.empty()) return plan_.seeds[ports_.chance.below(plan_.seeds.size())];
  // Every other time the one heard of least lately: it is alive or it is not, and we shall know.
  if (oldest != nullptr && ports_.chance.oneIn(2)) return oldest->record.wire;
  return peers.empty() ? Address() : peers[ports_.chance.below(peers.size())];
}

Task Gossip::shuffleWith(Address peer) {
  Job<std::variant<Shuffle, PeerSilent>> job = ask<Shuffle>(rpc_, peer, Shuffle{hand()}, plan_.shuffleUs);
  std::variant<Shuffle, PeerSilent> verdict = co_await job;
  if (auto* shuffled = std::get_if<Shuffle>(&verdict)) absorb(shuffled->records);
}

bool Gossip::alone() const {
  for (const auto& [address, sight] : sights_)
    if (isAlive(sight)) return false;
  return true;
}

// Most of those that are known are silent: it is cut off, or they are lost.
bool Gossip::apart() const {
  std::size_t living = 0;
  for (const auto& [address, sight] : sights_) living += isAlive(sight) ? 1 : 0;
  return 2 * living < sights_.size();
}

bool Gossip::settled() const {
  return !sights_.empty() && !apart() && ports_.clock.monoUs() - apartUs_ >= plan_.settledUs;
}

// One that is silent or was dropped: it may be cut off from the seeds, as this process may be, or be back.
Address Gossip::chooseSilent() {
  std::vector<Address> silent(lastAddresses_.begin(), lastAddresses_.end());
  for (const auto& [address, sight] : sights_)
    if (!isAlive(sight)) silent.push_back(address);
  return silent.empty() ? Address() : silent[ports_.chance.below(silent.size())];
}

// Alone, it asks the seeds and some of those that it once knew, all at once: the seeds may be lost for good.
void Gossip::askSilent() {
  absl::btree_set<Address> asked(plan_.seeds.begin(), plan_.seeds.end());
  for (std::size_t i = 0; i < kSilentOdds / 2; ++i) asked.insert(chooseSilent());
  for (const Address& peer : asked)
    if (peer.set() && peer != rpc_.self()) room_.start(shuffleWith(peer));
}

Task Gossip::shuffle() {
  while (true) {
    ++self_.beat;
    if (apart()) apartUs_ = ports_.clock.monoUs();
    if (alone()) {
      askSilent();
    } else {
      if (ports_.chance.oneIn(kSilentOdds)) {
        const Address silent = chooseSilent();
        if (silent.set()) room_.start(shuffleWith(silent));
      }
      const Address peer = selectPeer();
      if (peer.set() && peer != rpc_.self()) room_.start(shuffleWith(peer));
    }
    // A newcomer hurries to know others, and to be known.
    const Us everyUs = ports_.clock.monoUs() < youngUntilUs_ ? plan_.youngUs : plan_.shuffleUs;
    Pause pause(ports_.timers, everyUs + static_cast<Us>(ports_.chance.below(50)) * kMilliUs);
    co_await pause;
  }
}

}  // namespace stonemount
