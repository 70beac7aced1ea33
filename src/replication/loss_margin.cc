#include "replication/loss_margin.h"

#include <algorithm>

namespace stonemount {

namespace {
// Its word counts only from the incarnation that holds the seat, from the current view, and while its disk answers.
bool sound(const View& view, const MemberSight& member) {
  if (!member.pong || member.pong->incarnation != member.seat.incarnation) return false;
  return member.pong->revision == view.revision && diskAnswers(*member.pong, kDiskLostUs);
}

std::vector<Seat> soundAmong(const View& view, const std::vector<Seat>& seats, const std::vector<MemberSight>& members,
                             bool mustServe) {
  std::vector<Seat> found;
  for (const Seat& seat : seats) {
    for (const MemberSight& member : members) {
      if (member.seat != seat || !sound(view, member)) continue;
      if (!mustServe || member.pong->state == ReplicaState::kActive) found.push_back(seat);
      break;
    }
  }
  return found;
}

std::size_t outside(const std::vector<Seat>& seats, const std::string& zone) {
  return static_cast<std::size_t>(
      std::count_if(seats.begin(), seats.end(), [&zone](const Seat& seat) { return seat.zone != zone; }));
}
}  // namespace

LossMargin lossMarginOf(const View& view, const std::vector<MemberSight>& members) {
  const std::vector<Seat> voters = soundAmong(view, view.voters, members, false);
  const std::vector<Seat> copies = soundAmong(view, view.chain, members, true);
  LossMargin margin;
  margin.soundVoters = voters.size();
  margin.majority = view.majority();
  margin.soundCopies = copies.size();
  if (view.voters.empty() || voters.size() < margin.majority || copies.empty()) return margin;
  // A chain that is not whole acknowledges nothing: its members wait for the next view.
  if (copies.size() != view.chain.size() || !acknowledges(view)) return margin;
  margin.machines = std::min(voters.size() - margin.majority, copies.size() - 1);
  margin.anyZone = true;
  for (const Seat& lost : view.voters)
    margin.anyZone &= outside(voters, lost.zone) >= margin.majority && outside(copies, lost.zone) >= 1;
  return margin;
}

}  // namespace stonemount
