// What befalls the fleet, and what it is held to.
#include <algorithm>

#include "quota_rig.h"
#include "quota_rig_parts.h"

namespace stonemount {

namespace {
constexpr Us kVacantUs = 900 * kMilliUs;
constexpr Us kStandDownUs = 800 * kMilliUs;
constexpr Us kApplyUs = 2500 * kMilliUs;
constexpr Us kElectUs = 100 * kMilliUs;
}  // namespace

void QuotaFleet::elect() {
  for (std::uint32_t part = 0; part < kQuotaParts; ++part) electFor(part);
  after(kElectUs, [this] { elect(); });
}

// A holder that is not heard is followed by another; it goes on until it is told, or has been without a majority for a
// while by its own clock, which stands while it is frozen.
void QuotaFleet::electFor(std::uint32_t part) {
  auto well = [this](const Core& core) {
    return core.up && core.frozenUntilUs <= nowUs_ && core.chainCutUntilUs <= nowUs_;
  };
  std::optional<std::size_t>& holder = holders_[part];
  if (holder && well(*cores_[*holder]) && cores_[*holder]->holds[part]) vacantUs_[part] = nowUs_;
  for (std::size_t i = 0; i < cores_.size(); ++i) {
    Core& core = *cores_[i];
    if (!core.up || core.frozenUntilUs > nowUs_ || !core.holds[part]) continue;
    const bool cut = core.chainCutUntilUs > nowUs_;
    const bool standsDown = cut && nowUs_ - core.chainCutSinceUs > kStandDownUs;
    if (standsDown || (!cut && holder != i && chance_.oneIn(3))) core.holds[part] = false;
  }
  if (nowUs_ - vacantUs_[part] < kVacantUs) return;
  const std::size_t candidate = chance_.below(cores_.size());
  if (!well(*cores_[candidate])) return;
  holder = candidate;
  cores_[candidate]->holds[part] = true;
  vacantUs_[part] = nowUs_;
}

void QuotaFleet::trouble() {
  const std::uint64_t kind = chance_.below(10);
  if (kind < 6)
    nodeTrouble();
  else if (kind < 8)
    coreTrouble();
  else if (kind < 9)
    stalledUntilUs_ = nowUs_ + some(100 * kMilliUs, 3 * kSecondUs);
  else
    jump();
  after(some(100 * kMilliUs, 1500 * kMilliUs), [this] { trouble(); });
}

void QuotaFleet::jump() {
  favoured_.clear();
  if (plan_.jumps && !chance_.oneIn(4))
    for (std::size_t i = 0; i < 3; ++i) favoured_.push_back(chance_.below(plan_.nodes));
}

void QuotaFleet::joinHerd(std::size_t number) {
  if (thawUs_ <= nowUs_) thawUs_ = nowUs_ + 8 * kSecondUs;
  if (nowUs_ < thawUs_ - kSecondUs) nodes_[number]->frozenUntilUs = thawUs_;
}

// Callers of a herd go where nobody is frozen.
std::size_t QuotaFleet::chooseNode() {
  if (plan_.jumps && !favoured_.empty()) return favoured_[chance_.below(favoured_.size())];
  std::size_t node = chance_.below(plan_.nodes);
  for (std::size_t i = 0; plan_.herd && i < plan_.nodes && nodes_[node]->frozenUntilUs > nowUs_; ++i)
    node = (node + 1) % plan_.nodes;
  return node;
}

void QuotaFleet::nodeTrouble() {
  const std::size_t first = chance_.below(plan_.nodes);
  const std::size_t many = chance_.oneIn(6) ? 1 + plan_.nodes / 4 : 1;
  const std::uint64_t kind = chance_.below(3);
  const Us lengthUs = chance_.oneIn(4) ? some(6 * kSecondUs, 50 * kSecondUs) : some(50 * kMilliUs, 6 * kSecondUs);
  for (std::size_t i = 0; i < many; ++i) {
    const std::size_t number = (first + i) % plan_.nodes;
    Node& node = *nodes_[number];
    if (!node.up) continue;
    if (kind == 0) {
      node.up = false;
      dropLimits(number);
      after(lengthUs, [this, number] { startNode(number); });
    } else if (kind == 1) {
      node.frozenUntilUs = std::max(node.frozenUntilUs, nowUs_ + lengthUs);
    } else {
      node.cutUntilUs = std::max(node.cutUntilUs, nowUs_ + lengthUs);
    }
  }
}

void QuotaFleet::loseLeader(Us lengthUs) {
  if (holders_[0]) loseCore(*holders_[0], lengthUs);
}

void QuotaFleet::loseCore(std::size_t number, Us lengthUs) {
  Core& core = *cores_[number];
  core.up = false;
  dropLimits(plan_.nodes + number);
  for (bool& holds : core.holds) holds = false;
  after(lengthUs, [this, number] { startCore(number); });
}

void QuotaFleet::coreTrouble() {
  const std::size_t number = chance_.below(cores_.size());
  Core& core = *cores_[number];
  if (!core.up) return;
  const std::uint64_t kind = chance_.below(4);
  const Us lengthUs = some(200 * kMilliUs, 8 * kSecondUs);
  if (kind == 0) {
    loseCore(number, lengthUs);
  } else if (kind == 1) {
    core.frozenUntilUs = std::max(core.frozenUntilUs, nowUs_ + lengthUs);
  } else {
    if (core.chainCutUntilUs <= nowUs_) core.chainCutSinceUs = nowUs_;
    core.chainCutUntilUs = std::max(core.chainCutUntilUs, nowUs_ + lengthUs);
    if (kind == 3) core.cutUntilUs = core.chainCutUntilUs;
  }
}

// The limit moves at the cores soon, and at nodes within the time to apply; who is cut off hears of it later.
void QuotaFleet::moveLimit() {
  const std::size_t tenant = chance_.below(limits_.size());
  const QuotaLimit limit{1000 * (1 + chance_.below(200)), chance_.below(100)};
  limits_[tenant] = limit;
  for (std::size_t i = 0; i < views_.size(); ++i) {
    const bool cut = i < plan_.nodes && nodes_[i]->cutUntilUs > nowUs_;
    const Us heardUs = cut ? nodes_[i]->cutUntilUs + some(0, kSecondUs) : nowUs_ + some(5 * kMilliUs, kApplyUs);
    at(i < plan_.nodes ? heardUs : nowUs_ + some(5 * kMilliUs, 100 * kMilliUs), [this, i, tenant] {
      const Us frozenUs = i < plan_.nodes ? nodes_[i]->frozenUntilUs : cores_[i - plan_.nodes]->frozenUntilUs;
      at(std::max(nowUs_, frozenUs), [this, i, tenant] {
        if (views_[i]->spans.contains(tenant)) setLimit(i, tenant, limits_[tenant]);
      });
    });
  }
  after(some(kSecondUs, 10 * kSecondUs), [this] { moveLimit(); });
}

void QuotaFleet::setLimit(std::size_t process, std::size_t tenant, QuotaLimit limit) {
  View& view = *views_[process];
  view.limits[names_[tenant]] = limit;
  std::vector<LimitSpan>& spans = spans_[tenant];
  if (auto found = view.spans.find(tenant); found != view.spans.end() && --spans[found->second].users == 0)
    spans[found->second].untilUs = nowUs_;
  if (spans.empty() || spans.back().limit != limit) spans.push_back({limit, nowUs_, 0, 0});
  view.spans[tenant] = spans.size() - 1;
  ++spans.back().users;
}

// Who is dead goes by no limit.
void QuotaFleet::dropLimits(std::size_t process) {
  for (const auto& [tenant, span] : views_[process]->spans)
    if (--spans_[tenant][span].users == 0) spans_[tenant][span].untilUs = nowUs_;
  views_[process]->spans.clear();
}

std::int64_t QuotaFleet::allowedMicro(std::size_t tenant, Us fromUs) const {
  std::int64_t allowed = 0;
  for (const LimitSpan& span : spans_[tenant]) {
    const bool later = span.fromUs > fromUs + plan_.bounds.windowUs;
    const bool over = span.users == 0 && span.untilUs < fromUs - plan_.bounds.windowUs;
    if (!later && !over) allowed = std::max(allowed, quotaAllowedMicro(span.limit, plan_.bounds));
  }
  return allowed;
}

std::uint64_t QuotaFleet::worstPercentOf(std::size_t tenant) const {
  const std::vector<Us>& arrivals = tallies_[tenant].arrivals;
  std::uint64_t worst = 0;
  std::size_t last = 0;
  for (std::size_t first = 0; first < arrivals.size(); ++first) {
    while (last < arrivals.size() && arrivals[last] - arrivals[first] <= plan_.bounds.windowUs) ++last;
    const std::int64_t allowed = allowedMicro(tenant, arrivals[first]);
    worst = std::max(worst, (last - first) * kMicroTokens * 100 / static_cast<std::uint64_t>(allowed));
  }
  return worst;
}

std::uint64_t QuotaFleet::worstPercent() const {
  std::uint64_t worst = 0;
  for (std::size_t tenant = 0; tenant < tallies_.size(); ++tenant) worst = std::max(worst, worstPercentOf(tenant));
  return worst;
}

}  // namespace stonemount
