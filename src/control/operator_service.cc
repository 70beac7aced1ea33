#include "control/operator_service.h"

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kLimitUs = 2500 * kMilliUs;
constexpr Us kSureUs = 800 * kMilliUs;
constexpr Us kPollUs = 250 * kMilliUs;  // of the members, see ChainClient
constexpr Us kAgainUs = 50 * kMilliUs;

struct ByOrder {
  template <class Item>
  bool operator()(const Item& left, const Item& right) const {
    return left.order < right.order;
  }
};
}  // namespace

Job<ChainAnswer> submitWhenHeard(Ports& ports, ChainClient& chain, Bytes command, Us limitUs, Us sureUs) {
  const Us askedUs = ports.clock.monoUs();
  while (true) {
    Job<bool> finding = chain.findHead();
    const bool found = co_await finding;
    if (found) break;
    if (ports.clock.monoUs() - askedUs + kAgainUs + kPollUs > sureUs) co_return ChainFailure{};
    Pause pause(ports.timers, kAgainUs);
    co_await pause;
  }
  const Us passedUs = ports.clock.monoUs() - askedUs;
  Job<ChainAnswer> sending = chain.submit(std::move(command), limitUs - passedUs, sureUs - passedUs);
  ChainAnswer answer = co_await sending;
  co_return answer;
}

// A tail that is silent would take the whole time of a read by itself: who its successor is, is asked first. An
// operator waits for a second, and goes on to another core.
Job<ChainAnswer> readNewest(ChainClient& chain, Bytes query) {
  Job<Done> refreshing = chain.refresh();
  co_await refreshing;
  Job<ChainAnswer> reading = chain.read(std::move(query), 0, kSureUs - kPollUs);
  ChainAnswer answer = co_await reading;
  co_return answer;
}

Job<OperatorService::CommandAnswer> OperatorService::command(ControlCommand command) {
  Job<ChainAnswer> sending = submitWhenHeard(ports_, core_, pack(command), kLimitUs, kSureUs);
  ChainAnswer answer = co_await sending;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) co_return *failure;
  auto read = unpack<ControlVerdict>(std::get<Bytes>(answer));
  auto* verdict = std::get_if<ControlVerdict>(&read);
  if (verdict == nullptr) co_return ChainFailure{ChainError::kUnreachable, true};
  co_return std::move(*verdict);
}

Job<PushVerdict> OperatorService::push(ConfigRequest wish) {
  ControlCommand wished = PutConfig{std::move(wish)};
  Job<CommandAnswer> sending = command(std::move(wished));
  CommandAnswer answer = co_await sending;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) {
    if (failure->unsure) co_return CallUnsure{};
    co_return CallUntaken{failure->trouble};
  }
  ControlVerdict& verdict = std::get<ControlVerdict>(answer);
  switch (verdict.outcome) {
    case ControlOutcome::kDone:
      co_return ConfigTaken{verdict.configRevision, false};
    case ControlOutcome::kUnchanged:
      co_return ConfigTaken{verdict.configRevision, true};
    case ControlOutcome::kConflict:
      co_return ConfigConflict{verdict.configRevision};
    case ControlOutcome::kNotAbove:
      co_return ConfigNotAbove{verdict.configRevision};
    case ControlOutcome::kInvalid:
      co_return ConfigInvalid{verdict.flaw, std::move(verdict.flawed)};
    case ControlOutcome::kUnclear:
      co_return CallUnsure{};
    default:
      break;
  }
  co_return CallUntaken{};  // the machine could not read it
}

Job<ConfigAnswer> OperatorService::current() {
  ControlQuery query = NewsAsk{0};
  Job<ChainAnswer> reading = readNewest(core_, pack(query));
  ChainAnswer answer = co_await reading;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) co_return CallUntaken{failure->trouble};
  auto read = unpack<ControlNews>(std::get<Bytes>(answer));
  auto* news = std::get_if<ControlNews>(&read);
  if (news == nullptr) co_return CallUntaken{};
  if (news->configRevision == 0) co_return NoConfig{};
  std::stable_sort(news->routes.begin(), news->routes.end(), ByOrder());
  std::stable_sort(news->pools.begin(), news->pools.end(), ByOrder());
  std::stable_sort(news->tenants.begin(), news->tenants.end(), ByOrder());
  co_return ConfigSight{news->configRevision,    std::move(news->routes), std::move(news->pools),
                        std::move(news->limits), std::move(news->given),  std::move(news->tenants),
                        news->keysNeeded};
}

// A member of the chain knows which order for the zone was the newest as the call came in; a process without a seat
// does not, and its order is taken as it comes.
Job<ZoneVerdict> OperatorService::setZone(std::string zone, bool evacuated) {
  ControlCommand wished = SetZone{zone, evacuated};
  if (replica_ != nullptr && replica_->active()) wished = SetZoneSince{zone, evacuated, machine_->zoneOrdered(zone)};
  Job<CommandAnswer> sending = command(std::move(wished));
  CommandAnswer answer = co_await sending;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) {
    if (failure->unsure) co_return CallUnsure{};
    co_return CallUntaken{failure->trouble};
  }
  if (std::get<ControlVerdict>(answer).outcome == ControlOutcome::kUnclear) co_return CallUnsure{};
  co_return ZoneTaken{};
}

}  // namespace stonemount
