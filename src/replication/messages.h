// What chain members say to each other and to clients (design.md 6). Every one names its view revision.
#pragma once

#include "replication/view.h"

namespace stonemount {

struct Ping {
  static constexpr std::uint16_t kKind = 1;
  Revision revision = 0;
  std::uint64_t incarnation = 0;
  STONEMOUNT_PACK(revision, incarnation)
};
struct Probe {  // the same question from someone who is no member and need not be pinged
  static constexpr std::uint16_t kKind = 16;
  std::uint8_t unused = 0;
  STONEMOUNT_PACK(unused)
};
struct Pong {
  std::uint64_t incarnation = 0;
  Revision revision = 0;
  ReplicaState state = ReplicaState::kOpening;
  std::string zone;
  std::uint64_t end = 0;
  bool caughtUp = false;
  bool copying = false;     // another's state, part by part
  bool ballotOpen = false;  // has accepted a next view that it does not know to be decided
  Us stalledUs = 0;
  Us worstSyncUs = 0;
  Us wallUs = 0;
  std::vector<Address> suspects;  // to whom it has no way there and back
  STONEMOUNT_PACK(incarnation, revision, state, zone, end, caughtUp, copying, ballotOpen, stalledUs, worstSyncUs,
                  wallUs, suspects)
};
// A replica that answers while its disk does not can neither vote nor keep anything: it is lost to every count of
// sound members, as if it were silent (design.md 5.4). So is a process that stands by, having no disk.
inline bool diskAnswers(const Pong& pong, Us limitUs) {
  return pong.state != ReplicaState::kBroken && pong.state != ReplicaState::kStandby && pong.stalledUs < limitUs;
}
struct ViewAsk {
  static constexpr std::uint16_t kKind = 2;
  std::uint8_t unused = 0;
  STONEMOUNT_PACK(unused)
};
struct ViewReply {
  View view;
  STONEMOUNT_PACK(view)
};
struct Bootstrap {  // the first view, proposed once every founder is empty
  static constexpr std::uint16_t kKind = 3;
  View view;
  STONEMOUNT_PACK(view)
};
// The names (index, view revision) of the entries that a member still keeps, run by run. Two logs
// that hold an entry of one name are the same up to it.
struct LogNames {
  std::uint64_t keptAfter = 0;  // it can pass on what comes after this entry
  std::uint64_t end = 0;
  std::vector<std::pair<std::uint64_t, Revision>> runs;  // first index of each run; begins at keptAfter
  std::optional<Revision> revisionAt(std::uint64_t index) const;
  STONEMOUNT_PACK(keptAfter, end, runs)
};
struct Fence {
  static constexpr std::uint16_t kKind = 4;
  Revision revision = 0;
  STONEMOUNT_PACK(revision)
};
struct FenceReply {
  bool granted = false;
  std::uint64_t incarnation = 0;
  std::uint64_t end = 0;
  LogNames names;
  STONEMOUNT_PACK(granted, incarnation, end, names)
};
struct Prepare {
  static constexpr std::uint16_t kKind = 5;
  Revision revision = 0;  // the view that is current; the ballot is for the next
  Ballot ballot;
  STONEMOUNT_PACK(revision, ballot)
};
struct Accept {
  static constexpr std::uint16_t kKind = 6;
  Revision revision = 0;
  Ballot ballot;
  View view;
  STONEMOUNT_PACK(revision, ballot, view)
};
struct Confirm {
  static constexpr std::uint16_t kKind = 7;
  Revision revision = 0;
  STONEMOUNT_PACK(revision)
};
struct VoterReply {
  bool granted = false;
  std::uint64_t incarnation = 0;
  Ballot promised;
  Ballot acceptedBallot;
  std::optional<View> accepted;
  STONEMOUNT_PACK(granted, incarnation, promised, acceptedBallot, accepted)
};
struct Decided {
  static constexpr std::uint16_t kKind = 8;
  View view;
  STONEMOUNT_PACK(view)
};
struct Append {
  static constexpr std::uint16_t kKind = 9;
  Revision revision = 0;
  std::uint64_t after = 0;  // the successor must hold all up to here
  bool verified = false;    // the predecessor is, and has seen the successor hold all that it held then
  std::vector<Entry> entries;
  STONEMOUNT_PACK(revision, after, verified, entries)
};
struct PassedOn {
  bool granted = false;
  bool sameView = false;
  std::uint64_t end = 0;
  Revision endRevision = 0;
  std::uint64_t committed = 0;
  STONEMOUNT_PACK(granted, sameView, end, endRevision, committed)
};
struct FetchState {
  static constexpr std::uint16_t kKind = 10;
  std::uint64_t token = 0;  // 0: take a new snapshot
  std::uint64_t offset = 0;
  std::uint32_t most = 0;  // bytes
  STONEMOUNT_PACK(token, offset, most)
};
struct StatePart {
  bool later = false;  // another copies now: ask again
  std::uint64_t token = 0;
  std::uint64_t total = 0;
  std::uint64_t stateBytes = 0;  // of them, the first: the packed state; its values follow (state_stream.h)
  std::uint64_t end = 0;
  Revision revision = 0;  // of the view in which the snapshot was taken
  Bytes bytes;
  STONEMOUNT_PACK(later, token, total, stateBytes, end, revision, bytes)
};
struct FetchLog {
  static constexpr std::uint16_t kKind = 11;
  Revision revision = 0;
  std::uint64_t after = 0;
  Revision afterRevision = 0;  // must match the source's own entry, or the logs have parted
  std::uint32_t most = 0;      // bytes
  STONEMOUNT_PACK(revision, after, afterRevision, most)
};
struct LogPart {
  bool granted = false;
  bool parted = false;  // the logs differ, or the source no longer keeps what is missing
  std::vector<Entry> entries;
  std::uint64_t end = 0;
  std::uint64_t bytesLeft = 0;  // of commands behind these entries, up to that end
  STONEMOUNT_PACK(granted, parted, entries, end, bytesLeft)
};
struct CatchUp {
  static constexpr std::uint16_t kKind = 12;
  Revision revision = 0;
  Address source;
  std::uint64_t end = 0;
  STONEMOUNT_PACK(revision, source, end)
};
struct ChangeVoters {  // an operator's request; add without remove joins, remove without add retires
  static constexpr std::uint16_t kKind = 13;
  Address add;
  Address remove;
  STONEMOUNT_PACK(add, remove)
};
struct Invite {  // to one without a seat: copy the chain, you are wanted in it
  static constexpr std::uint16_t kKind = 17;
  std::uint8_t unused = 0;
  STONEMOUNT_PACK(unused)
};
struct BootstrapMembers {  // who makes the first view, as it was agreed once (design.md 6.10)
  static constexpr std::uint16_t kKind = 18;
  std::vector<Address> founders;
  STONEMOUNT_PACK(founders)
};
enum class ChangeOutcome : std::uint8_t { kDone, kNotReady, kUnknown, kTooFew, kBusy, kNoMajority };
struct ChangeReply {
  ChangeOutcome outcome = ChangeOutcome::kBusy;
  STONEMOUNT_PACK(outcome)
};
// From the tail to the head: what is durable at all members, so that the head bounds what is not, and answers commands
// that came again meanwhile. One that is lost is followed by the next, within a second.
struct Committed {
  static constexpr std::uint16_t kKind = 19;
  Revision revision = 0;
  std::uint64_t end = 0;
  STONEMOUNT_PACK(revision, end)
};
// Asked of the head before a long command that brings new work is sent: would it be taken now? So what a burst hands in
// never fills the link of the head, where signs of life and answers go too (design.md 6.3).
// Where the command is pending already, it is answered with that one's result.
struct RoomRequest {
  static constexpr std::uint16_t kKind = 20;
  Revision revision = 0;
  CommandId id;
  std::uint64_t bytes = 0;
  bool enlarges = false;  // the command brings new work
  STONEMOUNT_PACK(revision, id, bytes, enlarges)
};
struct Submit {
  static constexpr std::uint16_t kKind = 14;
  Revision revision = 0;
  CommandId id;
  Bytes command;
  STONEMOUNT_PACK(revision, id, command)
};
struct Read {
  static constexpr std::uint16_t kKind = 15;
  Revision revision = 0;
  Bytes query;
  Us holdUs = 0;
  STONEMOUNT_PACK(revision, query, holdUs)
};
enum class ChainOutcome : std::uint8_t { kDone, kNotMine, kTooFewCopies, kBusy, kRingFull, kTooLong, kRoom };
struct ChainReply {
  ChainOutcome outcome = ChainOutcome::kNotMine;
  Revision revision = 0;
  Bytes body;
  STONEMOUNT_PACK(outcome, revision, body)
};

}  // namespace stonemount
