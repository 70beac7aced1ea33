#include "config/config_cache.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

namespace {
constexpr Us kHoldUs = 500 * kMilliUs;  // a tail lost right after it took news is asked for in vain so long
constexpr Us kLimitUs = 2 * kSecondUs;
constexpr Us kPeerUs = 400 * kMilliUs;
}  // namespace

ConfigCache::ConfigCache(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, ChainClient& core, Gossip& gossip)
    : ports_(ports), rpc_(rpc), room_(room), core_(core), gossip_(gossip) {}

void ConfigCache::begin() {
  rpc_.serve(ConfigCacheRequest::kKind, sigc::mem_fun(*this, &ConfigCache::onConfigCacheRequest));
  gossip_.met.connect(sigc::mem_fun(*this, &ConfigCache::onMet));
  room_.start(follow());
}

void ConfigCache::take(const ControlNews& given) {
  const Revision before = state_.revision();
  if (!state_.absorb(given) || state_.revision() == before) return;
  STONEMOUNT_INVARIANT(state_.revision() > before);
  gossip_.self().control = state_.revision();
  logEvent("control_news",
           {{"revision", absl::StrCat(state_.revision())}, {"config", absl::StrCat(state_.configRevision())}});
  news.emit();
}

void ConfigCache::takeReply(const Bytes& reply, Us askedUs) {
  auto readReply = unpack<FollowReply>(reply);
  auto* follow = std::get_if<FollowReply>(&readReply);
  if (follow == nullptr) return;
  auto readNews = unpack<ControlNews>(follow->news);
  auto* given = std::get_if<ControlNews>(&readNews);
  if (given == nullptr) return;
  freshUs_ = askedUs;
  take(*given);
  if (state_.revision() >= given->to) contact.emit({askedUs, follow->listNumber, follow->followers, follow->place});
}

Task ConfigCache::follow() {
  while (true) {
    ++asks;
    const Us askedUs = ports_.clock.monoUs();
    // Asks are spread, so that the return of the core brings no herd.
    const Us holdUs = kHoldUs + static_cast<Us>(ports_.chance.below(200)) * kMilliUs;
    Bytes query = pack(ControlQuery(FollowAsk{state_.revision()}));
    Job<ChainAnswer> asking = core_.read(std::move(query), holdUs, kLimitUs);
    ChainAnswer answer = co_await asking;
    if (auto* reply = std::get_if<Bytes>(&answer)) takeReply(*reply, askedUs);
    Pause pause(ports_.timers, static_cast<Us>(5 + ports_.chance.below(20)) * kMilliUs);
    co_await pause;
  }
}

// A peer's record tells of newer news than ours: ask it, whatever became of the core.
void ConfigCache::onMet(const PeerRecord& record) {
  if (record.role != Role::kNode || record.control <= state_.revision() || asking_) return;
  asking_ = true;
  room_.start(catchUpFromPeer(record.wire));
}

Task ConfigCache::catchUpFromPeer(Address peer) {
  Job<std::variant<ControlNews, PeerSilent>> job =
      ask<ControlNews>(rpc_, peer, ConfigCacheRequest{state_.revision()}, kPeerUs);
  std::variant<ControlNews, PeerSilent> verdict = co_await job;
  if (auto* given = std::get_if<ControlNews>(&verdict)) take(*given);
  asking_ = false;
}

void ConfigCache::onConfigCacheRequest(const Asked& asked) {
  auto message = unpack<ConfigCacheRequest>(asked.body);
  if (!std::holds_alternative<ConfigCacheRequest>(message) || !ready()) return;
  rpc_.reply(asked, state_.newsSince(std::get<ConfigCacheRequest>(message).since));
}

}  // namespace stonemount
