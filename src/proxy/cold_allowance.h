// What one node may send to workers that are cold, or may be (docs/design-notes/cold-workers.md).
#pragma once

#include "stonemount.h"

namespace stonemount {

// What a node has seen of one worker that bears on its being cold. Times are the node's own monotonic ones.
struct WarmthRecord {
  std::deque<Us> sentUs;   // requests of the last second, also those from before it was known to be cold
  Us coldUntilUs = 0;      // as the list told
  Us doubtedUs = -1;       // the last sign that it may have been down: what is there now may be cold
  Us heardUs = -1;         // when the last bytes came from it
  Us contactSinceUs = -1;  // it has been heard of without a long gap since then
  Us provenUs = -1;        // when a question was asked whose answer said that it is warm
  Us probedUs = -1;        // when it was last asked
  // Told as cold by a list of unknown age: this node knows of no list before.
  bool coldnessUndated = false;
  // Whether this node is among the first at that worker, which share what does not come out even; as of `sharersSeen`.
  mutable bool amongFirst = false;
  mutable std::uint64_t sharersSeen = 0;
  Us unansweredSinceUs = -1;  // requests are open there and nothing has come since then; -1: none is open
};

enum class Warmth : std::uint8_t {
  kWarm,
  kUnproven,  // this node has only just met it, and the list of that moment has not come yet
  kCold,      // told, or to be taken for cold until a list from after the doubt says otherwise
};

// Of the workers of one pool, as this node sees them. What cold ones do not get comes to the rest, one of which may
// have been down without this node's noticing: so the rest are bounded too.
enum class PoolWarmth : std::uint8_t { kAllWarm, kSomeCold, kManyCold };

// Each node has a share of a cold worker's rate. The shares of all nodes add up to no more than that rate as long as
// no node's count of the nodes is too small (FleetSize). Runs on the loop's thread.
class ColdAllowance {
 public:
  ColdAllowance(const Clock& clock, Address self) : clock_(clock), self_(self) {}

  // The nodes that share all workers: `known` are those that this node knows of, itself among them or not; `count` is
  // how many there are, known or not. `settled`: its count can be gone by; a newcomer's can't, and it gets no share.
  void setSharers(std::vector<Address> known, std::size_t count, bool settled);
  std::size_t sharers() const { return count_; }
  // Must come often: without it this process was frozen, and what it knows is old.
  void tick();
  // Without control this node hears of no evacuation, whatever the platform's own list tells it.
  void setControlHeard(bool heard) { controlHeard_ = heard; }
  void listIsAsOf(Us asOfUs) { listAsOfUs_ = std::max(listAsOfUs_, asOfUs); }
  // The list is older than it ever is where control works.
  bool listOld() const { return listOlderThan(kListOldUs); }

  Warmth warmthOf(const WarmthRecord& record) const;
  // Does every node have a share of at least one request a second?
  bool sharesEven(std::uint64_t ratePerKs) const { return ratePerKs == 0 || ratePerKs >= kPerKs * count_; }
  // May it be sent one request more now? `ratePerKs`: requests in 1,000 s that it bears while it is cold; 0: any.
  // `warmth`: its own, as `warmthOf` says now.
  bool allows(const WarmthRecord& record, Warmth warmth, const Address& worker, std::uint64_t ratePerKs,
              PoolWarmth pool) const;

  // Of a pool with `cold` workers of `all` that are cold to this node. While control is not heard, or the list is older
  // than it ever is where control works, none is taken for all warm.
  PoolWarmth poolWarmth(std::size_t cold, std::size_t all) const;

  void listedCold(WarmthRecord& record, Us leftUs) const;
  // The worker itself said in answer to a question asked then how much longer it is cold; 0: it is warm.
  void told(WarmthRecord& record, Us askedUs, Us leftUs) const;
  // It was told as cold by a list of unknown age.
  bool coldnessMayBeOver(const WarmthRecord& record) const {
    return record.coldnessUndated && clock_.monoUs() < record.coldUntilUs;
  }
  // It may well be warm, and this node cannot know it yet: worth asking the worker itself.
  bool wantsProbe(const WarmthRecord& record) const;
  void probed(WarmthRecord& record) const { record.probedUs = clock_.monoUs(); }
  void sent(WarmthRecord& record) const;
  void heard(WarmthRecord& record) const;
  // A request there ended, one way or another; `open`: others are still under way.
  void ended(WarmthRecord& record, bool open) const;
  void doubt(WarmthRecord& record) const;

  static constexpr std::uint64_t kPerKs = 1000;       // a rate of one a second
  static constexpr Us kFrozenUs = 700 * kMilliUs;     // without a tick
  static constexpr Us kListOldUs = 4 * kSecondUs;     // more than it takes to come where control works
  static constexpr Us kListStaleUs = 6 * kSecondUs;   // a list older than this tells nothing of what is cold now
  static constexpr Us kSilentUs = 700 * kMilliUs;     // with requests open: it may be down
  static constexpr Us kContactGapUs = 2 * kSecondUs;  // not heard of for so long: met anew
  static constexpr Us kUnprovenUs = 2500 * kMilliUs;  // about what the list of that moment takes to come
  static constexpr Us kProbeAgainUs = kSecondUs;      // between two questions to one worker
  // Of a cold worker's rate, what a warm one gets at the most from all nodes while others are cold: within the rule's
  // bound, should it be cold after all. And no less than this from a node.
  static constexpr std::uint64_t kWarmPercent = 150;
  static constexpr std::uint64_t kLeastWarm = 2;
  static constexpr Us kWindowUs = 1100 * kMilliUs;  // a second, and what requests differ by on their way

 private:
  bool frozen() const;
  bool listOlderThan(Us ageUs) const { return listAsOfUs_ >= 0 && clock_.monoUs() - listAsOfUs_ > ageUs; }
  // Up to which moment it is known to be warm, by the list or by itself.
  Us warmAsOfUs(const WarmthRecord& record) const { return std::max(listAsOfUs_, record.provenUs); }
  bool metLately(const WarmthRecord& record) const;
  // Requests are open there, and nothing has come for longer than a worker that runs ever needs.
  bool silent(const WarmthRecord& record) const;
  std::uint64_t rankAmongSharers(const Address& worker) const;
  bool amongFirst(const WarmthRecord& record, const Address& worker, std::uint64_t places) const;
  const Clock& clock_;
  Address self_;
  std::vector<Address> known_;
  std::size_t count_ = 1;
  std::uint64_t sharersSeen_ = 1;  // grows as they change
  bool settled_ = true;
  bool controlHeard_ = true;
  Us tickUs_ = -1;      // -1: nobody ticks here
  Us wokeUs_ = -1;      // the end of its last freeze
  Us listAsOfUs_ = -1;  // -1: nobody tells
};

}  // namespace stonemount
