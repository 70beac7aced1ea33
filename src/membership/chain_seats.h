// What is known of the seats of one chain: who holds them, who is silent, and which machines may take them
// (design.md 6.10).
#pragma once

#include <absl/functional/function_ref.h>

#include "gossip/gossip.h"
#include "membership/failure_detector.h"
#include "membership/replica_placement.h"

namespace stonemount {

// Gossip holds a partial view that changes all the time, so it only names machines here. One that was named stays a
// candidate for as long as it answers: else the choice among them would be made anew from another sample at each look.
class ChainSeats {
 public:
  // Is that machine, at that address, ordered out?
  using Retired = absl::FunctionRef<bool(const Address&, const std::string&)>;
  ChainSeats(FailureDetectorPlan plan, std::size_t wantedSeats);
  // Gossip counts it as alive.
  void name(const PeerRecord& record, Us nowUs);
  // It said that of itself.
  void heard(const Address& wire, const Pong& pong, Us heardUs);
  void look(const View& view, Us nowUs);
  void clear();
  FailureDetector& detector() { return detector_; }
  const Pong* pong(const Address& wire, Us nowUs) const { return detector_.pong(wire, nowUs); }
  // By address: candidates, and members that were named.
  std::vector<Address> named() const;
  std::string machineAt(const Address& wire) const;  // its name; empty: not known
  // `self` is not judged.
  SeatNeed need(const View& view, const Address& self, Retired retired, Us nowUs) const;

 private:
  struct Candidate {
    PeerRecord record;
    Us lastUs = 0;  // when it was last named, or answered
  };
  void addFit(SeatNeed& need, Retired retired, Us nowUs) const;
  FailureDetectorPlan plan_;
  std::size_t wantedSeats_;
  FailureDetector detector_;
  absl::btree_map<Address, Candidate> candidates_;
};

}  // namespace stonemount
