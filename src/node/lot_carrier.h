// How an item of a lot is brought to a worker and its answer back: one way for each kind of lot, behind one
// port, so that leases, renewal and delivery are the same for all (design.md 9.5, 9.8).
#pragma once

#include "config/control_state.h"
#include "runtime/await.h"
#include "store/queries.h"

namespace stonemount {

// A run that the store granted to this node.
struct LotRun {
  RunName name;
  LotItem item;
  std::string route;     // by name; of an item that is passed through none: its host and target lead to it
  std::string host;      // as the caller's `Host` header named it
  Us takenUs = 0;        // monotonic, as near as is known: when its lot was taken
  Us heardUs = 0;        // monotonic, when the question was asked by which the store last wanted this run
  Address worker;        // whose slot it takes
  bool over = false;     // nobody wants it any more, or this node has no more time: end it
  bool leaving = false;  // the node is to stop: what is not at a worker goes back
  Event knock;           // rung when either changes
};
using LotRunPtr = std::shared_ptr<LotRun>;

struct ItemWhole {
  Bytes answer;
};
struct ItemDeclined {
  Bytes verdict;
};                      // a worker's final no
struct ItemGivenBack {  // brought no whole answer; it may be granted anew
  bool began = false;   // a worker began it
  bool failed = false;  // a worker told its own failure
};
using ItemEnding = std::variant<ItemWhole, ItemDeclined, ItemGivenBack>;

struct CarrierPlace {
  Address worker;  // whose slot the store charges
  std::uint32_t slotCap = 1;
};

class ItemCarrier {
 public:
  virtual ~ItemCarrier() = default;
  virtual bool mayRenew(const LotRun& run) const = 0;
  virtual Job<ItemEnding> carry(LotRunPtr run) = 0;
};

}  // namespace stonemount
