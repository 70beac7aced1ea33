#include "safe_time/sampler.h"

#include <absl/strings/str_cat.h>

#include "store/commands.h"

namespace stonemount {

namespace {
constexpr Us kStoreLimitUs = 1500 * kMilliUs;
constexpr Us kAgainUs = 200 * kMilliUs;
}  // namespace

Sampler::Sampler(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, Election& election, ChainClient& store,
                 const Replica& clocks, SafeTimePlan plan)
    : ports_(ports), rpc_(rpc), room_(room), election_(election), store_(store), clocks_(clocks), plan_(plan) {}

Task Sampler::run() {
  while (true) {
    if (!election_.holds(kDuty)) {
      Pause pause(ports_.timers, kAgainUs);
      co_await pause;
      continue;
    }
    Job<bool> pinning = pin();
    bool leading = co_await pinning;
    while (leading && election_.holds(kDuty)) {
      Pause pause(ports_.timers, plan_.sampleUs);
      co_await pause;
      Job<bool> sampling = round();
      leading = co_await sampling;
      if (!leading) break;
      Job<Done> sweeping = sweep();
      co_await sweeping;
    }
    if (session_ != 0) logEvent("sampler_ended", {{"epoch", absl::StrCat(epoch_)}});
    session_ = 0;
    Pause pause(ports_.timers, kAgainUs);
    co_await pause;
  }
}

Job<bool> Sampler::pin() {
  Job<Done> refreshing = store_.refresh();
  co_await refreshing;
  if (store_.view().chain.empty()) co_return false;
  const Address head = store_.view().chain.front().address;
  Job<std::variant<SessionVerdict, PeerSilent>> opening =
      ask<SessionVerdict>(rpc_, head, SessionAsk{rpc_.self()}, kStoreLimitUs);
  std::variant<SessionVerdict, PeerSilent> opened = co_await opening;
  auto* session = std::get_if<SessionVerdict>(&opened);
  if (session == nullptr || !session->granted) co_return false;
  session_ = session->session;
  lastMonoUs_ = ports_.clock.monoUs();
  lastWallUs_ = ports_.clock.wallUs();
  round_ = 0;
  Bytes command = pack(StoreCommand(LockWish{rpc_.self(), session_}));
  Job<ChainAnswer> locking = store_.submit(std::move(command), kStoreLimitUs);
  ChainAnswer answer = co_await locking;
  if (!std::holds_alternative<Bytes>(answer)) co_return false;
  auto read = unpack<StoreVerdict>(std::get<Bytes>(answer));
  auto* verdict = std::get_if<StoreVerdict>(&read);
  if (verdict == nullptr || verdict->outcome != StoreOutcome::kDone) co_return false;
  epoch_ = verdict->epoch;
  logEvent("sampler_leads", {{"epoch", absl::StrCat(epoch_)}, {"head", addressText(head)}});
  co_return true;
}

Job<bool> Sampler::round() {
  CutProposal proposal;
  proposal.epoch = epoch_;
  proposal.session = session_;
  proposal.round = ++round_;
  const Us monoUs = ports_.clock.monoUs();
  const Us wallUs = ports_.clock.wallUs();
  proposal.samplerElapsedUs = monoUs - lastMonoUs_;
  proposal.samplerStepUs = (wallUs - lastWallUs_) - proposal.samplerElapsedUs;
  HeadSight sight = clocks_.sight();
  proposal.wallsUs = std::move(sight.wallsUs);
  proposal.clocks = sight.clocks;
  lastMonoUs_ = monoUs;
  lastWallUs_ = wallUs;
  Job<ChainAnswer> sending = store_.submit(pack(StoreCommand(proposal)), kStoreLimitUs);
  ChainAnswer answer = co_await sending;
  if (!std::holds_alternative<Bytes>(answer)) co_return false;
  auto read = unpack<StoreVerdict>(std::get<Bytes>(answer));
  auto* verdict = std::get_if<StoreVerdict>(&read);
  // Each round shows whether session, lock and epoch are still its own; any doubt ends it.
  co_return verdict != nullptr && verdict->outcome == StoreOutcome::kDone && verdict->epoch == epoch_;
}

Job<Done> Sampler::sweep() {
  Job<ChainAnswer> sending = store_.submit(pack(StoreCommand(Sweep{})), kStoreLimitUs);
  co_await sending;
  co_return Done{};
}

}  // namespace stonemount
