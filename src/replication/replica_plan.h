// How a replica is set up, and what it counts (design.md 6).
#pragma once

#include "replication/congestion_window.h"

namespace stonemount {

struct ReplicaPlan {
  std::string zone;
  std::vector<Address> founders;  // all must be empty and present for the first view
  bool mayFound = true;           // the whole fleet's first start: else nobody founds, ever
  Us pingUs = 200 * kMilliUs;
  Us farPingUs = 500 * kMilliUs;     // of and to those without a seat
  Us pingLimitUs = 1400 * kMilliUs;  // an answer that comes later tells nothing any more
  Us promptPongUs = 250 * kMilliUs;  // only an answer within it tells a clock
  Us suspectUs = 700 * kMilliUs;
  Us slowDiskUs = 800 * kMilliUs;
  std::size_t keptEntries = 20000;  // of its log, for a successor or joiner that is behind
  std::size_t keptBytes = 8 << 20;
  std::size_t memoryBytes = 0;  // that the process may take; 0: not bounded
};

constexpr std::size_t kCatchUpPartBytes = 256 << 10;  // the most of a state or log that is copied at a time
// Bytes that the chain has taken and not committed. Above the commit window nothing is taken that brings new work, so
// that what is taken is committed before its client asks again, whatever its slowest link carries; the rest up to this
// bound is left to what finishes old work.
constexpr std::size_t kUncommittedBytes = 4 << 20;
// From taking a command to its commit, through all members. A client asks again after 0.7 s.
constexpr CongestionWindow::Limits kCommitWindow{512 << 10, 1 << 20, 1 << 20, 600 * kMilliUs};
// From the head's word that there is room to the command: the head's own link. At a tenth of 60 Mbit/s the most stands
// for 0.35 s, half of a member's silence.
constexpr CongestionWindow::Limits kIncomingWindow{32 << 10, 128 << 10, 256 << 10, 150 * kMilliUs};
// Of one Append, from sending it to the successor's answer. Half a second without one ends the attempt.
constexpr CongestionWindow::Limits kAppendWindow{32 << 10, 128 << 10, 128 << 10, 150 * kMilliUs};

// Of a state or log that a joiner copies. The chain's appends and answers go by the same links, and each of them waits
// behind it, so it may add little to their delay.
constexpr CongestionWindow::Limits kCatchUpWindow{16 << 10, 32 << 10, kCatchUpPartBytes, 25 * kMilliUs, true};

// Bytes that its congestion windows allow now.
struct ReplicaWindows {
  std::size_t commit = 0, incoming = 0, append = 0;
};

struct ReplicaCounts {
  std::uint64_t applied = 0, viewChanges = 0, ballots = 0, refusedOld = 0, reads = 0, confirms = 0;
  std::uint64_t leftBehind = 0, snapshots = 0, restartedNarrow = 0;
  std::uint64_t ringFull = 0;     // commands refused for want of room in the ring
  std::uint64_t backlogFull = 0;  // commands refused, and questions for room, because the chain has much to commit
  std::uint64_t repeats = 0;      // commands that came again while they were pending
};

}  // namespace stonemount
