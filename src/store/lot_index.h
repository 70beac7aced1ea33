// What follows from the store's state and is kept beside it, so that no command walks every lot: when what
// ends, and how much is still owed. Never saved; made anew from a state that was loaded (design.md 7.3).
#pragma once

#include "config/location.h"
#include "store/store_state.h"

namespace stonemount {

// Items that wait for a run, of standing lots that were handed in at one location.
struct StandingQueue {
  std::uint64_t items = 0;
  std::set<std::pair<Us, std::string>> lots;  // with any, by when they were taken
  Us busySinceUs = 0;                         // when it was last empty
};

class StoreIndex {
 public:
  using Key = std::pair<std::string, std::string>;
  using ItemName = std::pair<std::string, std::uint32_t>;
  void rebuild(const StoreState& state, Us retentionUs);
  // After any change of a lot; the same again changes nothing.
  void note(const KeptLot& lot, Us keepUs, Us nowUs);
  void forget(const std::string& lot);
  void noteFinal(const KeptLot& lot, std::uint32_t place);
  // An item became final: its tokens wait no more.
  void noteDone(const KeptLot& lot, std::uint32_t place);
  // Of lots that were handed in exactly there.
  std::uint64_t queuedTokens(const std::string& location) const;
  // Of lots whose location that scope begins, but none of the others.
  std::uint64_t queuedTokensWithin(const std::string& scope, const std::vector<std::string>& nested) const;
  const std::map<std::string, std::uint64_t>& queuedTokens() const { return queuedTokens_; }  // by location
  // At the location: none where nothing waits there.
  const StandingQueue* standingQueue(const std::string& location) const;
  const std::map<std::string, StandingQueue>& standingQueues() const { return standing_; }  // by location
  std::uint64_t standingArrivals() const { return arrivals_; }  // items of standing lots that ever came to wait
  void noteTombstone(const Key& key, Us keepUntilUs) { tombstones_.insert({keepUntilUs, key}); }
  void noteLimit(Us limitUs) { leastLimitUs_ = std::min(leastLimitUs_, limitUs); }
  void resetLimit() { leastLimitUs_ = kNever; }
  // The first that is due at that cut.
  std::optional<std::string> dueResults(Us cutUs) const;
  std::optional<std::string> dueRetention(Us cutUs) const;
  std::optional<ItemName> takeDueBody(Us cutUs);
  std::optional<Key> takeDueTombstone(Us cutUs);
  bool licencesDue(Us cutUs) const { return leastLimitUs_ <= cutUs; }  // perhaps
  std::uint64_t openItems() const { return open_; }
  std::uint64_t sealedItems() const { return sealed_; }
  std::uint64_t answerBytes() const { return bytes_; }

 private:
  static constexpr Us kNever = INT64_MAX;
  struct Share;
  void setTokens(Share& share, std::uint64_t tokens);
  void noteWaiting(const KeptLot& lot, Share& share, Us nowUs);
  struct Share {  // of one lot
    std::uint64_t open = 0, sealed = 0, bytes = 0;
    std::string location;       // of a lot of an event: the name of its route
    std::uint64_t tokens = 0;   // of items that wait
    std::uint64_t waiting = 0;  // items of a standing lot, for a run
    Us resultsUs = kNever, retentionUs = kNever;
  };
  absl::flat_hash_map<std::string, Share> shares_;
  std::uint64_t open_ = 0, sealed_ = 0, bytes_ = 0;
  std::map<std::string, std::uint64_t> queuedTokens_;
  std::map<std::string, StandingQueue> standing_;  // by location; those where something waits
  std::uint64_t arrivals_ = 0;
  std::set<std::pair<Us, std::string>> results_;     // by when they go
  std::set<std::pair<Us, std::string>> retentions_;  // by when items that are not final may be given up
  std::set<std::pair<Us, ItemName>> bodies_;         // of final items, by when they go
  std::set<std::pair<Us, Key>> tombstones_;
  Us leastLimitUs_ = 0;  // no licence ends before it
};

}  // namespace stonemount
