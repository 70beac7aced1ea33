#include "quota/quota_ledger.h"

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kMostRefillUs = 1000 * kSecondUs;  // every bucket is full by then, and sums stay within 64 bits

// Half of the room that is left: should this leader be lost, the next one finds some too.
std::uint64_t ownShare(std::uint64_t room) { return (room + 1) / 2; }
}  // namespace

void QuotaLedger::expire(Account& account, Us timeUs) {
  if (timeUs >= account.voidUntilUs) account.voidStock = 0;
  if (timeUs >= account.lostUntilUs) account.lostOut = 0;
}

// What the leaders before had may still be granted and spent: it stays counted.
QuotaVerdict QuotaLedger::apply(const TakeQuotaPart& command) {
  if (command.part >= kQuotaParts) return {};
  Part& part = parts_[command.part];
  ++part.epoch;
  part.number = 0;
  part.sinceTakeUs = 0;
  for (auto entry = part.accounts.begin(); entry != part.accounts.end();) {
    Account& account = entry->second;
    expire(account, part.timeUs);
    if (account.stock > 0) account.voidUntilUs = part.timeUs + kStockVoidUs;
    if (account.out > 0) account.lostUntilUs = part.timeUs + kOutWrittenOffUs;
    account.voidStock += std::exchange(account.stock, 0);
    account.lostOut += std::exchange(account.out, 0);
    const bool idle = account.voidStock == 0 && account.lostOut == 0 && part.timeUs - account.filledUs > kMostRefillUs;
    entry = idle ? part.accounts.erase(entry) : std::next(entry);
  }
  return {true, part.epoch, {}};
}

QuotaVerdict QuotaLedger::apply(const ReserveQuota& command) {
  auto found = parts_.find(command.part);
  if (found == parts_.end()) return {};
  Part& part = found->second;
  if (command.epoch != part.epoch || command.number <= part.number) return {false, part.epoch, {}};
  part.number = command.number;
  part.timeUs += std::max<Us>(0, command.sinceTakeUs - part.sinceTakeUs);
  part.sinceTakeUs = std::max(part.sinceTakeUs, command.sinceTakeUs);
  QuotaVerdict verdict{true, part.epoch, {}};
  for (const QuotaRequest& request : command.requests) verdict.reserved.push_back(reserve(part, request));
  return verdict;
}

// Bucket and stocks together never hold more than the cap.
void QuotaLedger::refill(Account& account, const QuotaRequest& request, Us timeUs) {
  const Us elapsedUs = std::min(timeUs - account.filledUs, kMostRefillUs);
  account.levelMicro += static_cast<std::int64_t>(request.budget.refillPerKs) * elapsedUs / 1000;
  account.filledUs = timeUs;
  const std::int64_t stocksMicro = static_cast<std::int64_t>(request.stock + account.voidStock) * kMicroTokens;
  account.levelMicro = std::min(account.levelMicro, std::max<std::int64_t>(0, request.budget.capMicro - stocksMicro));
}

QuotaReserved QuotaLedger::reserve(Part& part, const QuotaRequest& request) {
  auto [entry, fresh] = part.accounts.try_emplace(request.tenant);
  Account& account = entry->second;
  if (fresh) account = {request.budget.capMicro, part.timeUs};
  expire(account, part.timeUs);
  refill(account, request, part.timeUs);
  const std::uint64_t roomOut = request.budget.mostOut - std::min(request.budget.mostOut, account.lostOut);
  const auto cap = static_cast<std::uint64_t>(request.budget.capMicro / kMicroTokens);
  const std::uint64_t ownStock = ownShare(cap - std::min(cap, account.voidStock));
  const auto level = static_cast<std::uint64_t>(account.levelMicro / kMicroTokens);
  QuotaReserved reserved;
  reserved.taken = std::min({level, request.wanted, ownStock - std::min(ownStock, request.stock)});
  reserved.mostOut = std::max(request.out, std::min(request.mostOut, ownShare(roomOut)));
  account.levelMicro -= static_cast<std::int64_t>(reserved.taken) * kMicroTokens;
  account.stock = request.stock + reserved.taken;
  account.out = reserved.mostOut;
  reserved.levelMicro = account.levelMicro;
  return reserved;
}

std::uint64_t QuotaLedger::epoch(std::uint32_t part) const {
  auto found = parts_.find(part);
  return found == parts_.end() ? 0 : found->second.epoch;
}

Us QuotaLedger::timeUs(std::uint32_t part) const {
  auto found = parts_.find(part);
  return found == parts_.end() ? 0 : found->second.timeUs;
}

}  // namespace stonemount
