// Asks each listed worker for its fitness: one task for each (design.md 9.3).
#pragma once

#include "lathe/worker_board.h"
#include "runtime/http_call.h"

namespace stonemount {

class FitnessWatch {
 public:
  FitnessWatch(Ports& ports, TaskRoom& room, WorkerBoard& board) : ports_(ports), room_(room), board_(board) {}
  void relist();

 private:
  Task watch(Address worker);
  Ports& ports_;
  TaskRoom& room_;
  WorkerBoard& board_;
  absl::btree_set<Address> watched_;
};

}  // namespace stonemount
