// What the store chain's tail is asked, and what it answers (design.md 7.3).
#pragma once

#include "runtime/fleet_place.h"
#include "store/commands.h"

namespace stonemount {

struct WorkAsk {  // of lots of events; answered when the list of open work has moved on
  std::uint64_t since = 0;
  std::uint32_t most = 0;
  bool standing = false;  // names the standing lots with items that wait, rather than lots of events
  STONEMOUNT_PACK(since, most, standing)
};
struct LotAsk {
  std::string lot;
  bool bodies = false;
  bool results = false;
  std::uint32_t from = 0;
  std::uint32_t count = 0;
  bool listed = false;          // results in the order in which they became final; `from` is a position there
  bool hold = false;            // until there is one from there on
  std::uint32_t mostBytes = 0;  // of the results told, but for the first; 0: no bound of the asker's
  std::string item;             // not empty: that item alone
  STONEMOUNT_PACK(lot, bodies, results, from, count, listed, hold, mostBytes, item)
};
struct EventsAsk {
  std::string name;  // empty: all
  STONEMOUNT_PACK(name)
};
struct ClockAsk {
  std::uint8_t unused = 0;
  STONEMOUNT_PACK(unused)
};
// By a node with places free; answered when it is called to claim runs of standing lots for these demands: as many
// nodes are called as the items that wait need, each time others.
struct StandingWorkAsk {
  std::vector<RouteDemand> demands;
  FleetPlace place;  // not known: called whenever any waits
  STONEMOUNT_PACK(demands, place)
};
// Which locations of waiting items of standing lots have no route, and whether any lot was promised less than its route
// allows, by the configuration of whoever asks.
struct LotRoutesAsk {
  std::vector<LotTerms> routes;           // that take lots
  std::vector<std::string> nestedOthers;  // scopes of routes that take none, below one of those
  STONEMOUNT_PACK(routes, nestedOthers)
};
// New kinds go to the end.
using StoreQuery = std::variant<WorkAsk, LotAsk, EventsAsk, ClockAsk, StandingWorkAsk, LotRoutesAsk>;

struct OpenLot {
  std::string lot;
  std::string route;
  std::vector<std::uint32_t> waiting;
  std::vector<std::uint64_t> prefixes;  // of the waiting items' bodies
  STONEMOUNT_PACK(lot, route, waiting, prefixes)
};
struct WorkVerdict {
  std::uint64_t version = 0;
  bool certain = false;
  std::vector<OpenLot> lots;
  STONEMOUNT_PACK(version, certain, lots)
};
struct StandingWorkVerdict {
  std::uint32_t most = 0;  // runs that the node is called to claim; 0: none now
  STONEMOUNT_PACK(most)
};
struct LotRoutesVerdict {
  std::vector<std::string> unrouted;  // locations
  bool reportedBefore = false;        // some were
  bool termsGrew = false;
  STONEMOUNT_PACK(unrouted, reportedBefore, termsGrew)
};
enum class ItemState : std::uint8_t { kWaiting, kRunning, kSealed, kRefused };
struct ItemSight {
  std::uint32_t item = 0;
  std::string id;
  ItemState state = ItemState::kWaiting;
  std::uint32_t run = 0;
  Bytes answer;
  Bytes body;
  STONEMOUNT_PACK(item, id, state, run, answer, body)
};
struct LotVerdict {
  StoreOutcome outcome = StoreOutcome::kDone;
  std::string lot, event, route;
  bool ended = false;
  std::uint32_t items = 0, sealed = 0, refused = 0, running = 0;
  std::vector<ItemSight> sights;
  std::uint32_t next = 0;  // 0: no more; of listed results: the position after the last one told
  STONEMOUNT_PACK(outcome, lot, event, route, ended, items, sealed, refused, running, sights, next)
};
struct EventSight {
  std::string name;
  Us startUs = 0, closeUs = 0;
  bool open = false, closed = false;
  std::uint32_t lots = 0, quota = 0;
  Us windowUs = 0;
  STONEMOUNT_PACK(name, startUs, closeUs, open, closed, lots, quota, windowUs)
};
struct EventsVerdict {
  std::vector<EventSight> events;
  STONEMOUNT_PACK(events)
};
struct ClockVerdict {
  CutState cut;
  std::uint64_t pausedExpiries = 0, lateExpiries = 0, expired = 0;
  std::uint32_t licences = 0, pendingSlots = 0, tombstones = 0, lots = 0, items = 0;
  STONEMOUNT_PACK(cut, pausedExpiries, lateExpiries, expired, licences, pendingSlots, tombstones, lots, items)
};

}  // namespace stonemount
