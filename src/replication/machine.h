// The port between a chain and the state it keeps (design.md 6.2).
#pragma once

#include "replication/follower_count.h"
#include "runtime/shared_bytes.h"
#include "stonemount.h"

namespace stonemount {

struct Hold {};  // nothing new yet for this query
using QueryVerdict = std::variant<Bytes, Hold>;

// What the head has seen itself; it stamps commands with it, so that applying stays deterministic.
struct HeadSight {
  Us monoUs = 0;
  Us wallUs = 0;
  std::uint64_t incarnation = 0;
  Revision viewRevision = 0;
  std::vector<Us> wallsUs;   // wall clocks of its voters, its own among them, as far as it hears them
  std::uint32_t clocks = 0;  // of how many voters
};
struct Stamped {
  Bytes command;
};
struct StampRefused {
  Bytes verdict;  // answered at once; nothing is written
};
using StampVerdict = std::variant<Stamped, StampRefused>;

class Machine {
 public:
  virtual ~Machine() = default;
  virtual Bytes apply(const Bytes& command) = 0;
  virtual StampVerdict stamp(const Bytes& command, const HeadSight& sight) = 0;
  virtual QueryVerdict answer(const Bytes& query, bool mustAnswer) = 0;
  // What the tail tells whoever asks next of those that follow this chain by held reads.
  virtual void setFollowers(const FollowerSight&) {}
  virtual bool enlarges(const Bytes& command) const = 0;  // takes in new work, not needed to finish old
  virtual std::size_t owedBytes() const { return 0; }     // by which what was taken in will yet enlarge the state
  // May one command fill an eighth of the ring? Else half a file of it at most.
  virtual bool takesLong() const { return false; }
  virtual std::size_t owedValueBytes() const { return 0; }  // of them, those of values that stand beside the state
  virtual bool keepsValues() const { return false; }        // does it save any beside its state?
  virtual Bytes save() const = 0;
  virtual bool load(const Bytes& state) = 0;
  // The same state, its long values beside it.
  virtual SavedState saveBeside() const { return {save(), {}}; }
  virtual bool loadBeside(const SavedState& state) { return load(state.bytes); }
};

}  // namespace stonemount
