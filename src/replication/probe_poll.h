// Asks several replicas for their state at once, whether they are members or not (design.md 6.10, 11).
#pragma once

#include "replication/messages.h"
#include "runtime/rpc_endpoint.h"

namespace stonemount {

class ProbePoll : public Poll {
 public:
  ProbePoll(RpcEndpoint& rpc, const absl::btree_set<Address>& replicas, Us limitUs)
      : Poll(rpc, Probe::kKind, pack(Probe{}), limitUs), replicas_(replicas.begin(), replicas.end()) {
    for (const Address& replica : replicas_) add(replica);
  }
  // Those that answered within the limit.
  const absl::btree_map<Address, Pong>& pongs() const { return pongs_; }

 protected:
  void heard(std::size_t peer, const Bytes& body) override {
    auto read = unpack<Pong>(body);
    if (auto* pong = std::get_if<Pong>(&read)) pongs_[replicas_[peer]] = std::move(*pong);
  }
  bool enough() const override { return false; }

 private:
  std::vector<Address> replicas_;
  absl::btree_map<Address, Pong> pongs_;
};

}  // namespace stonemount
