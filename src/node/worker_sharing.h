// What a node knows of the others that use the same workers, and of how new its list of workers is
// (docs/design-notes/cold-workers.md).
#pragma once

#include "config/config_cache.h"
#include "config/worker_list.h"
#include "proxy/fleet_size.h"
#include "proxy/list_freshness.h"
#include "proxy/pool_load_table.h"

namespace stonemount {

// Carries it to the node's load table. Runs on the loop's thread.
class WorkerSharing {
 public:
  // `listLagUs`: by how much the platform's list lags behind.
  WorkerSharing(const Clock& clock, PoolLoadTable& table, Us listLagUs)
      : clock_(clock), table_(table), fleetSize_(clock), listFreshness_(listLagUs) {}
  // Control answered.
  void onContact(const ControlContact& contact);
  // The platform itself answered a question that was asked then.
  void onPlatformList(const std::vector<ListedWorker>& workers, Us askedUs);
  // To be called every 0.2 s or so. `known`: the nodes that this one knows of, silent ones too; `settled`: it has met
  // all that there are.
  void shareOut(std::vector<Address> known, bool settled);
  // Control has told no newer list for so long that the platform should be asked.
  bool listOld() const { return table_.cold().listOld(); }

 private:
  const Clock& clock_;
  PoolLoadTable& table_;
  FleetSize fleetSize_;
  ListFreshness listFreshness_;
  std::size_t followers_ = 0;  // as control told last; 0: not told
  Us heardUs_ = -1;            // when the question was asked that control answered last
  Us firstCountedUs_ = -1;     // when control first told how many there are
};

}  // namespace stonemount
