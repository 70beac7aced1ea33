#include "replication_model.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

Bytes ModelMachine::apply(const Bytes& command) {
  twice_ |= !present_.insert(command).second;
  list_.push_back(command);
  return pack(static_cast<std::uint64_t>(list_.size()));
}

bool ModelMachine::load(const Bytes& state) {
  auto read = unpack<std::vector<Bytes>>(state);
  if (!std::holds_alternative<std::vector<Bytes>>(read)) return false;
  list_ = std::get<std::vector<Bytes>>(std::move(read));
  present_ = std::set<Bytes>(list_.begin(), list_.end());
  twice_ |= present_.size() != list_.size();
  return true;
}

void ReplicationRules::require(bool holds, const std::string& rule) {
  if (!holds && broken.empty()) broken = rule;
}

void ReplicationRules::setIncarnation(std::size_t place, std::uint64_t incarnation) {
  if (incarnation != 0) incarnations_[place] = incarnation;
}

void ReplicationRules::wiped(std::size_t place) {
  lost_.insert(incarnation(place));
  incarnations_.erase(place);
}

std::uint64_t ReplicationRules::incarnation(std::size_t place) const {
  auto found = incarnations_.find(place);
  return found == incarnations_.end() ? 0 : found->second;
}

// Rule 1 (every later view's chain holds what was acknowledged) and rule 3 (one revision, one view).
void ReplicationRules::onView(const Replica& replica, const ModelMachine& machine) {
  const View& view = replica.view();
  if (view.revision == 0) return;
  require(views.emplace(view.revision, view).first->second == view, absl::StrCat("two views ", view.revision));
  if (!replica.active()) return;
  for (const auto& [command, when] : acknowledged)
    if (when.revision < view.revision)
      require(machine.holds(command), absl::StrCat("view ", view.revision, " began without acknowledged ", command));
}

// Rule 4 (a command is applied once) and rule 5 (entries of one name are equal).
void ReplicationRules::onApplied(const Replica& replica, const ModelMachine& machine, const Entry& entry,
                                 bool acknowledgedHere, Us nowUs) {
  require(!machine.twice(), absl::StrCat("applied twice: ", entry.command));
  const std::pair<CommandId, Bytes> content(entry.id, entry.command);
  const bool same = entries_.emplace(std::make_pair(entry.index, entry.revision), content).first->second == content;
  require(same, absl::StrCat("two entries of one name, index ", entry.index, " revision ", entry.revision));
  if (acknowledgedHere) acknowledged.emplace(entry.command, Acknowledged{replica.view().revision, nowUs});
}

// Rule 1 again, as a reader sees it: nothing acknowledged before the read began is missing, and reads never go back.
void ReplicationRules::onRead(const std::vector<Bytes>& list, Us begunUs, Us nowUs) {
  const std::set<Bytes> seen(list.begin(), list.end());
  require(seen.size() == list.size(), "a read shows a command twice");
  for (const auto& [command, when] : acknowledged)
    if (when.atUs < begunUs) require(seen.contains(command), absl::StrCat("a read lacks acknowledged ", command));
  const std::vector<Bytes>& shorter = list.size() < longest_.size() ? list : longest_;
  const std::vector<Bytes>& longer = list.size() < longest_.size() ? longest_ : list;
  require(std::equal(shorter.begin(), shorter.end(), longer.begin()), "two reads differ in what both show");
  for (const auto& [atUs, size] : shown_)
    if (atUs < begunUs) require(list.size() >= size, "a read goes back behind an earlier one");
  longest_ = longer;
  shown_[nowUs] = longest_.size();
}

void ReplicationRules::received(std::size_t place, const Address& from, const Envelope& frame) {
  if (frame.verdict) return;
  Asking asking;
  if (frame.kind == Prepare::kKind) {
    auto read = unpack<Prepare>(frame.body);
    if (auto* prepare = std::get_if<Prepare>(&read)) asking = {prepare->revision, prepare->ballot};
  } else if (frame.kind == Accept::kKind) {
    auto read = unpack<Accept>(frame.body);
    if (auto* accept = std::get_if<Accept>(&read)) {
      asking = {accept->revision, accept->ballot};
      proposed[accept->view.revision].push_back(accept->view);
    }
  } else if (frame.kind == Confirm::kKind) {
    auto read = unpack<Confirm>(frame.body);
    if (auto* confirm = std::get_if<Confirm>(&read)) asking.revision = confirm->revision;
  }
  if (asking.revision != 0) asked_[place][{from, frame.exchange}] = asking;
}

void ReplicationRules::sent(std::size_t place, const Address& to, const Envelope& frame) {
  if (!frame.verdict) return;
  if (frame.kind == Read::kKind) {
    auto read = unpack<ChainReply>(frame.body);
    if (auto* reply = std::get_if<ChainReply>(&read)) onReadAnswered(place, *reply);
    return;
  }
  if (frame.kind != Prepare::kKind && frame.kind != Accept::kKind && frame.kind != Confirm::kKind) return;
  auto found = asked_[place].find({to, frame.exchange});
  auto read = unpack<VoterReply>(frame.body);
  auto* reply = std::get_if<VoterReply>(&read);
  if (found != asked_[place].end() && reply != nullptr && reply->granted)
    onVote(place, frame.kind, found->second, *reply);
}

// Rule 2: in one view, one replica at most answers reads.
void ReplicationRules::onReadAnswered(std::size_t place, const ChainReply& reply) {
  if (reply.outcome != ChainOutcome::kDone) return;
  const std::uint64_t tail = tails_.emplace(reply.revision, incarnation(place)).first->second;
  require(tail == incarnation(place), absl::StrCat("two tails answer reads in view ", reply.revision));
}

// Rule 6: a vote is given only by who holds the seat with the disk that it holds now, and rule 7: never below a ballot
// to which that disk has sworn.
void ReplicationRules::onVote(std::size_t place, std::uint16_t kind, const Asking& asking, const VoterReply& reply) {
  require(!lost_.contains(reply.incarnation) && reply.incarnation == incarnation(place),
          "a vote under an incarnation that was wiped");
  auto view = views.find(asking.revision);
  bool seated = view == views.end();  // it may vote in a view of which its observers have not heard yet
  if (!seated)
    for (const Seat& voter : view->second.voters) seated |= voter.incarnation == reply.incarnation;
  require(seated, "a vote without a seat");
  if (kind == Confirm::kKind) return;
  Ballot& promised = promised_[{reply.incarnation, asking.revision}];
  require(kind == Accept::kKind ? asking.ballot >= promised : asking.ballot > promised, "a vote below a promise");
  promised = std::max(promised, asking.ballot);
}

}  // namespace stonemount
