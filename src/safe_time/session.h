// The sampler's session, pinned to the store's head and kept in its memory only (design.md 8.2).
#pragma once

#include "replication/machine.h"
#include "safe_time/cut.h"

namespace stonemount {

struct SessionAsk {
  static constexpr std::uint16_t kKind = 40;
  Address holder;
  STONEMOUNT_PACK(holder)
};
struct SessionVerdict {
  bool granted = false;
  std::uint64_t session = 0;
  STONEMOUNT_PACK(granted, session)
};

class SessionKeeper {
 public:
  SessionKeeper(Chance& chance, SafeTimePlan plan) : chance_(chance), plan_(plan) {}
  // Granted unless another sampler's session is alive: a healthy leader is never displaced.
  SessionVerdict open(const Address& holder, const HeadSight& sight);
  bool stampLock(LockWish& wish, const HeadSight& sight);
  bool stampProposal(CutProposal& proposal, const HeadSight& sight);
  // True while the session that the chain's state names has been heard of here within the gap.
  bool live(std::uint64_t session, const HeadSight& sight) const;
  // What most wall clocks said at the last round, and the head's monotonic time since; 0: they did not
  // agree. A step of any one clock between two rounds does not show in it.
  // How long ago the live session's last round was; the cut does not hold that time yet.
  Us sinceSampleUs(std::uint64_t session, const HeadSight& sight) const {
    return live(session, sight) ? sight.monoUs - lastMonoUs_ : 0;
  }
  Us wallNowUs(std::uint64_t session, const HeadSight& sight) const;

 private:
  bool mine(std::uint64_t session, const HeadSight& sight) const;
  Chance& chance_;
  SafeTimePlan plan_;
  std::uint64_t session_ = 0;
  Address holder_;
  Revision viewRevision_ = 0;
  std::uint64_t incarnation_ = 0;
  Us lastMonoUs_ = 0;
  Us lastWallUs_ = 0;
  Us agreedWallUs_ = 0;
  std::uint64_t lastRound_ = 0;
};

}  // namespace stonemount
