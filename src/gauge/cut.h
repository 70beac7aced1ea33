// The safe expiry cut: the only time by which anything expires (design.md 8).
#pragma once

#include "vise/pack.h"

namespace stonemount {

enum class Doubt : std::uint8_t { kNone, kNeverCertain, kTakeover, kClockStep, kLongGap, kSessionLost };
const char* doubtText(Doubt doubt);

// Free values of the design; see design.md 8.3 for how they fit in 12 s.
struct GaugePlan {
  Us sampleUs = 500 * kMilliUs;
  Us gapUs = 2 * kSecondUs;       // longer between two rounds: doubt
  Us stepUs = 250 * kMilliUs;     // wall against monotonic in one round: doubt
  Us graceUs = 3 * kSecondUs;     // of stable monotonic time before certainty
  std::uint32_t stableSamples = 3;
  Us agreeUs = kSecondUs;         // two wall clocks nearer than this agree
  Us horizonUs = 3650LL * 24 * 3600 * kSecondUs;
};

// Stamped on by the store's head, which trusts its own clocks and its own memory of the session.
struct CutProposal {
  std::uint64_t epoch = 0;
  std::uint64_t session = 0;
  std::uint64_t round = 0;
  Us samplerElapsedUs = 0;  // monotonic, since the sampler's last round
  Us samplerStepUs = 0;     // wall less monotonic, over the same span
  Us samplerWallUs = 0;
  Us headElapsedUs = 0;     // stamped
  Us headStepUs = 0;        // stamped
  Us headWallUs = 0;        // stamped
  STONEMOUNT_PACK(epoch, session, round, samplerElapsedUs, samplerStepUs, samplerWallUs, headElapsedUs,
                  headStepUs, headWallUs)
};
struct LockWish {
  Address holder;
  std::uint64_t session = 0;  // granted by the head that the sampler is pinned to
  Us headWallUs = 0;          // stamped
  STONEMOUNT_PACK(holder, session, headWallUs)
};

struct CutState {
  std::uint64_t epoch = 0;
  std::uint64_t session = 0;
  Address holder;
  Us cutUs = 0;
  bool begun = false;
  bool certain = false;
  Doubt doubt = Doubt::kNeverCertain;
  std::uint32_t stable = 0;
  Us stableUs = 0;
  std::uint64_t round = 0;
  Us lagUs = 0;           // the head's wall time less the cut, when last sampled
  bool wallAgreed = false;  // sampler's and head's wall clocks agree
  Us wallUs = 0;          // of that sample
  std::uint64_t doubts = 0;
  STONEMOUNT_PACK(epoch, session, holder, cutUs, begun, certain, doubt, stable, stableUs, round, lagUs, wallAgreed,
                  wallUs, doubts)

  void doubtBecause(Doubt why);
  // A successor advances the epoch before it may publish anything.
  void takeLock(const LockWish& wish, bool nothingHeld);
  // False: not of this epoch and session; the sampler's leadership is over.
  bool propose(const CutProposal& proposal, const GaugePlan& plan, bool nothingHeld);
};

// A renewal never shortens.
inline Us renewedLimit(Us currentUs, Us cutUs, Us lengthUs) { return std::max(currentUs, cutUs + lengthUs); }

}  // namespace stonemount
