#include "proxy/cold_allowance.h"

#include <algorithm>

#include "runtime/address_hash.h"

namespace stonemount {

void ColdAllowance::setSharers(std::vector<Address> known, std::size_t count, bool settled) {
  std::erase(known, self_);
  count = std::max(count, known.size() + 1);
  if (count != count_ || known != known_) ++sharersSeen_;
  known_ = std::move(known);
  count_ = count;
  settled_ = settled;
}

void ColdAllowance::tick() {
  const Us nowUs = clock_.monoUs();
  if (frozen()) wokeUs_ = nowUs;
  tickUs_ = nowUs;
}

bool ColdAllowance::frozen() const { return tickUs_ >= 0 && clock_.monoUs() - tickUs_ > kFrozenUs; }

bool ColdAllowance::silent(const WarmthRecord& record) const {
  return record.unansweredSinceUs >= 0 && clock_.monoUs() - record.unansweredSinceUs > kSilentUs;
}

Warmth ColdAllowance::warmthOf(const WarmthRecord& record) const {
  const Us nowUs = clock_.monoUs();
  if (nowUs < record.coldUntilUs || frozen()) return Warmth::kCold;
  const Us doubtedUs = std::max(record.doubtedUs, wokeUs_);
  if (doubtedUs >= 0 && warmAsOfUs(record) <= doubtedUs) return Warmth::kCold;
  const bool stale = listAsOfUs_ >= 0 && nowUs - warmAsOfUs(record) > kListStaleUs;
  if (stale || silent(record)) return Warmth::kCold;
  return metLately(record) ? Warmth::kUnproven : Warmth::kWarm;
}

// It may have been down unseen before this node met it; a list of that time, or its own word, tells otherwise. Its word
// is from before a gap in the contact if the two are further apart than a gap is.
bool ColdAllowance::metLately(const WarmthRecord& record) const {
  const Us nowUs = clock_.monoUs();
  if (record.heardUs < 0 || nowUs - record.heardUs > kContactGapUs) return true;
  const bool proven = record.provenUs >= 0 && record.contactSinceUs - record.provenUs <= kContactGapUs;
  return !proven && nowUs - record.contactSinceUs < kUnprovenUs;
}

bool ColdAllowance::wantsProbe(const WarmthRecord& record) const {
  const Us nowUs = clock_.monoUs();
  if (frozen() || warmthOf(record) == Warmth::kWarm) return false;
  if (nowUs < record.coldUntilUs && !coldnessMayBeOver(record)) return false;
  return record.probedUs < 0 || nowUs - record.probedUs >= kProbeAgainUs;
}

PoolWarmth ColdAllowance::poolWarmth(std::size_t cold, std::size_t all) const {
  if (cold == 0 && !listOld() && controlHeard_) return PoolWarmth::kAllWarm;
  return cold * 3 < all ? PoolWarmth::kSomeCold : PoolWarmth::kManyCold;
}

// How many of the nodes come before this one at that worker. Of those that are not known, as many as among the known.
std::uint64_t ColdAllowance::rankAmongSharers(const Address& worker) const {
  const std::uint64_t mine = addressPairHash(worker, self_);
  std::uint64_t before = 0;
  for (const Address& node : known_) before += addressPairHash(worker, node) < mine ? 1 : 0;
  return before * count_ / (known_.size() + 1);
}

bool ColdAllowance::amongFirst(const WarmthRecord& record, const Address& worker, std::uint64_t places) const {
  if (record.sharersSeen != sharersSeen_) {
    record.sharersSeen = sharersSeen_;
    record.amongFirst = rankAmongSharers(worker) < places;
  }
  return record.amongFirst;
}

// The rate is dealt out in whole requests; what does not come out even goes to the first nodes, in an order that
// differs from worker to worker, so that no node goes without a place everywhere.
bool ColdAllowance::allows(const WarmthRecord& record, Warmth warmth, const Address& worker, std::uint64_t ratePerKs,
                           PoolWarmth pool) const {
  if (ratePerKs == 0) return true;
  if (warmth == Warmth::kWarm && pool == PoolWarmth::kAllWarm) return true;
  if (warmth == Warmth::kCold && !settled_) return false;
  const Us nowUs = clock_.monoUs();
  std::uint64_t lately = 0;
  for (const Us sentUs : record.sentUs) lately += nowUs - sentUs < kWindowUs ? 1 : 0;
  if (warmth == Warmth::kUnproven && pool != PoolWarmth::kManyCold && lately == 0) return true;
  const std::uint64_t rate = ratePerKs / kPerKs;
  if (warmth == Warmth::kWarm) return lately < std::max(kLeastWarm, rate * kWarmPercent / 100 / count_);
  const std::uint64_t even = rate / count_;
  if (lately != even) return lately < even;
  return rate % count_ > 0 && amongFirst(record, worker, rate % count_);
}

void ColdAllowance::listedCold(WarmthRecord& record, Us leftUs) const {
  record.coldUntilUs = std::max(record.coldUntilUs, clock_.monoUs() + leftUs);
}

void ColdAllowance::told(WarmthRecord& record, Us askedUs, Us leftUs) const {
  if (leftUs > 0) {
    record.coldnessUndated = false;
    return listedCold(record, leftUs);
  }
  record.provenUs = std::max(record.provenUs, askedUs);
  if (std::exchange(record.coldnessUndated, false)) record.coldUntilUs = 0;
}

void ColdAllowance::sent(WarmthRecord& record) const {
  const Us nowUs = clock_.monoUs();
  record.sentUs.push_back(nowUs);
  while (nowUs - record.sentUs.front() > kWindowUs) record.sentUs.pop_front();
  if (record.unansweredSinceUs < 0) record.unansweredSinceUs = nowUs;
}

void ColdAllowance::heard(WarmthRecord& record) const {
  const Us nowUs = clock_.monoUs();
  if (silent(record)) doubt(record);
  if (record.heardUs < 0 || nowUs - record.heardUs > kContactGapUs) record.contactSinceUs = nowUs;
  record.heardUs = nowUs;
  if (record.unansweredSinceUs >= 0) record.unansweredSinceUs = nowUs;
}

void ColdAllowance::ended(WarmthRecord& record, bool open) const {
  if (silent(record)) doubt(record);
  if (!open) record.unansweredSinceUs = -1;
}

void ColdAllowance::doubt(WarmthRecord& record) const { record.doubtedUs = clock_.monoUs(); }

}  // namespace stonemount
