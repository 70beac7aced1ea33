// The lister's duty: the list of workers is carried into the control chain, and only when something in it
// has changed (design.md 7.7).
#pragma once

#include "config/worker_list.h"
#include "control/control_machine.h"
#include "replication/client.h"

namespace stonemount {

class WorkerDiscovery {
 public:
  WorkerDiscovery(ChainClient& core, const ControlMachine& machine, WorkerListSource* source)
      : core_(core), machine_(machine), source_(source) {}
  Job<Done> carry();  // once
  void forget();      // the duty is another's now
  std::uint64_t submitted = 0;
  std::uint64_t confirmed = 0;  // lists that were as before, and told so

 private:
  // A list tells over and over how long a worker is still cold; the chain is told as it begins.
  struct Coldness {
    std::string life;
    Us leftUs = 0;
    bool untold = false;
  };
  void noteColdness(std::vector<ListedWorker>& workers);
  bool same(const std::vector<ListedWorker>& workers) const;
  Job<Done> submit(WorkerList list, std::uint64_t known);
  Job<Done> confirm(std::uint64_t number);
  Job<std::optional<ControlVerdict>> send(ControlCommand command);
  ChainClient& core_;
  const ControlMachine& machine_;
  WorkerListSource* source_;
  absl::btree_map<Address, Coldness> coldness_;
  std::optional<std::vector<ListedWorker>> told_;  // what the chain took last
  std::uint64_t toldVersion_ = 0;
  std::uint64_t standing_ = 0;  // the number of the list that the chain was last seen to hold
};

}  // namespace stonemount
