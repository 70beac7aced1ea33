#include "store/lot_index.h"

namespace stonemount {

namespace {
// Whoever was told that an item is not final yet may still ask for its body.
constexpr Us kBodyLingersUs = 3 * kSecondUs;

template <class Name>
std::optional<Name> firstDue(const std::set<std::pair<Us, Name>>& queue, Us cutUs) {
  if (queue.empty() || queue.begin()->first > cutUs) return std::nullopt;
  return queue.begin()->second;
}
}  // namespace

void StoreIndex::rebuild(const StoreState& state, Us retentionUs) {
  *this = StoreIndex();
  for (const auto& [name, lot] : state.lots) {
    note(lot, lot.keepUs > 0 ? lot.keepUs : retentionUs, state.cut.cutUs);
    for (std::uint32_t place = 0; place < lot.items.size(); ++place) noteFinal(lot, place);
  }
  for (const auto& [key, tombstone] : state.tombstones) noteTombstone(key, tombstone.keepUntilUs);
}

void StoreIndex::setTokens(Share& share, std::uint64_t tokens) {
  std::uint64_t& queued = queuedTokens_[share.location];
  queued = queued - share.tokens + tokens;
  if (queued == 0) queuedTokens_.erase(share.location);
  share.tokens = tokens;
}

std::uint64_t StoreIndex::queuedTokens(const std::string& location) const {
  auto found = queuedTokens_.find(location);
  return found == queuedTokens_.end() ? 0 : found->second;
}

std::uint64_t StoreIndex::queuedTokensWithin(const std::string& scope, const std::vector<std::string>& nested) const {
  constexpr std::size_t kInScope = 0, kNested = 1;
  PrefixTable table;
  for (const std::string& other : nested) table.put(other, kNested);
  table.put(scope, kInScope);
  std::uint64_t tokens = 0;
  for (auto at = queuedTokens_.lower_bound(scope); at != queuedTokens_.end(); ++at) {
    if (at->first.compare(0, scope.size(), scope) != 0) break;
    if (table.find(at->first) == kInScope) tokens += at->second;
  }
  return tokens;
}

const StandingQueue* StoreIndex::standingQueue(const std::string& location) const {
  auto found = standing_.find(location);
  return found == standing_.end() ? nullptr : &found->second;
}

void StoreIndex::noteWaiting(const KeptLot& lot, Share& share, Us nowUs) {
  const std::uint64_t waiting = lot.standing() && !lot.ended ? lot.waiting.size() : 0;
  if (waiting == share.waiting) return;
  StandingQueue& queue = standing_[share.location];
  if (queue.items == 0) queue.busySinceUs = nowUs;
  if (waiting > share.waiting) arrivals_ += waiting - share.waiting;
  queue.items = queue.items - share.waiting + waiting;
  share.waiting = waiting;
  if (waiting > 0)
    queue.lots.insert({lot.createdUs, lot.name});
  else
    queue.lots.erase({lot.createdUs, lot.name});
  if (queue.items == 0) standing_.erase(share.location);
}

void StoreIndex::noteDone(const KeptLot& lot, std::uint32_t place) {
  Share& share = shares_[lot.name];
  if (!lot.ended) setTokens(share, share.tokens - lot.items[place].given.tokens);
}

void StoreIndex::note(const KeptLot& lot, Us keepUs, Us nowUs) {
  const bool fresh = !shares_.contains(lot.name);
  Share& share = shares_[lot.name];
  if (fresh) {
    std::uint64_t tokens = 0;
    for (const KeptItem& item : lot.items) tokens += item.final() ? 0 : item.given.tokens;
    share.location = lot.route;
    setTokens(share, tokens);
  }
  if (lot.ended) setTokens(share, 0);
  noteWaiting(lot, share, nowUs);
  open_ -= share.open;
  sealed_ -= share.sealed;
  bytes_ -= share.bytes;
  const Share before = share;
  share.open = lot.ended ? lot.running : lot.items.size() - lot.sealed - lot.refused;
  share.sealed = lot.sealed;
  share.bytes = lot.answerBytes;
  share.resultsUs = lot.terminalUs > 0 ? lot.terminalUs + keepUs : kNever;
  const bool mayRetire = lot.retentionUs > 0 && !lot.ended && !lot.finished();
  share.retentionUs = mayRetire ? lot.createdUs + lot.retentionUs : kNever;
  open_ += share.open;
  sealed_ += share.sealed;
  bytes_ += share.bytes;
  if (share.resultsUs != before.resultsUs) {
    results_.erase({before.resultsUs, lot.name});
    if (share.resultsUs != kNever) results_.insert({share.resultsUs, lot.name});
  }
  if (share.retentionUs != before.retentionUs) {
    retentions_.erase({before.retentionUs, lot.name});
    if (share.retentionUs != kNever) retentions_.insert({share.retentionUs, lot.name});
  }
}

void StoreIndex::forget(const std::string& lot) {
  auto found = shares_.find(lot);
  if (found == shares_.end()) return;
  open_ -= found->second.open;
  sealed_ -= found->second.sealed;
  bytes_ -= found->second.bytes;
  setTokens(found->second, 0);
  results_.erase({found->second.resultsUs, lot});
  retentions_.erase({found->second.retentionUs, lot});
  shares_.erase(found);
}

// Bodies of standing lots are owed only until their item is listed.
void StoreIndex::noteFinal(const KeptLot& lot, std::uint32_t place) {
  const KeptItem& item = lot.items[place];
  if (lot.standing() && item.final() && !item.given.body.empty())
    bodies_.insert({item.finalUs + kBodyLingersUs, {lot.name, place}});
}

std::optional<std::string> StoreIndex::dueResults(Us cutUs) const { return firstDue(results_, cutUs); }
std::optional<std::string> StoreIndex::dueRetention(Us cutUs) const { return firstDue(retentions_, cutUs); }

std::optional<StoreIndex::ItemName> StoreIndex::takeDueBody(Us cutUs) {
  std::optional<ItemName> due = firstDue(bodies_, cutUs);
  if (due) bodies_.erase(bodies_.begin());
  return due;
}

std::optional<StoreIndex::Key> StoreIndex::takeDueTombstone(Us cutUs) {
  std::optional<Key> due = firstDue(tombstones_, cutUs);
  if (due) tombstones_.erase(tombstones_.begin());
  return due;
}

}  // namespace stonemount
