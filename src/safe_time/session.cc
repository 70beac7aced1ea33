#include "safe_time/session.h"

namespace stonemount {

// A session is worth something only at this head, in this view, in this life of the process.
bool SessionKeeper::mine(std::uint64_t session, const HeadSight& sight) const {
  return session != 0 && session == session_ && sight.viewRevision == viewRevision_ &&
         sight.incarnation == incarnation_;
}

bool SessionKeeper::live(std::uint64_t session, const HeadSight& sight) const {
  return mine(session, sight) && sight.monoUs - lastMonoUs_ <= plan_.gapUs;
}

Us SessionKeeper::wallNowUs(std::uint64_t session, const HeadSight& sight) const {
  return live(session, sight) && agreedWallUs_ != 0 ? agreedWallUs_ + sight.monoUs - lastMonoUs_ : 0;
}

SessionVerdict SessionKeeper::open(const Address& holder, const HeadSight& sight) {
  if (live(session_, sight) && holder_ != holder) return {false, 0};
  session_ = chance_.next() | 1;
  holder_ = holder;
  viewRevision_ = sight.viewRevision;
  incarnation_ = sight.incarnation;
  lastMonoUs_ = sight.monoUs;
  lastWallUs_ = sight.wallUs;
  agreedWallUs_ = 0;
  lastRound_ = 0;
  return {true, session_};
}

bool SessionKeeper::stampLock(LockWish& wish, const HeadSight& sight) {
  if (!mine(wish.session, sight) || holder_ != wish.holder) return false;
  lastMonoUs_ = sight.monoUs;
  lastWallUs_ = sight.wallUs;
  return true;
}

bool SessionKeeper::stampProposal(CutProposal& proposal, const HeadSight& sight) {
  if (!mine(proposal.session, sight) || proposal.round < lastRound_) return false;
  proposal.wallsUs.insert(proposal.wallsUs.end(), sight.wallsUs.begin(), sight.wallsUs.end());
  proposal.clocks += sight.clocks;
  if (proposal.round == lastRound_) {  // sent again: if the first is lost, this one adds no time
    proposal.headElapsedUs = 0;
    proposal.headStepUs = 0;
    return true;
  }
  proposal.headElapsedUs = sight.monoUs - lastMonoUs_;
  proposal.headStepUs = (sight.wallUs - lastWallUs_) - proposal.headElapsedUs;
  lastMonoUs_ = sight.monoUs;
  lastWallUs_ = sight.wallUs;
  lastRound_ = proposal.round;
  agreedWallUs_ = agreedWall(proposal, plan_).value_or(0);
  return true;
}

}  // namespace stonemount
