// What the store chain keeps (design.md 7.3).
#pragma once

#include "store/queries.h"

namespace stonemount {

struct KeptItem {
  LotItem given;
  ItemState state = ItemState::kWaiting;
  std::uint32_t run = 0;
  std::uint32_t spent = 0;   // runs that a worker began
  std::uint32_t failed = 0;  // of them, those that it told its failure of
  Address node;
  Address worker;
  Us limitUs = 0;  // of the licence, in cut time
  Us finalUs = 0;  // the cut when it was sealed or given up
  SharedBytes answer;
  bool final() const { return state == ItemState::kSealed || state == ItemState::kRefused; }
  STONEMOUNT_PACK(given, state, run, spent, failed, node, worker, limitUs, finalUs, answer)
};
struct KeptLot {
  std::string name, event, key;
  std::string route;  // as in SubmitLot
  std::string host;
  std::uint64_t digest = 0;
  bool ended = false;
  std::vector<KeptItem> items;
  std::uint32_t sealed = 0, refused = 0, running = 0;
  std::set<std::uint32_t> waiting;
  std::vector<std::uint32_t> listed;  // in the order in which they became final; only ever appended to
  std::uint64_t answerBytes = 0;
  std::uint32_t attempts = 0;
  Us retentionUs = 0, keepUs = 0, keyUs = 0;  // as it was handed in
  Us createdUs = 0;
  Us terminalUs = 0;  // the cut when it had nothing more to do; 0: not yet
  bool standing() const { return event.empty(); }
  bool finished() const { return sealed + refused == items.size() || (ended && running == 0); }
  STONEMOUNT_PACK(name, event, key, route, host, digest, ended, items, sealed, refused, running, waiting, listed,
                  answerBytes, attempts, retentionUs, keepUs, keyUs, createdUs, terminalUs)
};
struct KeptEvent {
  std::string name;
  Us startUs = 0, closeUs = 0;
  Us closeCutUs = 0;      // in cut time
  bool anchored = false;  // and known: most clocks agreed once since it was made, or before
  bool open = false, closed = false;
  std::uint32_t lots = 0;
  std::uint32_t quota = 0, used = 0;
  Us windowUs = 0, windowEndUs = 0;
  STONEMOUNT_PACK(name, startUs, closeUs, closeCutUs, anchored, open, closed, lots, quota, used, windowUs, windowEndUs)
};
struct Tombstone {
  std::string lot;
  std::uint64_t digest = 0;
  Us keepUntilUs = 0;
  STONEMOUNT_PACK(lot, digest, keepUntilUs)
};

struct StoreState {
  CutState cut;
  std::map<std::string, KeptEvent> events;
  std::map<std::string, KeptLot> lots;
  std::map<std::pair<std::string, std::string>, std::string> lotByKey;
  std::map<std::pair<std::string, std::string>, Tombstone> tombstones;
  std::map<Address, std::uint32_t> charged;  // slots in use, by worker
  std::vector<Address> pendingSlots;         // freed, but charged until a certain cut confirms it
  std::set<std::pair<std::string, std::uint32_t>> runningItems;
  std::set<std::pair<Us, std::string>> openLots;  // those with items that may be started, the oldest first
  std::uint64_t lastLot = 0;
  std::uint64_t workVersion = 1;
  std::uint64_t pausedExpiries = 0, lateExpiries = 0, expired = 0;
  std::map<std::string, Us> unroutedSince;  // the cut when that location was first reported to have no route
  template <class Archive>
  void serialize(Archive& archive) {
    archive(cut, events, lots, lotByKey, tombstones, charged, pendingSlots, runningItems, openLots, lastLot,
            workVersion, pausedExpiries, lateExpiries, expired);
    packTrailing(archive, unroutedSince);
  }
};

}  // namespace stonemount
