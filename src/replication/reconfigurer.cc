// Mending: who is alive, what the next view should be, and whose turn it is to propose (design.md 6.5).
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "replication/replica.h"

namespace stonemount {

namespace {
constexpr Us kTurnUs = 350 * kMilliUs;
constexpr Us kPromiseUs = 250 * kMilliUs;

// More voters ask for more members in a chain that acknowledges.
bool closes(const View& before, const View& after) { return acknowledges(before) && !acknowledges(after); }

// As from three voters to five in one view: of four, two in one zone, the loss of that zone would leave no majority.
bool promotePair(View& wanted) {
  for (const Seat& first : wanted.nonVoters) {
    for (const Seat& second : wanted.nonVoters) {
      const bool placed =
          findSeat(wanted.chain, first.address) != nullptr && findSeat(wanted.chain, second.address) != nullptr;
      if (first.address == second.address || !placed) continue;
      View with = wanted;
      with.voters.push_back(first);
      with.voters.push_back(second);
      if (!outlivesZones(with.voters) || closes(wanted, with)) continue;
      std::erase_if(with.nonVoters, SeatAt{first.address});
      std::erase_if(with.nonVoters, SeatAt{second.address});
      wanted = std::move(with);
      return true;
    }
  }
  return false;
}
}  // namespace

// Refilled, healthy and waiting outside in the current view.
bool Replica::ready(const Address& peer) const {
  auto found = peers_.find(peer);
  if (found == peers_.end()) return false;
  const Pong& pong = found->second.pong;
  return pong.caughtUp && pong.revision == memory_.view.revision && pong.state == ReplicaState::kOutside &&
         healthySeat({peer, pong.incarnation, pong.zone});
}

// A voter's place that is empty in the chain, and a caughtUp member to take it; or an operator's request.
bool Replica::addReadyPeer(View& wanted) const {
  for (const auto& [address, sight] : peers_) {
    const Seat seat{address, sight.pong.incarnation, sight.pong.zone};
    if (findSeat(wanted.chain, address) != nullptr || !ready(address)) continue;
    bool allowed = false;
    for (std::vector<Seat>* seats : {&wanted.voters, &wanted.nonVoters}) {
      for (Seat& member : *seats) {
        if (member.address != address) continue;
        allowed = true;
        member = seat;
      }
    }
    if (!allowed && request_ && request_->add == address) {
      giveSeat(wanted, seat);
      allowed = true;
    }
    if (!allowed || (!wanted.chain.empty() && suspicion(wanted.chain.back(), seat))) continue;
    wanted.chain.push_back(seat);
    return true;
  }
  return false;
}

std::optional<View> Replica::wantedView() const {
  const View& now = memory_.view;
  View wanted;
  wanted.revision = now.revision + 1;
  wanted.voters = now.voters;
  wanted.nonVoters = now.nonVoters;
  bool needed = false;
  std::vector<Seat> alive;
  for (const Seat& seat : now.chain) {
    if (!aliveSeat(seat)) continue;
    if (!alive.empty() && suspicion(alive.back(), seat)) continue;
    alive.push_back(seat);
    const Pong& pong = peers_.at(seat.address).pong;
    needed |= pong.revision == now.revision && pong.state == ReplicaState::kSealed;
  }
  for (const Seat& voter : now.voters)
    needed |= aliveSeat(voter) && peers_.at(voter.address).pong.ballotOpen &&
              peers_.at(voter.address).pong.revision == now.revision;
  for (const Seat& seat : alive)
    if (healthySeat(seat)) wanted.chain.push_back(seat);
  // A slow disk is mended out only where the chain acknowledges without it.
  if (!acknowledges(wanted)) wanted.chain = alive;
  if (wanted.chain.empty()) return viewFromHolder();
  needed |= wanted.chain.size() != now.chain.size();
  if (std::optional<View> without = viewWithoutRemoved(wanted)) return without;
  needed |= addReadyPeer(wanted);
  needed |= promoteNonVoters(wanted);
  if (!needed) return std::nullopt;
  return wanted;
}

// The wanted view without the member that an operator's request removes. A replacement waits until the new machine is
// caught up, and every removal until the chain without that member acknowledges: the next loss would else leave
// nobody who holds the state and is a member. All else is mended meanwhile.
std::optional<View> Replica::viewWithoutRemoved(const View& wanted) const {
  if (!request_ || findMember(memory_.view, request_->remove) == nullptr) return std::nullopt;
  View without = wanted;
  std::erase_if(without.chain, SeatAt{request_->remove});
  std::erase_if(without.voters, SeatAt{request_->remove});
  std::erase_if(without.nonVoters, SeatAt{request_->remove});
  addReadyPeer(without);
  if (request_->add.set() && findMember(without, request_->add) == nullptr) return std::nullopt;
  for (const Seat& nonVoter : std::exchange(without.nonVoters, {})) {  // one may have a vote now
    if (ableSeat(nonVoter))
      giveSeat(without, nonVoter);
    else
      without.nonVoters.push_back(nonVoter);
  }
  promoteNonVoters(without);
  if (!acknowledges(without)) return std::nullopt;
  return without;
}

// Nobody of the chain is left. Where it was too small, or lay in one zone, it acknowledged and showed nothing, and
// whoever was in the newest chain that did holds all of it (design.md 6.5).
std::optional<View> Replica::viewFromHolder() const {
  const View& now = memory_.view;
  if (!mayLeaveChain(now)) return std::nullopt;
  const Seat* chosenHolder = nullptr;
  for (const Seat& seat : now.wide) {
    if (!healthySeat(seat) || findMember(now, seat.address) == nullptr) continue;
    const Pong& pong = peers_.at(seat.address).pong;
    if (pong.state != ReplicaState::kOutside || pong.revision != now.revision) continue;
    if (chosenHolder == nullptr || peers_.at(chosenHolder->address).pong.end < pong.end) chosenHolder = &seat;
  }
  if (chosenHolder == nullptr) return std::nullopt;
  View wanted;
  wanted.revision = now.revision + 1;
  wanted.voters = now.voters;
  wanted.nonVoters = now.nonVoters;
  wanted.chain = {*chosenHolder};
  wanted.wide = now.wide;
  return wanted;
}

// A member of the chain without a vote gets one as soon as the zones allow it. Else a chain whose voters became few,
// since one that was to vote was lost at that moment, would go on with few, and stop at the next loss.
bool Replica::promoteNonVoters(View& wanted) const {
  bool promoted = false;
  for (const Seat& nonVoter : memory_.view.nonVoters) {
    const Seat* placed = findSeat(wanted.nonVoters, nonVoter.address);
    if (placed == nullptr || findSeat(wanted.chain, nonVoter.address) == nullptr) continue;
    View with = wanted;
    std::erase_if(with.nonVoters, SeatAt{nonVoter.address});
    giveSeat(with, *placed);
    if (with.voters.size() == wanted.voters.size() || closes(wanted, with)) continue;
    wanted = std::move(with);
    promoted = true;
  }
  return promotePair(wanted) || promoted;
}

// Voters propose in turn, so that two seldom do so at once. Safety does not hang on it.
std::size_t Replica::turn() const {
  std::size_t before = 0;
  for (const Seat& voter : memory_.view.voters) {
    if (voter.address == self_) return before;
    before += ableSeat(voter) ? 1 : 0;
  }
  return before;
}

Task Replica::reconfigure() {
  Us lastUs = ports_.clock.monoUs();
  blindUntilUs_ = lastUs + plan_.suspectUs;
  while (state_ != ReplicaState::kBroken) {
    EventWait hear(ports_.timers, reconfigureEvent_, plan_.pingUs);
    co_await hear;
    const Us nowUs = ports_.clock.monoUs();
    // After a freeze everyone looks dead; hear from them again first.
    if (nowUs - lastUs > plan_.suspectUs / 2) blindUntilUs_ = nowUs + plan_.suspectUs;
    lastUs = nowUs;
    // (Who has heard from all already suspects nobody: after a restart of the whole chain there is nothing to wait
    // for.)
    if ((nowUs < blindUntilUs_ && !hearsAll()) || proposing_ || !votes(memory_.view.revision)) continue;
    std::optional<View> wanted = wantedView();
    if (!wanted) {
      needSinceUs_ = -1;
      continue;
    }
    if (needSinceUs_ < 0) needSinceUs_ = nowUs;
    if (nowUs - needSinceUs_ < static_cast<Us>(turn()) * kTurnUs) continue;
    // Another's ballot is under way: where disks are slow, two that outbid each other never end.
    if (promisedUs_ != 0 && nowUs - promisedUs_ < kPromiseUs + 4 * voterSyncUs()) continue;
    proposing_ = true;
    Job<ChangeOutcome> job = propose(*wanted);
    const ChangeOutcome outcome = co_await job;
    proposing_ = false;
    lastUs = ports_.clock.monoUs();
    if (outcome == ChangeOutcome::kDone) continue;
    Pause pause(ports_.timers, 50 * kMilliUs + static_cast<Us>(ports_.chance.below(200 * kMilliUs)));
    co_await pause;
    lastUs = ports_.clock.monoUs();
  }
}

}  // namespace stonemount
