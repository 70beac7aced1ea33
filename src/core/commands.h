// Commands and queries of the control chain (design.md 7.1).
#pragma once

#include "jig/config_check.h"

namespace stonemount {

struct PutConfig {
  ConfigWish wish;
  STONEMOUNT_PACK(wish)
};
struct SetZone {
  std::string zone;
  bool evacuated = false;
  STONEMOUNT_PACK(zone, evacuated)
};
struct PutWorkers {  // what the platform lists, with the platform's own version of it
  std::uint64_t platformVersion = 0;
  std::vector<ListedWorker> workers;
  STONEMOUNT_PACK(platformVersion, workers)
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
using ControlCommand = std::variant<PutConfig, SetZone, PutWorkers, ReturnConfig, Rebuild>;

enum class ControlOutcome : std::uint8_t { kDone, kConflict, kUnknownRevision, kUnreadable, kUnchanged };
struct ControlVerdict {
  ControlOutcome outcome = ControlOutcome::kDone;
  Revision configRevision = 0;
  Revision revision = 0;
  STONEMOUNT_PACK(outcome, configRevision, revision)
};

struct NewsAsk {
  Revision since = 0;
  STONEMOUNT_PACK(since)
};
struct HistoryAsk {
  std::uint8_t unused = 0;
  STONEMOUNT_PACK(unused)
};
using ControlQuery = std::variant<NewsAsk, HistoryAsk>;

struct RouteChange {
  std::optional<Route> before;
  std::optional<Route> after;
  STONEMOUNT_PACK(before, after)
};
struct ConfigStep {
  Revision revision = 0;
  std::string note;
  std::vector<RouteChange> changes;
  STONEMOUNT_PACK(revision, note, changes)
};
struct HistoryVerdict {
  std::vector<ConfigStep> steps;  // newest last
  STONEMOUNT_PACK(steps)
};

}  // namespace stonemount
