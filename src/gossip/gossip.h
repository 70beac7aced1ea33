// How processes know each other: partial views, shuffled between peers (design.md 4).
#pragma once

#include "runtime/rpc_endpoint.h"

namespace stonemount {

// kStandby: a control process without a disk, which is no replica of the control chain.
enum class Role : std::uint8_t { kCore, kStore, kNode, kOther, kStandby };
const char* roleText(Role role);

struct PeerRecord {  // what a process says of itself
  Address wire;
  Address http;
  Role role = Role::kOther;
  std::string zone;
  std::uint64_t life = 0;  // grows with each start
  std::uint64_t beat = 0;  // grows while it runs
  Revision control = 0;    // the newest control revision that it has
  bool draining = false;
  std::string machine;  // its name, where it has one
  bool empty = false;   // a store on the fleet's first start that no chain has taken in
  STONEMOUNT_PACK(wire, http, role, zone, life, beat, control, draining, machine, empty)
};
struct Shuffle {
  static constexpr std::uint16_t kKind = 60;
  std::vector<PeerRecord> records;  // the sender's own first
  STONEMOUNT_PACK(records)
};

struct GossipPlan {
  std::vector<Address> seeds;
  Us shuffleUs = 400 * kMilliUs;
  Us youngUs = 120 * kMilliUs;  // instead, for so long after the start
  Us youngForUs = 3 * kSecondUs;
  Us silentUs = 2500 * kMilliUs;  // no newer beat: not counted as alive
  Us forgetUs = 30 * kSecondUs;   // a record that has not moved for so long is dropped; its address is kept
  Us settledUs = 3 * kSecondUs;   // after a start, or a time apart from the others: not everyone has been met again
  std::size_t most = 64;
  std::size_t told = 16;
};

class Gossip {
 public:
  Gossip(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, GossipPlan plan);
  void begin(PeerRecord self);
  void setSeeds(std::vector<Address> seeds);  // other ones from now on; they are asked at once
  PeerRecord& self() { return self_; }
  struct Sight {
    PeerRecord record;
    Us heardUs = 0;  // when its beat last moved
  };
  std::vector<PeerRecord> alive(Role role) const;
  const absl::btree_map<Address, Sight>& sights() const { return sights_; }
  bool isAlive(const Sight& sight) const;
  // May what this view lacks be taken for gone? Not just after the start, nor while most of the known peers are
  // silent (this process itself may be cut off), nor within `settledUs` of either.
  bool settled() const;
  sigc::signal<void(const PeerRecord&)> met;  // a newer record

 private:
  Task shuffle();
  Task shuffleWith(Address peer);
  bool alone() const;
  bool apart() const;
  void askSilent();
  Address chooseSilent();
  std::vector<PeerRecord> hand();
  void absorb(const std::vector<PeerRecord>& records);
  void onShuffle(const Asked& asked);
  Address selectPeer();
  void trim();
  Ports& ports_;
  RpcEndpoint& rpc_;
  TaskRoom& room_;
  GossipPlan plan_;
  PeerRecord self_;
  Us youngUntilUs_ = 0;
  Us apartUs_ = 0;                          // when it was last found apart, or started
  absl::btree_set<Address> lastAddresses_;  // of records that were dropped because they were silent too long
  absl::btree_map<Address, Sight> sights_;
};

}  // namespace stonemount
