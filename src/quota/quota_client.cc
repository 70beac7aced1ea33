#include "quota/quota_client.h"

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kAskLimitUs = 150 * kMilliUs;
constexpr Us kNobodyUs = 30 * kMilliUs;  // between two questions while no leader is known
constexpr Us kUnreachableAgainUs = 200 * kMilliUs;
}  // namespace

// A request that waits; it is decided by the answer to a question, or leaves.
class QuotaClient::Wait : public QuotaWait {
 public:
  Wait(QuotaHoldings& holdings, std::string tenant, Clock& clock)
      : holdings_(holdings), tenant_(std::move(tenant)), clock_(clock) {}
  // Its request may be destroyed while it waits, or with a token that it has not taken up.
  ~Wait() override {
    holdings_.leave(tenant_, *this, false);
    if (token_) holdings_.giveBack(*token_, clock_.monoUs());
  }
  void decided(std::optional<QuotaToken> token) override {
    token_ = std::move(token);
    decided_ = true;
    bell.notify();
  }
  bool isDecided() const { return decided_; }
  std::optional<QuotaToken> take() { return std::exchange(token_, std::nullopt); }
  Event bell;

 private:
  QuotaHoldings& holdings_;
  std::string tenant_;
  Clock& clock_;
  std::optional<QuotaToken> token_;
  bool decided_ = false;
};

QuotaClient::QuotaClient(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, const QuotaLimits& limits, Cores cores)
    : ports_(ports), rpc_(rpc), room_(room), cores_(std::move(cores)), holdings_(ports.chance.next(), limits) {}

void QuotaClient::begin() {
  for (std::uint32_t part = 0; part < kQuotaParts; ++part) room_.start(keep(part));
}

QuotaRefusal QuotaClient::refusal(const std::string& tenant) const {
  const Us nowUs = ports_.clock.monoUs();
  if (!holdings_.inTouch(quotaPart(tenant), nowUs)) return {QuotaDenial::kUnreachable, kUnreachableAgainUs};
  return {QuotaDenial::kOverLimit, holdings_.refusedUs(tenant, nowUs)};
}

Job<QuotaAnswer> QuotaClient::admit(std::string tenant, Us waitUs) {
  const std::uint32_t part = quotaPart(tenant);
  Wait wait(holdings_, tenant, ports_.clock);
  QuotaToken token;
  const Admission admission = holdings_.admit(tenant, token, wait, ports_.clock.monoUs());
  if (admission == Admission::kAdmitted) co_return token;
  if (admission == Admission::kRefused) co_return refusal(tenant);
  bells_[part].notify();
  EventWait waiting(ports_.timers, wait.bell, waitUs);
  co_await waiting;
  std::optional<QuotaToken> granted = wait.take();
  if (granted) co_return std::move(*granted);
  if (!wait.isDecided()) holdings_.leave(tenant, wait, true);
  co_return refusal(tenant);
}

void QuotaClient::spend(const QuotaToken& token) {
  if (holdings_.spend(token, ports_.clock.monoUs())) bells_[quotaPart(token.tenant)].notify();
}

void QuotaClient::giveBack(const QuotaToken& token) { holdings_.giveBack(token, ports_.clock.monoUs()); }

Task QuotaClient::keep(std::uint32_t part) {
  while (true) {
    const Us nowUs = ports_.clock.monoUs();
    const Us idleUs = holdings_.idleUs(part, nowUs);
    const bool reports = holdings_.reportDue(part, nowUs);
    if (holdings_.askDue(part, nowUs) || (reports && !leaders_[part].set())) {
      Job<Done> asking = askLeader(part);
      co_await asking;
      continue;
    }
    if (reports) rpc_.tell(leaders_[part], QuotaReport{holdings_.report(part)});
    EventWait waiting(ports_.timers, bells_[part], std::max(idleUs, kMilliUs));
    co_await waiting;
  }
}

// Any core knows who leads.
Address QuotaClient::coreToAsk(std::uint32_t part) {
  if (leaders_[part].set()) return leaders_[part];
  const std::vector<Address> cores = cores_();
  return cores.empty() ? Address() : cores[ports_.chance.below(cores.size())];
}

Job<Done> QuotaClient::askLeader(std::uint32_t part) {
  const Address core = coreToAsk(part);
  if (!core.set()) {
    Pause pause(ports_.timers, kNobodyUs);
    co_await pause;
    co_return Done{};
  }
  QuotaAsk question = holdings_.ask(part, ports_.clock.monoUs());
  Job<std::variant<QuotaReply, PeerSilent>> asking =
      ::stonemount::ask<QuotaReply>(rpc_, core, std::move(question), kAskLimitUs);
  const std::variant<QuotaReply, PeerSilent> answer = co_await asking;
  auto* reply = std::get_if<QuotaReply>(&answer);
  if (reply == nullptr) {
    holdings_.silent(part, ports_.clock.monoUs());
    leaders_[part] = {};
    co_return Done{};
  }
  holdings_.take(part, *reply, ports_.clock.monoUs());
  leaders_[part] = reply->leads ? core : reply->leader;
  if (reply->leads || reply->leader.set()) co_return Done{};
  Pause pause(ports_.timers, kNobodyUs);
  co_await pause;
  co_return Done{};
}

}  // namespace stonemount
