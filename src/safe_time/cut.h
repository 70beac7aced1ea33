// The safe expiry cut: the only time by which anything expires (design.md 8).
#pragma once

#include "runtime/pack.h"

namespace stonemount {

enum class Doubt : std::uint8_t { kNone, kNeverCertain, kTakeover, kClockStep, kLongGap, kSessionLost, kRates };
const char* doubtText(Doubt doubt);

// Free values of the design; see design.md 8.3 for how they fit in 12 s.
struct SafeTimePlan {
  Us sampleUs = 300 * kMilliUs;
  Us gapUs = 2 * kSecondUs;    // longer between two rounds: doubt
  Us stepUs = 250 * kMilliUs;  // wall against monotonic in one round: doubt
  Us graceUs = kSecondUs;      // of stable monotonic time before certainty
  std::uint32_t stableSamples = 3;
  Us agreeUs = kSecondUs;  // wall clocks nearer than this agree
  Us driftUs = kSecondUs;  // between the two monotonic clocks, beyond 1 in 1,000: doubt
  Us horizonUs = 3650LL * 24 * 3600 * kSecondUs;
};

// Stamped on by the store's head, which trusts its own clocks and its own memory of the session.
struct CutProposal {
  std::uint64_t epoch = 0;
  std::uint64_t session = 0;
  std::uint64_t round = 0;
  Us samplerElapsedUs = 0;   // monotonic, since the sampler's last round
  Us samplerStepUs = 0;      // wall less monotonic, over the same span
  Us headElapsedUs = 0;      // stamped
  Us headStepUs = 0;         // stamped
  std::vector<Us> wallsUs;   // wall clocks of the cores, as the sampler sees them; the head adds the stores'
  std::uint32_t clocks = 0;  // of how many: all voters of both chains, seen or not
  STONEMOUNT_PACK(epoch, session, round, samplerElapsedUs, samplerStepUs, headElapsedUs, headStepUs, wallsUs, clocks)
};
// What most of all wall clocks say within a second, the earliest of those (design.md 8.4). Nobody's
// clock alone, nor any minority, can say it.
std::optional<Us> agreedWall(const CutProposal& proposal, const SafeTimePlan& plan);

struct LockWish {
  Address holder;
  std::uint64_t session = 0;  // granted by the head that the sampler is pinned to
  STONEMOUNT_PACK(holder, session)
};

struct CutState {
  std::uint64_t epoch = 0;
  std::uint64_t session = 0;
  Address holder;
  Us cutUs = 0;
  bool certain = false;
  Doubt doubt = Doubt::kNeverCertain;
  std::uint32_t stable = 0;
  Us stableUs = 0;
  std::uint64_t round = 0;
  bool wallAgreed = false;  // most wall clocks agreed at the last sample
  bool anchored = false;    // they did once, and lagUs is known
  Us lagUs = 0;             // agreed wall time less the cut, when last agreed; true time is no earlier than their sum
  Us driftUs = 0;           // of the sampler's monotonic clock against the head's, in this epoch
  std::uint64_t doubts = 0;
  STONEMOUNT_PACK(epoch, session, holder, cutUs, certain, doubt, stable, stableUs, round, wallAgreed, anchored, lagUs,
                  driftUs, doubts)

  void doubtBecause(Doubt why);
  // A successor advances the epoch before it may publish anything.
  void takeLock(const LockWish& wish);
  // False: not of this epoch and session; the sampler's leadership is over.
  bool propose(const CutProposal& proposal, const SafeTimePlan& plan, bool nothingHeld);
};

// A renewal never shortens.
inline Us renewedLimit(Us currentUs, Us cutUs, Us lengthUs) { return std::max(currentUs, cutUs + lengthUs); }

}  // namespace stonemount
