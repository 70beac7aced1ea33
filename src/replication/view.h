// The view of a chain: who votes, and who passes commands on, in order (design.md 6.1).
#pragma once

#include "runtime/pack.h"

namespace stonemount {

struct Seat {
  Address address;
  std::uint64_t incarnation = 0;  // a wiped disk is a new incarnation
  std::string zone;
  friend bool operator==(const Seat&, const Seat&) = default;
  STONEMOUNT_PACK(address, incarnation, zone)
};

struct View {
  Revision revision = 0;
  std::vector<Seat> voters;
  std::vector<Seat> nonVoters;  // may be in the chain, and have no vote (design.md 6.1)
  std::vector<Seat> chain;      // head first, tail last
  std::vector<Seat> wide;  // the newest chain that acknowledges: each of it holds all that was acknowledged or shown
  friend bool operator==(const View&, const View&) = default;
  STONEMOUNT_PACK(revision, voters, nonVoters, chain, wide)
  std::size_t majority() const { return voters.size() / 2 + 1; }
};

struct SeatAt {
  Address address;
  bool operator()(const Seat& seat) const { return seat.address == address; }
};
inline const Seat* findSeat(const std::vector<Seat>& seats, const Address& address) {
  for (const Seat& seat : seats)
    if (seat.address == address) return &seat;
  return nullptr;
}
inline bool holdsSeat(const std::vector<Seat>& seats, const Address& address, std::uint64_t incarnation) {
  const Seat* seat = findSeat(seats, address);
  return seat != nullptr && seat->incarnation == incarnation;
}
inline bool spansZones(const std::vector<Seat>& chain) {
  for (const Seat& seat : chain)
    if (seat.zone != chain.front().zone) return true;
  return false;
}

// A chain that acknowledges and shows: in two zones, and with a member more than disks may be lost at once, that is,
// than voters may be with a majority left (design.md 6.4).
inline bool acknowledges(const View& view) {
  const std::size_t losses = view.voters.empty() ? 0 : (view.voters.size() - 1) / 2;
  return view.chain.size() > losses && spansZones(view.chain);
}

// Would the loss of any one zone leave a majority of them?
inline bool outlivesZones(const std::vector<Seat>& voters) {
  for (const Seat& lost : voters) {
    std::size_t left = 0;
    for (const Seat& voter : voters) left += voter.zone != lost.zone ? 1 : 0;
    if (left < voters.size() / 2 + 1) return false;
  }
  return !voters.empty();
}
// Is a member not in the chain?
inline bool seatEmpty(const View& view) { return view.chain.size() < view.voters.size() + view.nonVoters.size(); }
// A vote, unless it would make some zone's loss the loss of the majority; then a nonVoter's seat.
inline void giveSeat(View& wanted, const Seat& seat) {
  std::vector<Seat> with = wanted.voters;
  with.push_back(seat);
  const bool votes = outlivesZones(with) || !outlivesZones(wanted.voters);
  (votes ? wanted.voters : wanted.nonVoters).push_back(seat);
}
inline const Seat* findMember(const View& view, const Address& address) {
  const Seat* voter = findSeat(view.voters, address);
  return voter != nullptr ? voter : findSeat(view.nonVoters, address);
}

// A chain that acknowledges and shows nothing may be left behind for one that starts from a holder of all that was
// acknowledged before it (design.md 6.5).
inline bool mayLeaveChain(const View& view) { return !view.chain.empty() && !acknowledges(view); }

struct Ballot {
  std::uint64_t round = 0;
  Address proposer;
  friend bool operator==(const Ballot&, const Ballot&) = default;
  friend auto operator<=>(const Ballot&, const Ballot&) = default;
  STONEMOUNT_PACK(round, proposer)
};

// What a voter must not forget.
struct VoterMemory {
  std::uint64_t incarnation = 0;
  View view;
  Ballot promised;  // for the view that would follow
  Ballot acceptedBallot;
  std::optional<View> accepted;
  Revision heldRevision = 0;  // in this view it caught up to join the next: what it holds it keeps
  STONEMOUNT_PACK(incarnation, view, promised, acceptedBallot, accepted, heldRevision)
};

struct CommandId {
  std::uint64_t client = 0;
  std::uint64_t number = 0;
  friend bool operator==(const CommandId&, const CommandId&) = default;
  friend auto operator<=>(const CommandId&, const CommandId&) = default;
  STONEMOUNT_PACK(client, number)
};

struct Entry {
  std::uint64_t index = 0;
  Revision revision = 0;  // of the view whose head took it; with the index it names one command
  CommandId id;
  Address client;
  std::uint64_t exchange = 0;
  Bytes command;
  STONEMOUNT_PACK(index, revision, id, client, exchange, command)
};

enum class ReplicaState : std::uint8_t {
  kOpening,        // reading its disk
  kBootstrapping,  // no view known yet
  kOutside,        // a view is known; this incarnation is not in its chain
  kSealed,         // in the chain, but must not pass on or acknowledge until a later view
  kActive,         // serves in the current view
  kBroken,         // its log is too small, or holds what it cannot read; takes part in nothing
  kStandby,        // told by a control process without a disk: it is no replica (StandbyCore)
};
const char* replicaStateText(ReplicaState state);

}  // namespace stonemount
