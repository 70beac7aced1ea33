// The machine behind the store chain: events, lots, runs, slots, tombstones and the cut (design.md 7.3).
#pragma once

#include "replication/machine.h"
#include "safe_time/session.h"
#include "store/lot_index.h"

namespace stonemount {

struct StorePlan {
  Us retentionUs = 7LL * 24 * 3600 * kSecondUs;  // of a finished lot's results and bodies
  Us keyLifetimeUs = 30LL * 24 * 3600 * kSecondUs;
  std::uint32_t mostRuns = 30;  // that a worker began and did not finish; then the item is given up
  // Waiting items of standing lots that no route leads to are given up after it. Long enough for a route that is taken
  // away and put back under another name.
  Us routeEndUs = 6 * kSecondUs;
  SafeTimePlan gauge;
};

// Everything that lasts for a time: when the time is promised, and when it is held to be over.
enum class Term : std::uint8_t { kLicence, kClose, kQuota, kResults, kKey, kRetention, kRouteEnd };
struct TermNote {
  Term term = Term::kLicence;
  std::string name;
  Us lengthUs = 0;  // promised from now on; of a close: the hour
  bool over = false;
};

class StoreMachine : public Machine {
 public:
  StoreMachine(Chance& chance, StorePlan plan) : plan_(plan), sessions_(chance, plan.gauge) {}
  Bytes apply(const Bytes& command) override;
  StampVerdict stamp(const Bytes& command, const HeadSight& sight) override;
  QueryVerdict answer(const Bytes& query, bool mustAnswer) override;
  bool enlarges(const Bytes& command) const override;
  std::size_t owedBytes() const override;
  std::size_t owedValueBytes() const override;
  bool keepsValues() const override { return true; }
  Bytes save() const override;
  bool load(const Bytes& state) override;
  SavedState saveBeside() const override;
  bool loadBeside(const SavedState& state) override;
  SessionKeeper& sessions() { return sessions_; }
  const StoreState& state() const { return state_; }
  // Tokens of items that wait on that route: accepted, not final, of lots that were not ended.
  std::uint64_t queuedTokens(const std::string& route) const { return index_.queuedTokens(route); }
  const std::map<std::string, std::uint64_t>& queuedTokens() const { return index_.queuedTokens(); }
  sigc::signal<void(const TermNote&)> termNoted;

 private:
  StoreVerdict run(const CreateEvent& command);
  StoreVerdict run(const CloseEvent& command);
  StoreVerdict run(const SubmitLot& command);
  StoreVerdict run(const SubmitLotWithin& command);
  StoreVerdict run(const EndLot& command);
  StoreVerdict run(const GrantRuns& command);
  ClaimVerdict run(const ClaimRuns& command);
  StoreVerdict run(const ReportUnrouted& command);
  StoreVerdict run(const RaiseLotTerms& command);
  StoreVerdict run(const RenewRuns& command);
  StoreVerdict run(const SealRuns& command);
  StoreVerdict run(const DropRuns& command);
  StoreVerdict run(const Sweep& command);
  StoreVerdict run(const LockWish& command);
  StoreVerdict run(const CutProposal& command);
  StoreVerdict run(const DoubtCut& command);
  void stampLot(SubmitLot& lot, bool live, const HeadSight& sight) const;
  bool certain(bool certainHere) const { return state_.cut.certain && certainHere; }
  bool nothingHeld() const;
  void judgeEvent(KeptEvent& event, Us wallUs);
  bool takeQuota(const std::string& event);
  // One function for each change of an item's state.
  void startRun(KeptLot& lot, std::uint32_t item, const Address& node, Us licenceUs, const Address& worker);
  void stopRun(KeptLot& lot, std::uint32_t item, bool isCertain, const DroppedRun& how);
  void endItem(KeptLot& lot, std::uint32_t item, ItemState state, Bytes answer, bool isCertain);
  void sealItem(KeptLot& lot, std::uint32_t item, const SealedRun& sealed, bool isCertain);
  void releaseSlot(const Address& worker, bool isCertain);
  void noteWaiting(const KeptLot& lot);
  void noteTerminal(KeptLot& lot);
  // The lot of that name, or the end of one, as a verdict; none: it is new.
  std::optional<StoreVerdict> findKnown(const SubmitLot& command) const;
  StoreVerdict takeNew(const SubmitLot& command);  // one that is not known
  void grantAtOnce(KeptLot& lot, const SubmitLot& command, StoreVerdict& verdict);
  void expireLicences();
  void retire();  // items whose lot's retention is over
  void dropBodies();
  void collect();
  void collectLots();
  Us keepOf(const KeptLot& lot) const { return lot.keepUs > 0 ? lot.keepUs : plan_.retentionUs; }
  // lot_route_changes.cc
  void giveUpUnrouted();
  bool unroutedForLong(const std::string& location) const;
  std::vector<std::string> unroutedLocations(const LotRoutesAsk& ask) const;
  QueryVerdict tell(const LotRoutesAsk& ask) const;
  // Locations where items wait, for each demand.
  using LocationsOfDemands = std::vector<std::vector<std::string>>;
  LocationsOfDemands locationsOf(const std::vector<RouteDemand>& demands) const;
  struct WaitingForDemand {
    std::uint64_t items = 0;
    Us sinceUs = 0;  // the cut; some have waited at least since then
  };
  std::vector<WaitingForDemand> waitingFor(const std::vector<RouteDemand>& demands) const;
  // The lot whose items come next for that demand, of those that are late or of the others.
  KeptLot* nextLot(const std::vector<std::string>& locations, Us completionUs, bool late);
  void claim(const ClaimRuns& command, const LocationsOfDemands& locations, bool late, std::vector<std::uint32_t>& left,
             ClaimVerdict& verdict);
  KeptItem* findItem(const RunName& run, KeptLot*& lot);
  QueryVerdict tell(const WorkAsk& ask, bool mustAnswer) const;
  QueryVerdict tell(const StandingWorkAsk& ask, bool mustAnswer) const;
  void tellStanding(std::uint32_t most, WorkVerdict& verdict) const;
  std::uint32_t mostToClaim(const StandingWorkAsk& ask) const;
  QueryVerdict tell(const LotAsk& ask, bool mustAnswer) const;
  void tellListed(const KeptLot& lot, const LotAsk& ask, LotVerdict& verdict) const;
  QueryVerdict tell(const EventsAsk& ask) const;
  QueryVerdict tell(const ClockAsk& ask) const;
  StorePlan plan_;
  SessionKeeper sessions_;
  StoreState state_;
  StoreIndex index_;                    // follows from the state
  mutable std::size_t savedBytes_ = 0;  // of the state when it was last saved: about what the next will take
  Us fromUs_ = 0;  // while a command is applied: the cut and the time since its sample; promises last from here
};

}  // namespace stonemount
