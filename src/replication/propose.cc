// Proposals: seal who stays, let a joiner catch up, then a ballot among the voters (design.md 6.5).
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "replication/polls.h"
#include "replication/replica.h"

namespace stonemount {

namespace {
constexpr Us kFenceLimitUs = 400 * kMilliUs;
constexpr Us kCatchUpLimitUs = 1500 * kMilliUs;
constexpr Us kSlowestUs = 3 * kSecondUs;
constexpr Us kBallotLimitUs = 500 * kMilliUs;
}  // namespace

std::optional<Revision> LogNames::revisionAt(std::uint64_t index) const {
  if (index < keptAfter || index > end) return std::nullopt;
  std::optional<Revision> found;
  for (const auto& [first, revision] : runs)
    if (first <= index) found = revision;
  return found;
}

LogNames Replica::logNames() const {
  LogNames names;
  names.end = end_;
  names.keptAfter = recent_.empty() ? end_ : recent_.firstIndex() - 1;
  names.runs.emplace_back(names.keptAfter, recent_.empty() ? endRevision_ : recent_.revisionBefore());
  for (std::size_t i = 0; i < recent_.size(); ++i)
    if (recent_[i].revision != names.runs.back().second) names.runs.emplace_back(recent_[i].index, recent_[i].revision);
  return names;
}

namespace {
using FenceReplies = std::vector<std::optional<FenceReply>>;

// Is the first one's log the beginning of the second's?
bool beginning(const FenceReply& first, const FenceReply& second) {
  return first.end <= second.end && first.names.revisionAt(first.end) == second.names.revisionAt(first.end);
}

// The members that may follow one another. Who holds less than a later one has lost something and
// leaves; so does whoever parted from, or lacks more than is kept by, the one before. All leave to be
// caughtUp, and any one that stays holds all that was acknowledged.
std::vector<Seat> soundOrder(const std::vector<Seat>& stays, const FenceReplies& verdicts) {
  std::vector<Seat> sound;
  std::size_t last = 0;
  for (std::size_t i = 0; i < stays.size(); ++i) {
    bool lost = false;
    for (std::size_t j = i + 1; j < stays.size(); ++j)
      lost |= verdicts[j]->end > verdicts[i]->end && beginning(*verdicts[i], *verdicts[j]);
    const bool fits = sound.empty() || beginning(*verdicts[i], *verdicts[last]);
    if (lost || !fits) {
      logDoubt("member_left_out", {{"peer", addressText(stays[i].address)}, {"lost", lost ? "yes" : "no"}});
      continue;
    }
    sound.push_back(stays[i]);
    last = i;
  }
  return sound;
}
}  // namespace

// Every member that stays has stopped acknowledging in the old view before the new one is chosen.
Job<bool> Replica::fenceChain(View& target) {
  std::vector<Seat> stays;
  std::optional<Seat> joiner;
  for (const Seat& seat : target.chain) {
    if (holdsSeat(memory_.view.chain, seat.address, seat.incarnation))
      stays.push_back(seat);
    else
      joiner = seat;
  }
  if (stays.empty()) {
    Job<bool> sealing = fenceHolder(target);
    const bool sealed = co_await sealing;
    co_return sealed;
  }
  SeatPoll<FenceReply> poll(rpc_, Fence{memory_.view.revision}, stays, stays.size(), kFenceLimitUs);
  co_await poll;
  if (!poll.enough()) co_return false;
  const std::vector<Seat> sound = soundOrder(stays, poll.verdicts());
  target.chain = sound;
  if (!joiner) co_return true;
  const Seat last = sound.back();
  std::uint64_t tailEnd = 0;
  for (std::size_t i = 0; i < stays.size(); ++i)
    if (stays[i] == last) tailEnd = poll.verdicts()[i]->end;
  CatchUp request{memory_.view.revision, last.address, tailEnd};
  Job<std::variant<FenceReply, PeerSilent>> job = ask<FenceReply>(rpc_, joiner->address, request, kCatchUpLimitUs);
  std::variant<FenceReply, PeerSilent> verdict = co_await job;
  auto* caught = std::get_if<FenceReply>(&verdict);
  if (caught != nullptr && caught->granted && caught->incarnation == joiner->incarnation) {
    target.chain.push_back(*joiner);
    co_return true;
  }
  // Without the joiner the sealed members still need a view; the seats stay as they were.
  logDoubt("joiner_not_caught_up", {{"peer", addressText(joiner->address)}});
  if (!request_ || !request_->remove.set())
    target.voters = memory_.view.voters, target.nonVoters = memory_.view.nonVoters;
  else
    co_return false;
  co_return true;
}

// The chain is left behind for one of its holders (mender.cc, viewFromHolder).
Job<bool> Replica::fenceHolder(View& target) {
  if (target.chain.size() != 1) co_return false;
  SeatPoll<FenceReply> poll(rpc_, Fence{memory_.view.revision}, target.chain, 1, kFenceLimitUs);
  co_await poll;
  if (!poll.enough()) co_return false;
  ++counts_.restartedNarrow;
  logDoubt("chain_restarted_from_holder",
           {{"peer", addressText(target.chain.front().address)}, {"end", absl::StrCat(poll.verdicts().front()->end)}});
  co_return true;
}

// How long the quickest majority of the voters takes to sync, as far as it is known: a ballot has to wait out two
// of these. One whose disk does not answer at all must not hold up the others.
Us Replica::voterSyncUs() const {
  std::vector<Us> syncsUs;
  for (const Seat& voter : memory_.view.voters) {
    if (!aliveSeat(voter)) continue;
    const Pong& pong = peers_.at(voter.address).pong;
    syncsUs.push_back(std::max(pong.worstSyncUs, pong.stalledUs));
  }
  if (syncsUs.empty()) return 0;
  std::sort(syncsUs.begin(), syncsUs.end());
  return std::min(syncsUs[std::min(memory_.view.majority(), syncsUs.size()) - 1], kSlowestUs);
}

Job<bool> Replica::ballot(View target) {
  const View now = memory_.view;
  // A voter whose disk is slow may be needed for the majority; the poll ends as soon as it has enough.
  const Us limitUs = kBallotLimitUs + 2 * voterSyncUs();
  ++counts_.ballots;
  Ballot mine{++highestRound_, self_};
  SeatPoll<VoterReply> prepared(rpc_, Prepare{now.revision, mine}, now.voters, now.majority(), limitUs);
  co_await prepared;
  Ballot best;
  for (const std::optional<VoterReply>& verdict : prepared.verdicts()) {
    if (!verdict) continue;
    highestRound_ = std::max(highestRound_, verdict->promised.round);
    if (!verdict->granted || !verdict->accepted || verdict->acceptedBallot < best) continue;
    best = verdict->acceptedBallot;
    target = *verdict->accepted;
  }
  if (!prepared.enough() || memory_.view.revision != now.revision) co_return false;
  SeatPoll<VoterReply> accepted(rpc_, Accept{now.revision, mine, target}, now.voters, now.majority(), limitUs);
  co_await accepted;
  if (!accepted.enough()) co_return false;
  absl::btree_set<Address> listeners;
  for (const Seat& seat : now.voters) listeners.insert(seat.address);
  for (const Seat& seat : target.voters) listeners.insert(seat.address);
  for (const Seat& seat : target.chain) listeners.insert(seat.address);
  for (const Address& listener : listeners)
    if (listener != self_) rpc_.tell(listener, Decided{target});
  Job<bool> taken = takeView(target);
  const bool durable = co_await taken;
  co_return durable;
}

Job<ChangeOutcome> Replica::propose(View target) {
  logEvent("propose", {{"revision", absl::StrCat(target.revision)}, {"chain", absl::StrCat(target.chain.size())}});
  Job<bool> sealing = fenceChain(target);
  const bool sealed = co_await sealing;
  if (!sealed || target.revision != memory_.view.revision + 1) co_return ChangeOutcome::kNotReady;
  target.wide = acknowledges(target) ? target.chain : memory_.view.wide;
  Job<bool> voting = ballot(target);
  const bool decided = co_await voting;
  co_return decided ? ChangeOutcome::kDone : ChangeOutcome::kNoMajority;
}

}  // namespace stonemount
