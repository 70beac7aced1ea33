// Asks each listed worker for its fitness: one task for each (design.md 9.3).
#pragma once

#include "proxy/worker_load_table.h"
#include "runtime/http_call.h"

namespace stonemount {

class HealthWatch {
 public:
  HealthWatch(Ports& ports, TaskRoom& room, WorkerLoadTable& board) : ports_(ports), room_(room), board_(board) {}
  void relist();

 private:
  Task watch(Address worker);
  Ports& ports_;
  TaskRoom& room_;
  WorkerLoadTable& board_;
  absl::btree_set<Address> watched_;
};

}  // namespace stonemount
