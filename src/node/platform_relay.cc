#include "node/platform_relay.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "runtime/address_hash.h"

namespace stonemount {

namespace {
constexpr Us kLookUs = 100 * kMilliUs;       // between two looks at whether anybody wants to know
constexpr Us kPeerLimitUs = 250 * kMilliUs;  // of one question to a peer
constexpr Us kPassOverUs = 3 * kSecondUs;    // one that has not answered; by then gossip tells whether it is alive
constexpr Us kWantedForUs = 800 * kMilliUs;  // after a peer's question; it asks again sooner if it still wants to know
constexpr Us kLeastWaitUs = 20 * kMilliUs;
constexpr std::uint64_t kPlatformAgainMs = 600;  // doubled each time that it turns this node away
constexpr std::uint64_t kPeerAgainMs = 300;
constexpr std::uint64_t kRetryMs = 150;  // after an answer with nothing fresh
constexpr std::uint64_t kMostDoublings = 4;

// The same in every process, and no zone's or class's machines come first.
std::uint64_t rankOf(const Address& node) { return addressPairHash(Address(), node); }
}  // namespace

PlatformRelay::PlatformRelay(Ports& ports, RpcEndpoint& rpc, const Gossip& gossip, WorkerListSource& source,
                             sigc::slot<bool()> wanted)
    : ports_(ports), rpc_(rpc), gossip_(gossip), source_(source), wanted_(std::move(wanted)) {}

void PlatformRelay::begin(TaskRoom& room) {
  rpc_.serve(PlatformMarksRequest::kKind, sigc::mem_fun(*this, &PlatformRelay::onRequest));
  room.start(run());
}

Task PlatformRelay::run() {
  while (true) {
    Us againUs = kLookUs;
    if (wanted_() || wantedByPeers()) {
      Job<Outcome> refreshing = refresh();
      const Outcome outcome = co_await refreshing;
      againUs = pauseUs(outcome);
    } else {
      patientUntilUs_ = -1;
      anyPeer_ = false;
    }
    Pause pause(ports_.timers, againUs);
    co_await pause;
  }
}

bool PlatformRelay::fresh() const { return marks_.askedUs >= 0 && ports_.clock.monoUs() - marks_.askedUs <= kFreshUs; }

bool PlatformRelay::wantedByPeers() const {
  return peerAskedUs_ >= 0 && ports_.clock.monoUs() - peerAskedUs_ <= kWantedForUs;
}

// Spread, so that those who lose the node that asked for them do not all turn to the platform at once; and longer where
// what is held was fresh a moment ago: it may be old, but not unknown.
bool PlatformRelay::patient() {
  const Us nowUs = ports_.clock.monoUs();
  if (patientUntilUs_ < 0) {
    const bool held = marks_.askedUs >= 0 && nowUs - marks_.askedUs <= 2 * kFreshUs;
    const Us spreadUs = held ? kHeldSpreadUs : kPatienceSpreadUs;
    patientUntilUs_ = nowUs + kPatienceUs + static_cast<Us>(ports_.chance.below(static_cast<std::uint64_t>(spreadUs)));
  }
  return nowUs < patientUntilUs_;
}

std::optional<Address> PlatformRelay::choosePeer() {
  const Us nowUs = ports_.clock.monoUs();
  std::erase_if(silentPeers_, [nowUs](const auto& entry) { return entry.second <= nowUs; });
  std::vector<Address> peers;
  for (const auto& [address, sight] : gossip_.sights()) {
    const bool node = sight.record.role == Role::kNode;
    if (node && gossip_.isAlive(sight) && !silentPeers_.contains(address)) peers.push_back(address);
  }
  first_ = true;
  if (peers.empty()) return std::nullopt;
  const auto before = [](const Address& left, const Address& right) { return rankOf(left) < rankOf(right); };
  const Address lowest = *std::min_element(peers.begin(), peers.end(), before);
  first_ = rankOf(rpc_.self()) < rankOf(lowest);
  if (!first_ && !anyPeer_) return lowest;
  return peers[ports_.chance.below(peers.size())];
}

// The first of its own view may not be the first of all: then one of its peers has marks that an earlier one asked for.
Job<PlatformRelay::Outcome> PlatformRelay::refresh() {
  const bool lacking = !fresh();
  if (!lacking) patientUntilUs_ = -1;
  const bool overdue = lacking && !patient();
  const bool mayAskPlatform = ports_.clock.monoUs() >= platformAgainUs_;
  const std::optional<Address> peer = choosePeer();
  if (peer && !(overdue && mayAskPlatform)) {
    Job<bool> asking = askPeer(*peer);
    if (co_await asking) {
      anyPeer_ = false;
      co_return Outcome::kFromPeer;
    }
    anyPeer_ = !anyPeer_;
  }
  if (!mayAskPlatform || !(first_ || overdue)) co_return Outcome::kNothing;
  Job<Done> fetching = askPlatform();
  co_await fetching;
  co_return Outcome::kPlatformAsked;
}

Job<bool> PlatformRelay::askPeer(Address peer) {
  ++questions;
  peerSilent_ = false;
  // Never the other way round: two that rely on each other would go on asking for nobody.
  const bool keepAsking = rankOf(peer) < rankOf(rpc_.self());
  const Us askedUs = ports_.clock.monoUs();
  Job<std::variant<PlatformMarksReply, PeerSilent>> asking =
      ask<PlatformMarksReply>(rpc_, peer, PlatformMarksRequest{keepAsking}, std::min(kPeerLimitUs, leftOfPatienceUs()));
  std::variant<PlatformMarksReply, PeerSilent> verdict = co_await asking;
  auto* reply = std::get_if<PlatformMarksReply>(&verdict);
  if (reply == nullptr) {
    silentPeers_[peer] = ports_.clock.monoUs() + kPassOverUs;
    peerSilent_ = true;
    co_return false;
  }
  if (reply->ageUs < 0 || reply->ageUs > kFreshUs) co_return false;
  if (first_ && reply->askerRank >= rankOf(rpc_.self())) co_return false;
  // Its age is as of some moment after the question: by the question's time it is taken for older, never for newer.
  const Us platformAskedUs = std::max<Us>(0, askedUs - reply->ageUs);
  take({std::move(reply->marked), platformAskedUs, ports_.clock.monoUs(), reply->askerRank});
  co_return true;
}

Job<Done> PlatformRelay::askPlatform() {
  ++fetches;
  const Us askedUs = ports_.clock.monoUs();
  logEvent("platform_asked", {{"first", first_ ? "yes" : "no"}, {"for_peers", wantedByPeers() ? "yes" : "no"}});
  Job<WorkerListVerdict> fetching = source_.fetch();
  WorkerListVerdict verdict = co_await fetching;
  auto* list = std::get_if<WorkerList>(&verdict);
  const bool turnedAway = list == nullptr && std::get<ListTrouble>(verdict) == ListTrouble::kBusy;
  turnedAway_ = turnedAway ? std::min(turnedAway_ + 1, kMostDoublings) : 0;
  platformAgainUs_ = ports_.clock.monoUs() + someMs(kPlatformAgainMs << turnedAway_);
  if (list == nullptr) co_return Done{};
  std::erase_if(list->workers, [](const ListedWorker& worker) { return !worker.leaving && worker.coldLeftUs <= 0; });
  take({std::move(list->workers), askedUs, ports_.clock.monoUs(), rankOf(rpc_.self())});
  co_return Done{};
}

void PlatformRelay::take(PlatformMarks marks) {
  if (marks.askedUs >= marks_.askedUs) marks_ = std::move(marks);
  if (wanted_()) heard.emit(marks_.marked, marks_.askedUs);
}

// As much, and up to half as much again.
Us PlatformRelay::someMs(std::uint64_t leastMs) {
  return static_cast<Us>(leastMs + ports_.chance.below(leastMs / 2)) * kMilliUs;
}

Us PlatformRelay::pauseUs(Outcome outcome) {
  if (outcome == Outcome::kFromPeer) return someMs(kPeerAgainMs);
  const Us nowUs = ports_.clock.monoUs();
  if (first_ && outcome == Outcome::kPlatformAsked && turnedAway_ == 0) return platformAgainUs_ - nowUs;
  return peerSilent_ ? kLeastWaitUs : std::min(someMs(kRetryMs), leftOfPatienceUs());
}

// No more than that may be waited for anything.
Us PlatformRelay::leftOfPatienceUs() const {
  const Us leftUs = patientUntilUs_ - ports_.clock.monoUs();
  return patientUntilUs_ < 0 || leftUs <= 0 ? kPassOverUs : std::max(leftUs, kLeastWaitUs);
}

void PlatformRelay::onRequest(const Asked& asked) {
  auto read = unpack<PlatformMarksRequest>(asked.body);
  auto* request = std::get_if<PlatformMarksRequest>(&read);
  if (request == nullptr) return;
  const Us nowUs = ports_.clock.monoUs();
  if (request->keepAsking) peerAskedUs_ = nowUs;
  PlatformMarksReply reply;
  if (fresh()) {
    reply.ageUs = nowUs - marks_.askedUs;
    reply.askerRank = marks_.askerRank;
    for (ListedWorker worker : marks_.marked) {
      worker.coldLeftUs = std::max<Us>(0, worker.coldLeftUs - (nowUs - marks_.receivedUs));
      if (worker.leaving || worker.coldLeftUs > 0) reply.marked.push_back(std::move(worker));
    }
  }
  rpc_.reply(asked, reply);
}

}  // namespace stonemount
