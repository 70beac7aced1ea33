#include "replication/client.h"

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kTryUs = 700 * kMilliUs;
constexpr std::size_t kLongCommand = 16 << 10;  // bytes, from which on a head is asked first
constexpr Us kAgainUs = 60 * kMilliUs;
constexpr Us kFullAgainUs = 300 * kMilliUs;  // of one that is unsure, where the head has no room
constexpr Us kLeastTryUs = 100 * kMilliUs;
constexpr Us kHeldUs = 300 * kMilliUs;  // over the time for which a read may be held: then its tail is gone
constexpr Us kViewUs = 250 * kMilliUs;

class ViewPoll : public Poll {
 public:
  ViewPoll(RpcEndpoint& rpc, const absl::btree_set<Address>& members, bool wantsHead, Us limitUs = kViewUs)
      : Poll(rpc, ViewAsk::kKind, pack(ViewAsk{}), limitUs),
        silent(members),
        members_(members.begin(), members.end()),
        wantsHead_(wantsHead) {
    for (const Address& member : members_) add(member);
    needed_ = members_.size() / 2 + 1;
  }
  View newest;
  absl::btree_set<Address> silent;
  // The head of the newest view, and most of its voters: a head that is cut off with nobody takes nothing.
  bool headHeard() const {
    std::size_t voters = 0;
    for (const Seat& voter : newest.voters) voters += silent.contains(voter.address) ? 0 : 1;
    return !newest.chain.empty() && voters >= newest.majority() && !silent.contains(newest.chain.front().address);
  }
  bool enough() const override { return wantsHead_ ? headHeard() : answered_ >= needed_; }

 protected:
  void heard(std::size_t member, const Bytes& body) override {
    auto read = unpack<ViewReply>(body);
    auto* verdict = std::get_if<ViewReply>(&read);
    if (verdict == nullptr) return;
    silent.erase(members_[member]);
    ++answered_;
    if (verdict->view.revision > newest.revision) newest = std::move(verdict->view);
  }

 private:
  std::vector<Address> members_;
  bool wantsHead_;
  std::size_t needed_ = 0;
  std::size_t answered_ = 0;
};
}  // namespace

const char* troubleText(ChainError trouble) {
  switch (trouble) {
    case ChainError::kUnreachable:
      return "unreachable";
    case ChainError::kTooFewCopies:
      return "too_few_copies";
    case ChainError::kBusy:
      return "busy";
    case ChainError::kRingFull:
      return "ring_full";
    case ChainError::kTooLong:
      return "too_long";
  }
  return "unknown";
}

ChainClient::ChainClient(Ports& ports, RpcEndpoint& rpc, std::vector<Address> members)
    : ports_(ports), rpc_(rpc), members_(members.begin(), members.end()), clientId_(ports.chance.next()) {}

Job<Done> ChainClient::refresh(Us limitUs) {
  if (!refreshing_) {
    refreshing_ = true;
    const Us pollUs = std::min(limitUs, kViewUs);
    ViewPoll poll(rpc_, members_, false, pollUs);
    co_await poll;
    refreshing_ = false;
    takeView(poll.newest);
    // Where machines come and go, those without a seat that say nothing would keep every poll waiting.
    const bool askedInFull = pollUs == kViewUs;
    if (askedInFull && !poll.enough() && poll.silent.size() < members_.size() && view_.revision != 0)
      for (const Address& gone : poll.silent) members_.erase(gone);
    keepSeats();
  } else {
    Pause pause(ports_.timers, kAgainUs);
    co_await pause;
  }
  co_return Done{};
}

void ChainClient::takeView(const View& view) {
  if (view.revision <= view_.revision) return;
  view_ = view;
  keepSeats();
}

void ChainClient::forgetMember(const Address& member) {
  members_.erase(member);
  keepSeats();
}

void ChainClient::keepSeats() {
  for (const Seat& voter : view_.voters) members_.insert(voter.address);
  for (const Seat& nonVoter : view_.nonVoters) members_.insert(nonVoter.address);
}

Job<bool> ChainClient::findHead() {
  ViewPoll poll(rpc_, members_, true);
  co_await poll;
  takeView(poll.newest);
  co_return poll.newest.revision == view_.revision&& poll.headHeard();
}

Job<std::optional<ChainReply>> ChainClient::askForRoom(const Submit& submit, bool enlarges, Us limitUs) {
  const RoomRequest request{view_.revision, submit.id, submit.command.size(), enlarges};
  Job<std::variant<ChainReply, PeerSilent>> job = ask<ChainReply>(rpc_, view_.chain.front().address, request, limitUs);
  std::variant<ChainReply, PeerSilent> reply = co_await job;
  auto* answered = std::get_if<ChainReply>(&reply);
  if (answered == nullptr) co_return std::nullopt;
  co_return std::move(*answered);
}

namespace {
ChainError errorOf(ChainOutcome outcome) {
  switch (outcome) {
    case ChainOutcome::kTooFewCopies:
      return ChainError::kTooFewCopies;
    case ChainOutcome::kBusy:
      return ChainError::kBusy;
    case ChainOutcome::kRingFull:
      return ChainError::kRingFull;
    case ChainOutcome::kTooLong:
      return ChainError::kTooLong;
    case ChainOutcome::kDone:
    case ChainOutcome::kNotMine:
    case ChainOutcome::kRoom:
      break;
  }
  return ChainError::kUnreachable;
}
}  // namespace

Job<ChainAnswer> ChainClient::submit(Bytes command, Us limitUs, Us sureUs, WhenFull whenFull) {
  Submit submit;
  submit.id = {clientId_, ++lastNumber_};
  submit.command = std::move(command);
  const Us untilUs = ports_.clock.monoUs() + limitUs;
  const Us sureUntilUs = sureUs > 0 ? ports_.clock.monoUs() + sureUs : untilUs;
  ChainError trouble = ChainError::kUnreachable;
  bool unsure = false;  // one try was not answered: whatever the others say, it may have been taken
  const bool isLong = submit.command.size() > kLongCommand;
  while (true) {
    bool mayGo = !view_.chain.empty();
    // A long one is not sent to a head that has no room for it, nor sent again to one that has it.
    const bool asksFirst = isLong && (unsure || whenFull == WhenFull::kTellAtOnce);
    if (mayGo && asksFirst) {
      const Us leftUs = untilUs - ports_.clock.monoUs();
      if (leftUs <= 0) break;
      Job<std::optional<ChainReply>> asking =
          askForRoom(submit, whenFull == WhenFull::kTellAtOnce, std::min(leftUs, kTryUs));
      std::optional<ChainReply> told = co_await asking;
      if (told && told->outcome == ChainOutcome::kDone) co_return std::move(told->body);
      mayGo = told && told->outcome == ChainOutcome::kRoom;
      trouble = told ? errorOf(told->outcome) : ChainError::kUnreachable;
    }
    if (mayGo) {
      const Us leftUs = untilUs - ports_.clock.monoUs();
      if (leftUs <= 0 || (asksFirst && !unsure && leftUs < kTryUs)) break;
      submit.revision = view_.revision;
      Job<std::variant<ChainReply, PeerSilent>> job =
          ask<ChainReply>(rpc_, view_.chain.front().address, submit, std::min(leftUs, kTryUs));
      std::variant<ChainReply, PeerSilent> verdict = co_await job;
      auto* answered = std::get_if<ChainReply>(&verdict);
      if (answered != nullptr && answered->outcome == ChainOutcome::kDone) co_return std::move(answered->body);
      unsure |= answered == nullptr;
      trouble = answered != nullptr ? errorOf(answered->outcome) : ChainError::kUnreachable;
    }
    if (trouble == ChainError::kTooLong && !unsure) break;
    const bool full = trouble == ChainError::kBusy || trouble == ChainError::kRingFull;
    if (full && !unsure && whenFull == WhenFull::kTellAtOnce) break;
    // What is surely not taken stays so: no further try is begun that has no time to be answered.
    const Us nextUs = ports_.clock.monoUs() + kAgainUs;
    if (unsure ? nextUs >= untilUs : nextUs + (full ? kLeastTryUs : 0) >= sureUntilUs) break;
    if (!full) {  // a head that says so is the head: its view need not be asked for
      Job<Done> refreshing = refresh(untilUs - nextUs);
      co_await refreshing;
    }
    // Only one that may have been taken is asked for again: it was most likely not, and has much to carry.
    Pause pause(ports_.timers, full && unsure ? kFullAgainUs : kAgainUs);
    co_await pause;
  }
  co_return ChainFailure{unsure ? ChainError::kUnreachable : trouble, unsure};
}

Job<ChainAnswer> ChainClient::read(Bytes query, Us holdUs, Us limitUs) {
  Read read;
  read.query = std::move(query);
  const Us untilUs = ports_.clock.monoUs() + limitUs;
  while (true) {
    if (!view_.chain.empty()) {
      read.revision = view_.revision;
      read.holdUs = tailSilent_ ? 0 : holdUs;  // where the tail may be gone, ask it for a short answer only
      const Us leftUs = untilUs - ports_.clock.monoUs();
      if (leftUs <= 0) break;
      Job<std::variant<ChainReply, PeerSilent>> job = ask<ChainReply>(
          rpc_, view_.chain.back().address, read, std::min(leftUs, holdUs > 0 ? kHeldUs + read.holdUs : kTryUs));
      std::variant<ChainReply, PeerSilent> verdict = co_await job;
      auto* answered = std::get_if<ChainReply>(&verdict);
      tailSilent_ = answered == nullptr;
      if (answered != nullptr && answered->outcome == ChainOutcome::kDone) co_return std::move(answered->body);
    }
    const Us nextUs = ports_.clock.monoUs() + kAgainUs;
    if (nextUs >= untilUs) break;
    Job<Done> refreshing = refresh(untilUs - nextUs);
    co_await refreshing;
    Pause pause(ports_.timers, kAgainUs);
    co_await pause;
  }
  co_return ChainFailure{ChainError::kUnreachable};
}

Job<std::variant<ChangeReply, PeerSilent>> ChainClient::changeVoters(ChangeVoters request, Us limitUs) {
  Job<Done> refreshing = refresh();
  co_await refreshing;
  for (const Seat& seat : std::vector<Seat>(view_.chain)) {
    if (seat.address == request.remove || findSeat(view_.voters, seat.address) == nullptr) continue;
    Job<std::variant<ChangeReply, PeerSilent>> job = ask<ChangeReply>(rpc_, seat.address, request, limitUs);
    std::variant<ChangeReply, PeerSilent> verdict = co_await job;
    if (std::holds_alternative<ChangeReply>(verdict)) co_return verdict;
  }
  co_return PeerSilent{};
}

}  // namespace stonemount
