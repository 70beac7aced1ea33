#include "gossip/gossip.h"

#include <algorithm>

namespace stonemount {

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
    met.emit(record);
  }
  trim();
}

void Gossip::trim() {
  const Us nowUs = ports_.clock.monoUs();
  for (auto sight = sights_.begin(); sight != sights_.end();) {
    if (nowUs - sight->second.heardUs > plan_.forgetUs)
      sight = sights_.erase(sight);
    else
      ++sight;
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
  rpc_.reply(asked, Shuffle{hand()});
  absorb(std::get<Shuffle>(message).records);
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

Task Gossip::shuffle() {
  while (true) {
    ++self_.beat;
    if (alone()) {  // seeds may be gone: who knows nobody asks them all at once
      for (const Address& seed : plan_.seeds)
        if (seed != rpc_.self()) room_.start(shuffleWith(seed));
    } else {
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
