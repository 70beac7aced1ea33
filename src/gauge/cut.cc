#include "gauge/cut.h"

#include <algorithm>
#include <cstdlib>

namespace stonemount {

const char* doubtText(Doubt doubt) {
  switch (doubt) {
    case Doubt::kNone: return "none";
    case Doubt::kNeverCertain: return "never_certain";
    case Doubt::kTakeover: return "takeover";
    case Doubt::kClockStep: return "clock_step";
    case Doubt::kLongGap: return "long_gap";
    case Doubt::kSessionLost: return "session_lost";
  }
  return "unknown";
}

void CutState::doubtBecause(Doubt why) {
  certain = false;
  doubt = why;
  stable = 0;
  stableUs = 0;
  ++doubts;
}

void CutState::takeLock(const LockWish& wish, bool nothingHeld) {
  ++epoch;
  session = wish.session;
  holder = wish.holder;
  round = 0;
  wallAgreed = false;
  // Wall time is a fair start only while nothing exists that could expire by it (design.md 8.4).
  if (!begun || (nothingHeld && wish.headWallUs > cutUs)) cutUs = std::max(cutUs, wish.headWallUs);
  begun = true;
  doubtBecause(Doubt::kTakeover);
}

bool CutState::propose(const CutProposal& proposal, const GaugePlan& plan, bool nothingHeld) {
  if (proposal.epoch != epoch || proposal.session != session) return false;
  if (proposal.round != round + 1) return proposal.round <= round;  // an old round, again: nothing new
  const Us before = cutUs;
  round = proposal.round;
  const Us stepUs = std::max(std::abs(proposal.headStepUs), std::abs(proposal.samplerStepUs));
  // Never faster than the slower of two monotonic clocks.
  const Us elapsedUs = std::max<Us>(0, std::min(proposal.samplerElapsedUs, proposal.headElapsedUs));
  wallAgreed = std::abs(proposal.samplerWallUs - proposal.headWallUs) < plan.agreeUs;
  wallUs = proposal.headWallUs;
  lagUs = proposal.headWallUs - cutUs;
  if (stepUs > plan.stepUs) {
    doubtBecause(Doubt::kClockStep);
    return true;
  }
  if (std::max(proposal.samplerElapsedUs, proposal.headElapsedUs) > plan.gapUs) {
    doubtBecause(Doubt::kLongGap);
    return true;
  }
  if (certain) {
    cutUs += elapsedUs;
  } else {
    ++stable;
    stableUs += elapsedUs;
    if (stable >= plan.stableSamples && stableUs >= plan.graceUs) {
      certain = true;
      doubt = Doubt::kNone;
      if (nothingHeld && wallAgreed) cutUs = std::max(cutUs, std::min(wallUs, proposal.samplerWallUs));
    }
  }
  lagUs = proposal.headWallUs - cutUs;
  STONEMOUNT_INVARIANT(cutUs >= before);
  STONEMOUNT_INVARIANT(nothingHeld || cutUs - before <= elapsedUs);
  return true;
}

}  // namespace stonemount
