// Voters: pings, seals, and the ballots for the next view (design.md 6.5).
#include "replication/replica.h"

namespace stonemount {

namespace {
constexpr Us kClockUs = 2 * kSecondUs;  // for which a wall clock that was told counts

// Who stood by, and pings now, has a disk since: its earlier answers count no more. It may found, for it learns by this
// ping whether we are empty; so from here on we count it among the founders.
void askAnew(PeerSight& sight, Us nowUs) {
  if (sight.pong.state != ReplicaState::kStandby) return;
  sight.heardUs = -1;
  sight.askedUs = nowUs;
}
}  // namespace

Pong Replica::pong() const {
  Pong pong;
  pong.incarnation = memory_.incarnation;
  pong.revision = durableRevision_;
  // A first view that is being kept is a view: who founds must not take this replica for empty any more.
  const bool takesFirst = state_ == ReplicaState::kBootstrapping && memory_.view.revision != 0;
  pong.state = takesFirst ? ReplicaState::kOpening : state_;
  pong.zone = plan_.zone;
  pong.end = end_;
  pong.caughtUp = caughtUp_ && state_ != ReplicaState::kBroken;
  pong.copying = copying_;
  pong.ballotOpen = memory_.accepted.has_value();
  pong.stalledUs = wal_.stalledUs();
  pong.worstSyncUs = wal_.worstSyncUs();
  pong.wallUs = ports_.clock.wallUs();
  if (tooFarBehind_.set()) pong.suspects.push_back(tooFarBehind_);
  if (ports_.clock.monoUs() < blindUntilUs_) return pong;
  for (const std::vector<Seat>* seats : {&memory_.view.voters, &memory_.view.nonVoters})
    for (const Seat& seat : *seats)
      if (!heardLately(seat.address)) pong.suspects.push_back(seat.address);
  return pong;
}

// With nothing to do it marks what was synced last, so that damage to the newest records shows too.
Job<bool> Replica::markSynced() {
  if (!inbox_.empty() || fetching_ || !wal_.wantsMark()) co_return true;
  wal_.append(RecordKind::kMark, Bytes());
  GroupCommit::Wait wait(groupCommit_);
  co_await wait;
  co_return true;
}

// Its clocks, and the wall clocks of its voters as far as it hears them (design.md 8.4).
HeadSight Replica::sight() const {
  const Us nowUs = ports_.clock.monoUs();
  HeadSight sight{nowUs, ports_.clock.wallUs(), memory_.incarnation, memory_.view.revision, {}, 0};
  sight.clocks = static_cast<std::uint32_t>(memory_.view.voters.size());
  for (const Seat& voter : memory_.view.voters) {
    if (voter.address == self_) {
      sight.wallsUs.push_back(sight.wallUs);
    } else if (heardLately(voter.address)) {
      const PeerSight& heard = peers_.at(voter.address);  // late by the way here, never early
      if (heard.clockHeardUs >= 0 && nowUs - heard.clockHeardUs < kClockUs)
        sight.wallsUs.push_back(heard.clockUs + nowUs - heard.clockHeardUs);
    }
  }
  return sight;
}

// No process listens at its address: there is no need to wait for its silence.
void Replica::onRefused(const Address& peer) {
  auto found = peers_.find(peer);
  if (found == peers_.end() || found->second.heardUs < 0) return;
  found->second.heardUs = -1;
  reconfigureEvent_.notify();
}

void Replica::onProbe(const Asked& asked) { rpc_.reply(asked, pong()); }

void Replica::onPing(const Asked& asked) {
  auto message = unpack<Ping>(asked.body);
  if (!std::holds_alternative<Ping>(message)) return;
  auto found = peers_.find(asked.peer);
  if (found != peers_.end() && std::get<Ping>(message).incarnation != 0) askAnew(found->second, ports_.clock.monoUs());
  rpc_.reply(asked, pong());
  if (pinged_.insert(asked.peer).second) room_.start(ping(asked.peer));
}

// May this incarnation vote on what follows the given view?
bool Replica::votes(Revision revision) const {
  return memory_.view.revision == revision && state_ != ReplicaState::kBroken && state_ != ReplicaState::kOpening &&
         holdsSeat(memory_.view.voters, self_, memory_.incarnation);
}

// Does it hold all that was acknowledged, though it is outside a chain that acknowledges nothing?
bool Replica::holds() const {
  return mayLeaveChain(memory_.view) && holdsSeat(memory_.view.wide, self_, memory_.incarnation);
}

void Replica::onFence(const Asked& asked) {
  auto message = unpack<Fence>(asked.body);
  if (!std::holds_alternative<Fence>(message)) return;
  FenceReply verdict;
  verdict.incarnation = memory_.incarnation;
  const bool same = memory_.view.revision == std::get<Fence>(message).revision && !imageLoose_;
  const bool mine = same && holdsSeat(memory_.view.chain, self_, memory_.incarnation);
  if (mine && state_ == ReplicaState::kActive) changeState(ReplicaState::kSealed);
  verdict.granted = mine && state_ == ReplicaState::kSealed;
  // A holder outside a chain that may be left behind: it keeps still until the next view, or a while.
  if (same && !mine && holds() && state_ == ReplicaState::kOutside && !fetching_ && appended_ <= end_) {
    heldUntilUs_ = ports_.clock.monoUs() + 2 * kSecondUs;
    verdict.granted = true;
  }
  verdict.end = end_;
  verdict.names = logNames();
  rpc_.reply(asked, verdict);
}

Task Replica::answerDurably(Asked asked, VoterReply verdict) {
  Job<bool> kept = keepMemory();
  const bool durable = co_await kept;
  if (durable) rpc_.reply(asked, verdict);
}

void Replica::onPrepare(const Asked& asked) {
  auto message = unpack<Prepare>(asked.body);
  if (!std::holds_alternative<Prepare>(message)) return;
  const Prepare& prepare = std::get<Prepare>(message);
  highestRound_ = std::max(highestRound_, prepare.ballot.round);
  VoterReply verdict;
  verdict.incarnation = memory_.incarnation;
  verdict.granted = votes(prepare.revision) && prepare.ballot > memory_.promised;
  if (verdict.granted) {
    memory_.promised = prepare.ballot;
    if (prepare.ballot.proposer != self_) promisedUs_ = ports_.clock.monoUs();
  }
  verdict.promised = memory_.promised;
  verdict.acceptedBallot = memory_.acceptedBallot;
  verdict.accepted = memory_.accepted;
  if (verdict.granted)
    room_.start(answerDurably(asked, verdict));
  else
    rpc_.reply(asked, verdict);
}

void Replica::onAccept(const Asked& asked) {
  auto message = unpack<Accept>(asked.body);
  if (!std::holds_alternative<Accept>(message)) return;
  const Accept& accept = std::get<Accept>(message);
  highestRound_ = std::max(highestRound_, accept.ballot.round);
  VoterReply verdict;
  verdict.incarnation = memory_.incarnation;
  verdict.granted = votes(accept.revision) && accept.ballot >= memory_.promised;
  if (verdict.granted) {
    memory_.promised = accept.ballot;
    memory_.acceptedBallot = accept.ballot;
    memory_.accepted = accept.view;
  }
  verdict.promised = memory_.promised;
  if (verdict.granted)
    room_.start(answerDurably(asked, verdict));
  else
    rpc_.reply(asked, verdict);
}

// "Yes" only while no later view can have been decided with this voter's vote.
void Replica::onConfirm(const Asked& asked) {
  auto message = unpack<Confirm>(asked.body);
  if (!std::holds_alternative<Confirm>(message)) return;
  VoterReply verdict;
  verdict.incarnation = memory_.incarnation;
  verdict.granted = votes(std::get<Confirm>(message).revision) && !memory_.accepted;
  rpc_.reply(asked, verdict);
}

}  // namespace stonemount
