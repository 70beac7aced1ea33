// What a node tells the leaders of the parts, and what it takes from their answers.
#include <algorithm>

#include "quota/quota_holdings.h"

namespace stonemount {

namespace {
constexpr Us kReplyValidUs = kSecondUs;  // an answer to an older question is not used
}  // namespace

QuotaAsk QuotaHoldings::state(std::uint32_t number, Us nowUs) {
  Part& part = parts_[number];
  part.spent = false;
  QuotaAsk state{number, life_, ++number_, part.epoch, {}};
  for (const auto& [tenant, holding] : part.holdings) {
    QuotaNeed need{tenant, holding.held + holding.inHand, static_cast<std::uint32_t>(holding.waiting.size()), 0};
    const std::uint32_t ahead = nowUs < holding.emptyUntilUs ? 0 : aheadOf(holding, nowUs);
    need.ahead = ahead - std::min(ahead, holding.held);
    if (need.held > 0 || need.waiting > 0 || need.ahead > 0) state.needs.push_back(std::move(need));
  }
  return state;
}

QuotaAsk QuotaHoldings::ask(std::uint32_t number, Us nowUs) {
  Part& part = parts_[number];
  dropOld(part, nowUs);
  part.underWay = true;
  part.askedUs = nowUs;
  ++counts_.asks;
  return state(number, nowUs);
}

QuotaAsk QuotaHoldings::report(std::uint32_t number) {
  ++counts_.reports;
  QuotaAsk state = this->state(number, 0);
  for (QuotaNeed& need : state.needs) need.waiting = need.ahead = 0;
  std::erase_if(state.needs, [](const QuotaNeed& need) { return need.held == 0; });
  return state;
}

// Another leader: what the one before granted is in its count no more.
void QuotaHoldings::enterEpoch(Part& part, std::uint64_t epoch) {
  part.epoch = epoch;
  for (auto& [tenant, holding] : part.holdings) {
    counts_.dropped += std::exchange(holding.held, 0);
    holding.inHand = 0;
  }
}

void QuotaHoldings::take(std::uint32_t number, const QuotaReply& reply, Us nowUs) {
  Part& part = parts_[number];
  part.underWay = false;
  // Late by a freeze, or from one that leads no more: not used, and the next question tells that.
  if (!reply.leads || nowUs - part.askedUs > kReplyValidUs || reply.epoch < part.epoch) {
    noteSpent(part, nowUs);
    return;
  }
  part.answeredUs = part.askedUs;
  if (reply.epoch > part.epoch) enterEpoch(part, reply.epoch);
  part.tight = false;
  for (const QuotaGrant& grant : reply.grants) {
    part.tight |= grant.tight;
    takeGrant(part, grant, nowUs);
  }
}

void QuotaHoldings::takeGrant(Part& part, const QuotaGrant& grant, Us nowUs) {
  auto found = part.holdings.find(grant.tenant);
  if (found == part.holdings.end()) {
    noteSpent(part, nowUs);
    return;
  }
  Holding& holding = found->second;
  if (grant.granted > 0) holding.heldUs = part.askedUs;
  holding.held += grant.granted;
  while (holding.held > 0 && !holding.waiting.empty()) {
    QuotaWait* next = holding.waiting.front();
    holding.waiting.pop_front();
    --holding.held;
    ++holding.inHand;
    ++counts_.waited;
    next->decided(QuotaToken{grant.tenant, part.epoch});
  }
  if (grant.emptyUs <= 0) return;
  holding.emptyUntilUs = nowUs + grant.emptyUs;
  std::deque<QuotaWait*> refused = std::move(holding.waiting);
  holding.waiting.clear();
  counts_.refusedEmpty += refused.size();
  for (QuotaWait* wait : refused) wait->decided(std::nullopt);
}

void QuotaHoldings::silent(std::uint32_t number, Us nowUs) {
  parts_[number].underWay = false;
  noteSpent(parts_[number], nowUs);
  ++counts_.silent;
}

}  // namespace stonemount
