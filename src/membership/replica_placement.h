// Which seat of a chain is to change hands next: pure, and the same for both chains (design.md 6.10).
#pragma once

#include "replication/messages.h"

namespace stonemount {

struct SeatNeed {
  View view;
  absl::btree_set<Address> dead;     // silent too long, to all that can be asked
  absl::btree_set<Address> doubted;  // silent for a moment, or broken: a newcomer had better be filled
  absl::btree_set<Address> retired;  // by order
  std::vector<Seat> fit;             // live, and without a seat; of equals the first is taken
  std::size_t wanted = 3;            // seats that the deployment's tolerance asks for
};
// The next change of seats; add and remove unset: none. What a chain had of zones it keeps, and nobody
// is taken out for silence unless another takes the seat.
ChangeVoters nextChange(const SeatNeed& need);
// Those that should copy the chain now, since they are or may soon be wanted in it.
std::vector<Address> wantedIn(const SeatNeed& need);
// So many of them, spread over the zones as evenly as it goes; the same for the same set.
std::vector<Seat> spreadSeats(std::vector<Seat> seats, std::size_t most);

}  // namespace stonemount
