// How many connections one node may hold to each worker (docs/design-notes/connection-shares.md).
#pragma once

#include "runtime/fleet_place.h"

namespace stonemount {

// What one node may hold to one worker.
struct ConnectionShare {
  std::size_t connections = 0;
  bool scarce = false;  // the worker accepts fewer than there are nodes: most nodes own none there
};

// A worker accepts a number of connections from all nodes together and resets those beyond. What the workers of a pool
// accept is numbered through, worker after worker, and dealt out in turn to the nodes by their places: the shares of
// all nodes at a worker add up to what it accepts, and where there are more nodes than connections each worker has a
// few owners, and each node owns some worker as long as there is a connection for every node. Runs on the loop's
// thread.
class ConnectionShares {
 public:
  // Of what a worker accepts. The rest is for nodes that were told different numbers of nodes, connections that the
  // worker has not seen closed yet, and questions for its health.
  static constexpr std::size_t kUsedPercent = 90;

  explicit ConnectionShares(const Address& self) : self_(self) {}
  // True: some share may be another now.
  bool setPlace(const FleetPlace& place);
  const FleetPlace& place() const { return place_; }
  // `index`: of that worker in its pool's list; `most`: connections that each of its workers accepts; `nodes`: that
  // this node counts, those too that went silent lately (FleetSize): they may be cut off, and hold what they hold.
  ConnectionShare of(const Address& worker, std::size_t index, std::size_t most, std::size_t nodes) const;

 private:
  std::size_t estimate(const Address& worker, std::size_t used, std::size_t nodes) const;
  Address self_;
  FleetPlace place_;
  FleetPlace dealtPlace_;  // scattered: else few of a zone's nodes, or none, own connections to some of its workers
};

}  // namespace stonemount
