// Commands and queries of the control chain (design.md 7.1).
#pragma once

#include "config/config_check.h"
#include "quota/quota_ledger.h"
#include "runtime/fleet_place.h"

namespace stonemount {

struct PutConfig {
  ConfigRequest wish;
  STONEMOUNT_PACK(wish)
};
struct SetZone {
  std::string zone;
  bool evacuated = false;
  STONEMOUNT_PACK(zone, evacuated)
};
// What the platform lists, with the platform's own version of it; or, where it has none, with the number after
// the last one that the lister knew before it asked for the list: of two such, only the first is taken.
struct PutWorkers {
  std::uint64_t platformVersion = 0;
  bool numbered = false;  // by the lister
  std::vector<ListedWorker> workers;
  STONEMOUNT_PACK(platformVersion, numbered, workers)
};
struct ReturnConfig {  // an older content again, as a new revision
  Revision base = 0;
  Revision to = 0;
  STONEMOUNT_PACK(base, to)
};
struct Rebuild {  // what a node was told before all control state was lost
  ControlNews told;
  STONEMOUNT_PACK(told)
};
// Who founds the store chain; the first that is taken holds for ever (design.md 6.10).
struct FoundStore {
  std::vector<Address> founders;
  STONEMOUNT_PACK(founders)
};
// A store machine is to hold no seat any more. Refused where fewer than `needed` of the rest stay.
struct RetireStore {
  std::string machine;
  Address address;
  std::vector<Address> rest;
  std::uint32_t needed = 0;
  STONEMOUNT_PACK(machine, address, rest, needed)
};
// As SetZone, but only while no other order for the zone was taken since the call came in: a try that is still under
// way when its caller has long had its answer from another node must not undo what was ordered since.
struct SetZoneSince {
  std::string zone;
  bool evacuated = false;
  Revision seen = 0;  // the revision of the zone's newest order when the call came in; 0: none
  STONEMOUNT_PACK(zone, evacuated, seen)
};
// The list was asked for again and is as it was told before. Like a list that was numbered by its lister, it carries
// the number after the last one that the lister knew before it asked; of two such, only the first counts. Nodes see by
// the number up to when the list tells the truth (docs/design-notes/cold-workers.md).
struct ConfirmWorkers {
  std::uint64_t number = 0;
  STONEMOUNT_PACK(number)
};
// New kinds go to the end: a log names them by their place.
using ControlCommand = std::variant<PutConfig, SetZone, PutWorkers, ReturnConfig, Rebuild, FoundStore, RetireStore,
                                    SetZoneSince, ConfirmWorkers, TakeQuotaPart, ReserveQuota>;

enum class ControlOutcome : std::uint8_t {
  kDone,
  kConflict,
  kUnknownRevision,
  kUnreadable,
  kUnchanged,
  kNotAbove,  // the operator's number is not above the current one
  kInvalid,   // see the flaw
  kOlder,     // another list came first
  kUnclear    // nothing was changed now; whether it was taken earlier is no longer known
};
struct ControlVerdict {
  ControlOutcome outcome = ControlOutcome::kDone;
  Revision configRevision = 0;
  Revision revision = 0;
  std::uint64_t platformVersion = 0;  // of the list that stands
  ConfigFlaw flaw = ConfigFlaw::kNone;
  std::string flawed;  // the route that has it
  STONEMOUNT_PACK(outcome, configRevision, revision, platformVersion, flaw, flawed)
};

struct NewsAsk {
  Revision since = 0;
  STONEMOUNT_PACK(since)
};
// As NewsAsk; and besides what a node must know of the fleet and cannot count itself.
struct FollowAsk {
  Revision since = 0;
  STONEMOUNT_PACK(since)
};
struct FollowReply {
  std::uint64_t listNumber = 0;  // of the newest list of workers that was taken or confirmed
  std::uint32_t followers = 0;   // nodes that follow control, as its tail has counted them; 0: not known yet
  FleetPlace place;              // of the node that asked
  Bytes news;                    // ControlNews, packed
  STONEMOUNT_PACK(listNumber, followers, place, news)
};
struct HistoryAsk {
  std::uint8_t unused = 0;
  STONEMOUNT_PACK(unused)
};
struct OrdersAsk {
  std::uint8_t unused = 0;
  STONEMOUNT_PACK(unused)
};
using ControlQuery = std::variant<NewsAsk, HistoryAsk, OrdersAsk, FollowAsk>;

template <class Item>
struct ItemChange {
  std::optional<Item> before;
  std::optional<Item> after;
  STONEMOUNT_PACK(before, after)
};
using RouteChange = ItemChange<Route>;
using PoolChange = ItemChange<Pool>;
using TenantChange = ItemChange<Tenant>;
// From one configuration to the next, and back.
struct ConfigStep {
  Revision revision = 0;
  Revision base = 0;  // the one before it
  std::string note;
  std::vector<RouteChange> changes;
  std::vector<PoolChange> pools;
  ItemChange<CallerLimits> limits;  // empty: as they were
  ItemChange<std::string> given;
  std::vector<TenantChange> tenants;
  ItemChange<bool> keysNeeded;
  STONEMOUNT_PACK(revision, base, note, changes, pools, limits, given, tenants, keysNeeded)
};
struct RetireOrder {
  std::string machine;
  Address address;
  STONEMOUNT_PACK(machine, address)
};
// What was ordered of the store's membership, as long as it may matter (design.md 6.10).
struct MemberOrders {
  std::vector<Address> storeFounders;
  std::deque<RetireOrder> retired;  // newest last
  // An address may be another machine's later; a name that is not known (empty) makes no difference.
  bool retires(const Address& address, const std::string& machine) const;
  STONEMOUNT_PACK(storeFounders, retired)
};
enum class OrderOutcome : std::uint8_t { kDone, kAgain, kTooFew };
struct OrderVerdict {
  OrderOutcome outcome = OrderOutcome::kDone;
  MemberOrders orders;
  STONEMOUNT_PACK(outcome, orders)
};
OrderVerdict applyOrder(MemberOrders& orders, const FoundStore& command);
OrderVerdict applyOrder(MemberOrders& orders, const RetireStore& command);

struct HistoryVerdict {
  std::vector<ConfigStep> steps;  // newest last
  STONEMOUNT_PACK(steps)
};

}  // namespace stonemount
