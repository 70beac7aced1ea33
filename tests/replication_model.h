// What must hold of a chain in every state that a run of the model reaches, watched from outside the replicas: their
// frames, their signals, and the answers that a client gets (docs/design-notes/model-checking.md). Each rule is
// numbered there. The first one broken is kept in `broken`.
#pragma once

#include <map>
#include <set>

#include "replication/replica.h"
#include "simulator/exploration.h"

namespace stonemount {

// The state behind the chain: the list of commands, each of which may be in it once.
class ModelMachine : public Machine {
 public:
  Bytes apply(const Bytes& command) override;
  StampVerdict stamp(const Bytes& command, const HeadSight&) override { return Stamped{command}; }
  QueryVerdict answer(const Bytes&, bool) override { return pack(list_); }
  bool enlarges(const Bytes&) const override { return true; }
  Bytes save() const override { return pack(list_); }
  bool load(const Bytes& state) override;
  bool holds(const Bytes& command) const { return present_.contains(command); }
  bool twice() const { return twice_; }

 private:
  std::vector<Bytes> list_;
  std::set<Bytes> present_;
  bool twice_ = false;
};

struct Acknowledged {
  Revision revision = 0;  // of the view in which it was acknowledged
  Us atUs = 0;
};

class ReplicationRules : public FrameObserver {
 public:
  // The incarnation on the disk at this place, as it is now; 0: none yet.
  void setIncarnation(std::size_t place, std::uint64_t incarnation);
  void wiped(std::size_t place);
  std::uint64_t incarnation(std::size_t place) const;

  void onView(const Replica& replica, const ModelMachine& machine);
  void onApplied(const Replica& replica, const ModelMachine& machine, const Entry& entry, bool acknowledged, Us nowUs);
  // A read that began at this time was answered with this list.
  void onRead(const std::vector<Bytes>& list, Us begunUs, Us nowUs);
  void sent(std::size_t place, const Address& to, const Envelope& frame) override;
  void received(std::size_t place, const Address& from, const Envelope& frame) override;

  std::string broken;  // the first rule that did not hold; empty: all do
  std::map<Revision, View> views;
  std::map<Revision, std::vector<View>> proposed;  // that voters were asked to accept
  std::map<Bytes, Acknowledged> acknowledged;

 private:
  using Exchange = std::pair<Address, std::uint64_t>;
  struct Asking {
    Revision revision = 0;
    Ballot ballot;
  };
  void require(bool holds, const std::string& rule);
  void onReadAnswered(std::size_t place, const ChainReply& reply);
  void onVote(std::size_t place, std::uint16_t kind, const Asking& asking, const VoterReply& reply);
  std::map<std::size_t, std::uint64_t> incarnations_;
  std::set<std::uint64_t> lost_;  // incarnations whose disk was wiped
  std::map<std::pair<std::uint64_t, Revision>, std::pair<CommandId, Bytes>> entries_;
  std::map<Revision, std::uint64_t> tails_;  // the incarnation that confirms reads in this view
  std::map<std::size_t, std::map<Exchange, Asking>> asked_;
  std::map<std::pair<std::uint64_t, Revision>, Ballot> promised_;  // by incarnation and revision
  std::vector<Bytes> longest_;
  std::map<Us, std::size_t> shown_;  // how long the longest list was that had been read by then
};

}  // namespace stonemount
