// One member of a chain: the same module keeps control state and store (design.md 6).
#pragma once

#include "replication/commit_window.h"
#include "replication/copy_outcome.h"
#include "replication/copy_queue.h"
#include "replication/follower_count.h"
#include "replication/incoming_room.h"
#include "replication/loss_margin.h"
#include "replication/machine.h"
#include "replication/peer_sight.h"
#include "replication/pending_commands.h"
#include "replication/recent_log.h"
#include "replication/replica_plan.h"
#include "replication/state_bounds.h"
#include "replication/state_stream.h"
#include "replication/waiting_read.h"
#include "runtime/pending_call.h"
#include "write_ahead_log/group_commit.h"

namespace stonemount {

class Replica {
 public:
  Replica(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, Machine& machine, ReplicaPlan plan);
  ~Replica();
  void begin();
  void meet(const Address& peer);  // another process of this chain

  const View& view() const { return memory_.view; }
  ReplicaState state() const { return state_; }
  std::uint64_t incarnation() const { return memory_.incarnation; }
  std::uint64_t end() const { return end_; }
  bool active() const { return state_ == ReplicaState::kActive; }
  bool head() const { return active() && memory_.view.chain.front().address == self_; }
  bool tail() const { return active() && memory_.view.chain.back().address == self_; }
  HeadSight sight() const;
  // What the chain can lose now, as far as this replica hears its members.
  LossMargin lossMargin() const;
  bool copying() const { return copying_; }  // another's state, part by part
  const ReplicaCounts& counts() const { return counts_; }
  ReplicaWindows windows() const;
  const absl::btree_map<Address, PeerSight>& peers() const { return peers_; }
  const WriteAheadLog& wal() const { return wal_; }
  sigc::signal<void()> viewMoved;
  sigc::signal<void(const Entry&)> taken;          // at the head, as it stamped it
  sigc::signal<void(const Entry&, bool)> applied;  // here; and whether it was acknowledged

 private:
  // replica.cc, replica_persistence.cc, bootstrap.cc: life, disk, view
  Task open();
  Task bootstrap();
  void changeState(ReplicaState next);
  Job<bool> keepMemory();
  bool replay(const LogContent& content);
  Job<bool> takeView(View next);
  void stateFromView();
  SavedState image() const;
  bool loadImage(const SavedState& saved, bool own);
  void noteImage(const SavedState& saved);
  StateBounds bounds(std::size_t owedValueBytes) const;
  void beginCheckpoint();
  void maybeCheckpoint();
  void logOverflowed();
  void onViewAsk(const Asked& asked);
  void onBootstrap(const Asked& asked);
  void onDecided(const Asked& asked);
  Task takeViewTask(View next);
  // intake.cc: commands at the head
  void onSubmit(const Asked& asked);
  void takeCommand(const Asked& asked, Submit& submit);
  // room_requests.cc
  void onRoomRequest(const Asked& asked);
  void answerRoomRequests();
  std::optional<ChainOutcome> roomFor(const IncomingRoom::Waiting& waiting);
  ChainOutcome promiseRoom(const IncomingRoom::Waiting& waiting);
  Task watchRoomRequests();
  ChainOutcome admission(std::size_t commandBytes, bool enlarges);
  std::optional<ChainOutcome> notHead(Revision revision) const;
  bool knows(const CommandId& id, const Asked& asked);
  void logRingFull(std::size_t bytes);
  void logBacklogFull(std::size_t bytes);
  std::size_t uncommittedBytes() const;
  void onCommitted(const Asked& asked);
  void noteCommitted(std::uint64_t index);
  // relay.cc: commands along the chain
  std::size_t unpassedBytes() const;
  void tellCommitted();
  void onAppend(const Asked& asked);
  void tell(const Asked& asked, ChainOutcome outcome);  // an outcome without a body
  Task write();
  Job<bool> markSynced();
  Task passOn();
  void noteAppend(std::size_t bytes, Us sentUs, bool answered);
  void logSlowSuccessor(Us delayUs);
  void leaveBehind(const Address& successor, std::uint64_t itsEnd);
  void applyEntry(const Entry& entry, bool release);
  void keepRecent(const Entry& entry, Revision before);
  LogNames logNames() const;
  bool begins(const PassedOn& successor) const;
  void answerAppend(const Asked& asked, bool granted);
  // reader.cc: reads at the tail
  void onRead(const Asked& asked);
  Task readBatches();
  void releaseReads(std::vector<WaitingRead> batch);
  void wakeHeld();
  // voter.cc: ballots
  Pong pong() const;
  void onPing(const Asked& asked);
  void onProbe(const Asked& asked);
  void onFence(const Asked& asked);
  void onPrepare(const Asked& asked);
  void onAccept(const Asked& asked);
  void onConfirm(const Asked& asked);
  Task answerDurably(Asked asked, VoterReply verdict);
  bool votes(Revision revision) const;
  bool holds() const;
  // peer_liveness.cc, reconfigurer.cc, propose.cc: detection and proposals
  Task ping(Address peer);
  Task pingOnce(Address peer);
  Task fetchView(Address peer);
  Task pingAll();
  Task reconfigure();
  bool heardLately(const Address& peer) const;
  bool suspicion(const Seat& one, const Seat& other) const;
  bool aliveSeat(const Seat& seat) const;
  bool hearsAll() const;
  void onRefused(const Address& peer);
  bool ableSeat(const Seat& seat) const;     // alive, and its disk answers
  bool healthySeat(const Seat& seat) const;  // and is not slow
  std::optional<View> wantedView() const;
  std::optional<View> viewWithoutRemoved(const View& wanted) const;
  std::optional<View> viewFromHolder() const;
  bool addReadyPeer(View& wanted) const;
  bool promoteNonVoters(View& wanted) const;
  bool ready(const Address& peer) const;
  bool close(const Address& peer) const;
  std::size_t turn() const;
  Us voterSyncUs() const;
  void onChangeVoters(const Asked& asked);
  Task changeVoters(Asked asked);
  Job<ChangeOutcome> propose(View target);
  Job<bool> fenceChain(View& target);
  Job<bool> fenceHolder(View& target);
  Job<bool> ballot(View target);
  // catch_up_source.cc: what joiners copy
  bool takeSnapshot();
  bool snapshotServes() const;
  // catch_up.cc
  Task followTail();
  Job<bool> fetchState(Address source);  // logs how it went
  Job<CopyOutcome> copyState(Address source);
  void noteCopyBegan(const Address& source);
  Job<bool> writeCheckpoint();
  Job<bool> fetchLog(Address source, std::uint64_t upTo);
  bool nearEnd(const LogPart& part, Us tookUs);
  void logFollowing(const LogPart& part, Us tookUs);
  void onFetchState(const Asked& asked);
  void onFetchLog(const Asked& asked);
  void onCatchUp(const Asked& asked);
  Task catchUp(Asked asked, CatchUp request);
  void onInvite(const Asked& asked);
  void onBootstrapMembers(const Asked& asked);
  bool invited() const;
  bool wanted() const;  // in the chain: it holds a seat, or is invited
  void noteCatchUp(std::size_t bytes, bool full, const PendingCall& call);
  std::unique_ptr<PendingCall> askForLog(const Address& source, std::uint64_t after, Revision afterRevision);
  bool keepEntries(const std::vector<Entry>& entries);

  Ports& ports_;
  RpcEndpoint& rpc_;
  TaskRoom& room_;
  Machine& machine_;
  ReplicaPlan plan_;
  Address self_;
  WriteAheadLog wal_;
  GroupCommit groupCommit_;
  ReplicaState state_ = ReplicaState::kOpening;
  VoterMemory memory_;
  ReplicaCounts counts_;
  // the log
  std::uint64_t end_ = 0;                             // last entry that is durable here and applied
  std::uint64_t committed_ = 0;                       // last entry known to be durable at the tail
  RecentLog recent_;                                  // entries that others may still need
  std::size_t imageBytes_ = 0;                        // of the newest checkpoint, without its values
  std::size_t valueBytes_ = 0;                        // of its values
  Us checkpointedUs_ = 0;                             // when it was begun
  bool roomWanted_ = false;                           // a command was refused since
  Us ringFullToldUs_ = -1;                            // when refusals for want of room were last logged
  Us backlogToldUs_ = -1;                             // and those for a successor that is far behind
  Us slowSuccessorToldUs_ = 0, followingToldUs_ = 0;  // when these were last logged
  PendingCommands pending_;                           // at the head
  std::deque<Entry> inbox_;                           // received in this view, not yet durable
  std::size_t inboxBytes_ = 0;
  std::vector<Asked> appendsWaiting_;
  std::uint64_t appended_ = 0;  // last entry handed to the disk, durable or not
  Revision endRevision_ = 0;    // of the entry at end_
  std::uint64_t received() const;
  Event inboxEvent_, passEvent_, readEvent_, reconfigureEvent_;
  std::optional<std::uint64_t> successorEnd_;  // once its log is known to be the beginning of ours
  bool successorTold_ = false;
  std::uint64_t successorPeak_ = 0;  // the most that it said to hold in this view
  // Our log is known to be the beginning of our predecessor's, in this view, and to hold all that the
  // head held as the view began.
  bool verified_ = false;
  std::uint64_t verifiedEnd_ = 0;        // where it ended then
  std::map<CommandId, Bytes> verdicts_;  // of commands applied lately; a retry finds its own
  std::deque<CommandId> verdictOrder_;
  std::size_t verdictBytes_ = 0;
  // reads
  std::deque<WaitingRead> reads_;
  std::vector<WaitingRead> held_;
  FollowerCount followers_;
  IncomingRoom incomingRoom_{kIncomingWindow};
  bool roomWatched_ = false;  // watchRoomRequests runs
  CommitWindow commitWindow_{kCommitWindow};
  CongestionWindow appendWindow_{kAppendWindow};  // of the link to the successor
  // peers
  absl::btree_map<Address, PeerSight> peers_;
  absl::btree_set<Address> pinged_;
  absl::btree_set<Address> viewFetchers_;  // who is being asked for a later view
  std::uint64_t highestRound_ = 0;
  Us needSinceUs_ = -1;
  Us blindUntilUs_ = 0;  // since a start or a freeze it has not heard enough to suspect anyone
  bool proposing_ = false;
  Us promisedUs_ = 0;             // when it last promised another's ballot
  Revision durableRevision_ = 0;  // of the newest view that its disk holds
  std::optional<ChangeVoters> request_;
  std::size_t requesters_ = 0;  // who wait for it
  Address tooFarBehind_;        // a successor left behind, until the next view
  // refill
  Us invitedUntilUs_ = 0;  // by who wants it in; else a member without a seat copies nothing
  Event catchUpEvent_;
  bool caughtUp_ = false;
  bool fetching_ = false, copying_ = false;
  bool fetchRefused_ = false;
  Us nearSinceUs_ = -1;                             // since when it lacks few entries; -1: it lacks many
  CongestionWindow catchUpWindow_{kCatchUpWindow};  // of what is asked for at a time
  bool imageLoose_ = false;                         // a fetched state is in memory and not yet on the disk
  Us heldUntilUs_ = 0;                              // sealed as a holder: fetches nothing meanwhile
  sigc::connection refused_;
  std::uint64_t snapshotToken_ = 0;
  Us snapshotUsedUs_ = 0;
  CopyQueue copyQueue_;
  StateImage snapshot_;         // for joiners
  StateStream snapshotStream_;  // of it
  StateImage checkpointImage_;  // while it is being written
};

}  // namespace stonemount
