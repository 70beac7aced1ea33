// The platform's list beside control's word: one node asks the platform for many (docs/design-notes/platform-calls.md).
#pragma once

#include "config/worker_list.h"
#include "gossip/gossip.h"

namespace stonemount {

// What the platform's list tells that a node may take without control: workers that leave, and those that are cold.
// Times are the holder's own monotonic ones.
struct PlatformMarks {
  std::vector<ListedWorker> marked;  // `coldLeftUs` as of `receivedUs`
  Us askedUs = -1;                   // when the platform was asked, at the latest; -1: nothing is held
  Us receivedUs = -1;
  std::uint64_t askerRank = 0;  // of the node that asked the platform
};

// From one node to another: what did the platform tell you, or those whom you asked?
struct PlatformMarksRequest {
  static constexpr std::uint16_t kKind = 71;
  bool keepAsking = false;  // the peer ranks before the sender, which relies on it
  STONEMOUNT_PACK(keepAsking)
};
struct PlatformMarksReply {
  Us ageUs = -1;                // since the platform was asked; -1: nothing that is fresh
  std::uint64_t askerRank = 0;  // see PlatformMarks
  std::vector<ListedWorker> marked;
  STONEMOUNT_PACK(ageUs, askerRank, marked)
};

// Nodes ask that peer that ranks first among those they know to be alive; who knows of none before itself asks the
// platform. Who gets nothing fresh for a while, its peers being lost or cut off, asks the platform itself. Runs on the
// loop's thread.
class PlatformRelay {
 public:
  // `wanted`: does this node itself want to know now? Gossip tells who is alive.
  PlatformRelay(Ports& ports, RpcEndpoint& rpc, const Gossip& gossip, WorkerListSource& source,
                sigc::slot<bool()> wanted);
  // Serves its peers, and asks as long as anybody wants to know.
  void begin(TaskRoom& room);
  // News for a node that wants it: what is marked, and when the platform was asked at the latest.
  sigc::signal<void(const std::vector<ListedWorker>&, Us)> heard;
  std::uint64_t fetches = 0;    // of the whole list from the platform
  std::uint64_t questions = 0;  // to peers

  // Marks that are older are not passed on, nor taken.
  static constexpr Us kFreshUs = 1500 * kMilliUs;
  // Without anything fresh for so long, and for a chance part of the spread, a node asks the platform itself.
  static constexpr Us kPatienceUs = 600 * kMilliUs;
  static constexpr Us kPatienceSpreadUs = 300 * kMilliUs;
  static constexpr Us kHeldSpreadUs = 900 * kMilliUs;  // where marks are held that have just turned old

 private:
  enum class Outcome : std::uint8_t { kFromPeer, kPlatformAsked, kNothing };
  Task run();
  Job<Outcome> refresh();
  Job<bool> askPeer(Address peer);
  Job<Done> askPlatform();
  // The peer to ask now, if any: the one that ranks first, and every other time any other one.
  std::optional<Address> choosePeer();
  bool patient();
  bool fresh() const;
  bool wantedByPeers() const;
  Us pauseUs(Outcome outcome);
  Us someMs(std::uint64_t leastMs);
  Us leftOfPatienceUs() const;
  void take(PlatformMarks marks);
  void onRequest(const Asked& asked);
  Ports& ports_;
  RpcEndpoint& rpc_;
  const Gossip& gossip_;
  WorkerListSource& source_;
  sigc::slot<bool()> wanted_;
  PlatformMarks marks_;
  std::map<Address, Us> silentPeers_;  // did not answer; until when they are passed over
  Us peerAskedUs_ = -1;                // when a peer last wanted to know
  Us platformAgainUs_ = 0;             // not before
  Us patientUntilUs_ = -1;             // -1: nothing is lacking
  bool first_ = false;                 // no peer that ranks before this node is known to be alive
  bool peerSilent_ = false;            // the last that was asked
  bool anyPeer_ = false;               // the next question goes to any peer
  std::uint64_t turnedAway_ = 0;       // by the platform, in a row
};

}  // namespace stonemount
