// What is known of the members of one chain, and of who may become one, by asking them (design.md 6.10).
#pragma once

#include "replication/probe_poll.h"

namespace stonemount {

struct FailureDetectorPlan {
  Us deadUs = 2500 * kMilliUs;   // silent to all for so long: another may take its seat
  Us doubtUs = 1500 * kMilliUs;  // silent for so long: another had better be caughtUp, which costs the chain
  Us lateUs = 700 * kMilliUs;    // silent for so long: what it said last is not gone by
  Us blindUs = 1500 * kMilliUs;  // not looked for so long: whoever watches was frozen itself
};

class FailureDetector {
 public:
  explicit FailureDetector(FailureDetectorPlan plan) : plan_(plan) {}
  // Forgets all, or, after a gap in looking, gives everyone their time again.
  void clear() { sights_.clear(); }
  void look(const View& view, Us nowUs);
  void suppose(const Address& member, Us heardUs);  // where nothing is known yet: what others last heard
  void heard(const Address& member, const Pong& pong, Us heardUs);
  bool dead(const View& view, const Address& member, Us nowUs) const;
  bool doubted(const Address& member, Us nowUs) const;
  const Pong* pong(const Address& member, Us nowUs) const;  // absent: not heard lately

 private:
  struct Sight {
    Us heardUs = 0;
    bool asked = false;  // a pong came
    Pong pong;
  };
  FailureDetectorPlan plan_;
  Us lookedUs_ = -1;
  absl::btree_map<Address, Sight> sights_;
};

}  // namespace stonemount
