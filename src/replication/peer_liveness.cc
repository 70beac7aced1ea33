// Who of the other replicas is alive: pings, and what is concluded from them (design.md 6.5, 6.11).
#include <algorithm>

#include "replication/replica.h"

namespace stonemount {

Task Replica::pingAll() {
  absl::btree_set<Address> known(plan_.founders.begin(), plan_.founders.end());
  known.insert(self_);
  while (state_ != ReplicaState::kBroken) {
    for (const Seat& seat : memory_.view.voters) known.insert(seat.address);
    for (const Seat& seat : memory_.view.nonVoters) known.insert(seat.address);
    for (const Address& peer : known)
      if (pinged_.insert(peer).second) room_.start(ping(peer));
    Pause pause(ports_.timers, plan_.pingUs);
    co_await pause;
  }
}

void Replica::meet(const Address& peer) {
  if (state_ != ReplicaState::kOpening && pinged_.insert(peer).second) room_.start(ping(peer));
}

// A ping goes out at its time whether or not the last one was answered, and an answer counts when it comes: where a
// link is full of entries, signs of life come late, one behind the other, and that is no silence.
Task Replica::ping(Address peer) {
  while (state_ != ReplicaState::kBroken) {
    // Just started, or woken, it is in a hurry to hear of everyone: a question that met a closed port is soon put
    // again.
    const bool hurries = ports_.clock.monoUs() < blindUntilUs_ && !heardLately(peer);
    room_.start(pingOnce(peer));
    // Who holds no seat is looked at now and then: it costs each of us as much as a member would.
    Pause pause(ports_.timers, hurries ? plan_.pingUs / 4 : close(peer) ? plan_.pingUs : plan_.farPingUs);
    co_await pause;
  }
}

Task Replica::pingOnce(Address peer) {
  const Us askedUs = ports_.clock.monoUs();
  Call call(rpc_, peer, Ping::kKind, pack(Ping{memory_.view.revision, memory_.incarnation}), plan_.pingLimitUs);
  auto raw = co_await call;
  if (std::holds_alternative<PeerSilent>(raw)) co_return;
  auto read = unpack<Pong>(std::get<Bytes>(raw));
  auto* pong = std::get_if<Pong>(&read);
  if (pong == nullptr) co_return;
  PeerSight& sight = peers_[peer];
  if (askedUs < sight.askedUs) co_return;
  const Us nowUs = ports_.clock.monoUs();
  sight.heardUs = nowUs;
  sight.askedUs = askedUs;
  sight.pong = std::move(*pong);
  if (nowUs - askedUs <= plan_.promptPongUs) {
    sight.clockHeardUs = nowUs;
    sight.clockUs = sight.pong.wallUs;
  }
  const bool newer = sight.pong.revision > memory_.view.revision && state_ != ReplicaState::kOpening;
  if (newer && viewFetchers_.insert(peer).second) room_.start(fetchView(peer));
}

// Some other replica holds a later view.
Task Replica::fetchView(Address peer) {
  Job<std::variant<ViewReply, PeerSilent>> job = ask<ViewReply>(rpc_, peer, ViewAsk{}, plan_.suspectUs);
  std::variant<ViewReply, PeerSilent> reply = co_await job;
  if (auto* found = std::get_if<ViewReply>(&reply)) {
    Job<bool> taken = takeView(found->view);
    co_await taken;
  }
  viewFetchers_.erase(peer);
}

// Do the two of us have to know of each other at once?
bool Replica::close(const Address& peer) const {
  if (state_ == ReplicaState::kBootstrapping || (request_ && request_->add == peer)) return true;
  const bool mine = findMember(memory_.view, self_) != nullptr || invited();
  return mine && findMember(memory_.view, peer) != nullptr;
}

bool Replica::heardLately(const Address& peer) const {
  auto found = peers_.find(peer);
  return found != peers_.end() && found->second.heardUs >= 0 &&
         ports_.clock.monoUs() - found->second.heardUs < plan_.suspectUs;
}

bool Replica::aliveSeat(const Seat& seat) const {
  if (!heardLately(seat.address)) return false;
  const Pong& pong = peers_.at(seat.address).pong;
  return pong.incarnation == seat.incarnation && pong.state != ReplicaState::kBroken;
}

LossMargin Replica::lossMargin() const {
  std::vector<MemberSight> members;
  for (const std::vector<Seat>* seats : {&memory_.view.voters, &memory_.view.nonVoters}) {
    for (const Seat& seat : *seats) {
      const bool mine = seat.address == self_;
      if (mine) members.push_back({seat, pong()});
      if (!mine) members.push_back({seat, std::nullopt});
      if (!mine && heardLately(seat.address)) members.back().pong = peers_.at(seat.address).pong;
    }
  }
  return lossMarginOf(memory_.view, members);
}

bool Replica::hearsAll() const {
  for (const std::vector<Seat>* seats : {&memory_.view.voters, &memory_.view.nonVoters})
    for (const Seat& seat : *seats)
      if (!aliveSeat(seat)) return false;
  return !memory_.view.voters.empty();
}

// Neighbours in the chain must reach each other both ways, whatever the proposer itself can reach.
bool Replica::suspicion(const Seat& one, const Seat& other) const {
  const std::vector<Address>& ones = peers_.at(one.address).pong.suspects;
  const std::vector<Address>& others = peers_.at(other.address).pong.suspects;
  return std::find(ones.begin(), ones.end(), other.address) != ones.end() ||
         std::find(others.begin(), others.end(), one.address) != others.end();
}

bool Replica::ableSeat(const Seat& seat) const {
  return aliveSeat(seat) && diskAnswers(peers_.at(seat.address).pong, plan_.slowDiskUs);
}

bool Replica::healthySeat(const Seat& seat) const {
  return ableSeat(seat) && peers_.at(seat.address).pong.worstSyncUs < plan_.slowDiskUs;
}

}  // namespace stonemount
