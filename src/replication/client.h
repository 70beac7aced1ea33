// How everyone else talks to a chain: commands to the head, reads to the tail (design.md 6.8).
#pragma once

#include "replication/messages.h"
#include "runtime/rpc_endpoint.h"

namespace stonemount {

enum class ChainError : std::uint8_t {
  kUnreachable,   // no answer in time; a command may or may not have been taken
  kTooFewCopies,  // refused: it could not have been kept in two zones
  kBusy,
  kRingFull,
  kTooLong,  // no record of the ring could hold it
};
const char* troubleText(ChainError trouble);
struct ChainFailure {
  ChainError trouble = ChainError::kUnreachable;
  bool unsure = false;  // a command may have been taken, or yet be
};
using ChainAnswer = std::variant<Bytes, ChainFailure>;

// What to do with a command that the head refuses for want of room: surely not taken, and perhaps taken a moment later.
enum class WhenFull : std::uint8_t {
  kTryAgain,    // as long as the limits allow
  kTellAtOnce,  // the caller has someone to tell: asking on, with much to carry, keeps the head from its work
};

class ChainClient {
 public:
  ChainClient(Ports& ports, RpcEndpoint& rpc, std::vector<Address> members);
  // The same command is sent again until it is known to be applied, and is applied once.
  // While it is sure not to have been taken it is given up after `sureUs` already, if that is given.
  Job<ChainAnswer> submit(Bytes command, Us limitUs, Us sureUs = 0, WhenFull whenFull = WhenFull::kTryAgain);
  Job<ChainAnswer> read(Bytes query, Us holdUs, Us limitUs);
  Job<std::variant<ChangeReply, PeerSilent>> changeVoters(ChangeVoters request, Us limitUs);
  const View& view() const { return view_; }
  void learnMember(const Address& member) { members_.insert(member); }
  void forgetMember(const Address& member);  // it is no replica; it stays known only while it has a seat
  // Asks the members for the newest view, for `limitUs` at the most.
  Job<Done> refresh(Us limitUs = kSecondUs);
  // Looks for the newest view, and whether its head and most voters can be heard. False: a command sent now would be
  // sent in vain.
  Job<bool> findHead();

 private:
  // Asks the head whether it has room for the command, or has it already; none: it was silent.
  Job<std::optional<ChainReply>> askForRoom(const Submit& submit, bool enlarges, Us limitUs);
  void takeView(const View& view);
  void keepSeats();
  Ports& ports_;
  RpcEndpoint& rpc_;
  absl::btree_set<Address> members_;
  View view_;
  std::uint64_t clientId_;
  std::uint64_t lastNumber_ = 0;
  bool refreshing_ = false;
  bool tailSilent_ = false;  // the last read was not answered
};

}  // namespace stonemount
