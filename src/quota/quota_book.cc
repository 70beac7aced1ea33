#include "quota/quota_book.h"

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kAtOnceUs = 20 * kMilliUs;  // between two reservations, where questions find nothing
constexpr Us kSoonUs = 100 * kMilliUs;   // the same, where stocks are low or buckets empty
constexpr Us kProveEveryUs = kSecondUs;  // a leader that has stock reserves something this often
constexpr Us kAskersSpanUs = kSecondUs;
constexpr Us kLeastEmptyUs = 30 * kMilliUs;
constexpr Us kMostEmptyUs = kSecondUs;
constexpr Us kSweepEveryUs = kSecondUs;
constexpr std::size_t kMostRequests = 256;  // in one reservation
constexpr std::uint64_t kLeastOut = 2;      // promised beyond what is out, where there is room

std::uint64_t stockTarget(const QuotaBudget& budget) {
  return static_cast<std::uint64_t>(budget.capMicro / kMicroTokens + 1) / 2;
}
}  // namespace

void QuotaBook::begin(std::uint64_t epoch, Us nowUs) {
  end();
  epoch_ = epoch;
  zeroUs_ = provenUs_ = sweptUs_ = nowUs;
  proposedUs_ = nowUs - kSoonUs;
  number_ = 0;
  findLimited();
}

void QuotaBook::end() {
  epoch_ = 0;
  underWay_ = false;
  proposed_.clear();
  accounts_.clear();
  holders_.clear();
}

// The limit may change at any time; a lower one takes what the stock has above it.
QuotaBook::Account& QuotaBook::account(const std::string& tenant) {
  Account& account = accounts_[tenant];
  const QuotaLimit limit = limits_.limitOf(tenant);
  if (limit == account.limit) return account;
  account.limit = limit;
  account.budget = quotaBudget(limit, bounds_);
  const auto cap = static_cast<std::uint64_t>(account.budget.capMicro / kMicroTokens);
  account.stock = std::min(account.stock, cap);
  account.mostOut = std::min(account.mostOut, account.budget.mostOut);
  account.lacking = true;
  account.dry = false;
  return account;
}

void QuotaBook::dropHolder(const Holder& holder) {
  for (const auto& [tenant, out] : holder.out) accounts_[tenant].out -= out;
}

// Tenants have stock before they ask.
void QuotaBook::findLimited() {
  for (const std::string& tenant : limits_.limited())
    if (quotaPart(tenant) == part_) account(tenant);
}

// Who has not been heard for so long is given up; what it holds would be dropped as it thaws.
void QuotaBook::sweep(Us nowUs) {
  if (nowUs - sweptUs_ < kSweepEveryUs) return;
  sweptUs_ = nowUs;
  for (auto entry = holders_.begin(); entry != holders_.end();) {
    auto holder = entry++;
    if (nowUs - holder->second.heardUs <= kOutWrittenOffUs) continue;
    dropHolder(holder->second);
    holders_.erase(holder);
  }
  findLimited();
  for (auto entry = accounts_.begin(); entry != accounts_.end();) {
    const bool gone = account(entry->first).limit.none() && entry->second.out == 0;
    entry = gone ? accounts_.erase(entry) : std::next(entry);
  }
}

// None: an older message, or one that came twice.
QuotaBook::Holder* QuotaBook::heard(const Address& node, const QuotaAsk& state, Us nowUs) {
  Holder& holder = holders_[node];
  if (holder.life == state.life && holder.number >= state.number) return nullptr;
  holder.life = state.life;
  holder.number = state.number;
  holder.heardUs = nowUs;
  setOut(holder, state);
  return &holder;
}

// What a node holds of another epoch is counted in the ledger already.
void QuotaBook::setOut(Holder& holder, const QuotaAsk& state) {
  dropHolder(holder);
  holder.out.clear();
  if (state.epoch != epoch_) return;
  for (const QuotaNeed& need : state.needs) {
    if (need.held == 0 || holder.out.contains(need.tenant)) continue;
    holder.out[need.tenant] = need.held;
    account(need.tenant).out += need.held;
  }
}

void QuotaBook::note(const Address& node, const QuotaAsk& state, Us nowUs) {
  if (leads()) heard(node, state, nowUs);
}

QuotaReply QuotaBook::answer(const Address& node, const QuotaAsk& ask, Us nowUs) {
  QuotaReply reply;
  reply.leads = true;
  reply.epoch = epoch_;
  Holder* holder = heard(node, ask, nowUs);
  if (holder == nullptr) return reply;
  for (const QuotaNeed& need : ask.needs)
    if (need.waiting > 0 || need.ahead > 0) reply.grants.push_back(grant(*holder, node, need, nowUs));
  return reply;
}

QuotaGrant QuotaBook::grant(Holder& holder, const Address& node, const QuotaNeed& need, Us nowUs) {
  Account& account = this->account(need.tenant);
  if (account.limit.none()) return {need.tenant, need.waiting, 0, false};
  const bool proven = nowUs - provenUs_ <= kStockValidUs;
  const std::uint64_t roomOut = account.mostOut - std::min(account.mostOut, account.out);
  const std::uint64_t room = proven ? std::min(account.stock, roomOut) : 0;
  std::uint64_t granted = std::min<std::uint64_t>(room, need.waiting);
  granted += std::min<std::uint64_t>((room - granted) / 2, need.ahead);
  account.stock -= granted;
  account.out += granted;
  account.granted += granted;
  if (granted > 0) holder.out[need.tenant] += granted;
  account.lacking |= granted < need.waiting || 2 * account.stock <= stockTarget(account.budget);
  QuotaGrant told{need.tenant, static_cast<std::uint32_t>(granted), 0, 8 * account.out > account.budget.mostOut};
  if (granted < need.waiting && account.dry && account.stock == 0) {
    told.emptyUs = emptyUs(account, node, nowUs);
    account.refused += need.waiting - granted;
  }
  return told;
}

// All who ask in vain come back one after the other, about twice as often as tokens are made.
Us QuotaBook::emptyUs(Account& account, const Address& node, Us nowUs) {
  if (nowUs - account.askersUs > kAskersSpanUs) {
    account.askersBefore = std::move(account.askers);
    account.askers.clear();
    if (nowUs - account.askersUs > 2 * kAskersSpanUs) account.askersBefore.clear();
    account.askersUs = nowUs;
  }
  account.askers.insert(node);
  const auto askers = static_cast<Us>(std::max(account.askers.size(), account.askersBefore.size()));
  const Us tokenUs = 1000 * kSecondUs / static_cast<Us>(account.budget.refillPerKs);
  const Us fairUs = std::clamp(askers * tokenUs / 2, kLeastEmptyUs, kMostEmptyUs);
  const std::uint64_t mark =
      (static_cast<std::uint64_t>(node.ip) << 16) + node.port + static_cast<std::uint64_t>(nowUs);
  return fairUs / 2 + static_cast<Us>(spread(pack(mark)) % static_cast<std::uint64_t>(fairUs / 2 + 1));
}

QuotaBook::Need QuotaBook::needOf(const Account& account, Us sinceUs) const {
  if (account.limit.none() || !account.lacking) return Need::kNone;
  const std::int64_t levelMicro =
      account.levelMicro + static_cast<std::int64_t>(account.budget.refillPerKs) * sinceUs / 1000;
  const bool bound = account.out >= account.mostOut;
  const bool low = 4 * account.stock <= stockTarget(account.budget) && levelMicro >= kMicroTokens;
  if (!account.dry && (bound || low)) return Need::kAtOnce;
  return bound || levelMicro >= kMicroTokens ? Need::kSoon : Need::kNone;
}

bool QuotaBook::due(Us nowUs) const {
  const Us sinceUs = nowUs - proposedUs_;
  if (sinceUs < kAtOnceUs) return false;
  bool stocked = false;
  for (const auto& [tenant, account] : accounts_) {
    const Need need = needOf(account, sinceUs);
    if (need == Need::kAtOnce || (need == Need::kSoon && sinceUs >= kSoonUs)) return true;
    stocked |= account.stock > 0;
  }
  return stocked && sinceUs >= kProveEveryUs;
}

QuotaRequest QuotaBook::requestFor(const std::string& tenant, const Account& account) const {
  const std::uint64_t target = stockTarget(account.budget);
  const std::uint64_t mostOut = 2 * account.out + target + kLeastOut;
  return {tenant, account.budget, account.stock, account.out, mostOut, target - std::min(target, account.stock)};
}

std::optional<ReserveQuota> QuotaBook::reservation(Us nowUs) {
  if (!leads() || underWay_) return std::nullopt;
  sweep(nowUs);
  if (!due(nowUs)) return std::nullopt;
  ReserveQuota command{part_, epoch_, ++number_, nowUs - zeroUs_, {}};
  for (auto& [tenant, account] : accounts_) {
    if (account.limit.none() || !account.lacking || command.requests.size() >= kMostRequests) continue;
    account.lacking = false;
    command.requests.push_back(requestFor(tenant, account));
  }
  underWay_ = true;
  proposedUs_ = nowUs;
  proposed_ = command.requests;
  return command;
}

void QuotaBook::take(const QuotaVerdict& verdict, Us nowUs) {
  if (!underWay_) return;
  underWay_ = false;
  if (!verdict.current || verdict.epoch != epoch_ || verdict.reserved.size() != proposed_.size()) return end();
  provenUs_ = proposedUs_;
  zeroUs_ += std::max<Us>(0, nowUs - proposedUs_ - quotaMostLagUs(bounds_));
  for (std::size_t i = 0; i < proposed_.size(); ++i) {
    const QuotaRequest& request = proposed_[i];
    const QuotaReserved& reserved = verdict.reserved[i];
    Account& account = accounts_[request.tenant];
    account.mostOut = std::min(reserved.mostOut, std::max(account.out, account.budget.mostOut));
    account.levelMicro = reserved.levelMicro;
    account.dry = reserved.taken < request.wanted && reserved.levelMicro < kMicroTokens;
    account.lacking |= reserved.taken < request.wanted;
    // What was reserved under a higher limit than now is not granted.
    if (account.budget == request.budget) account.stock += reserved.taken;
  }
}

void QuotaBook::fail() {
  underWay_ = false;
  for (const QuotaRequest& request : proposed_) accounts_[request.tenant].lacking = true;
}

std::vector<QuotaBookEntry> QuotaBook::entries() const {
  std::vector<QuotaBookEntry> entries;
  for (const auto& [tenant, account] : accounts_)
    entries.push_back({tenant, account.limit, account.stock, account.out, account.granted, account.refused});
  return entries;
}

}  // namespace stonemount
