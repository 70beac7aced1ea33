#include "safe_time/cut.h"

#include <algorithm>
#include <cstdlib>

namespace stonemount {

const char* doubtText(Doubt doubt) {
  switch (doubt) {
    case Doubt::kNone:
      return "none";
    case Doubt::kNeverCertain:
      return "never_certain";
    case Doubt::kTakeover:
      return "takeover";
    case Doubt::kClockStep:
      return "clock_step";
    case Doubt::kLongGap:
      return "long_gap";
    case Doubt::kSessionLost:
      return "session_lost";
    case Doubt::kRates:
      return "clock_rates";
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

std::optional<Us> agreedWall(const CutProposal& proposal, const SafeTimePlan& plan) {
  std::vector<Us> wallsUs = proposal.wallsUs;
  std::sort(wallsUs.begin(), wallsUs.end());
  const std::size_t most = proposal.clocks / 2 + 1;
  for (std::size_t i = 0; i + most <= wallsUs.size() && most >= 2; ++i)
    if (wallsUs[i + most - 1] - wallsUs[i] <= plan.agreeUs) return wallsUs[i];
  return std::nullopt;
}

void CutState::takeLock(const LockWish& wish) {
  ++epoch;
  session = wish.session;
  holder = wish.holder;
  round = 0;
  driftUs = 0;
  wallAgreed = false;
  doubtBecause(Doubt::kTakeover);
}

bool CutState::propose(const CutProposal& proposal, const SafeTimePlan& plan, bool nothingHeld) {
  if (proposal.epoch != epoch || proposal.session != session) return false;
  if (proposal.round != round + 1) return proposal.round <= round;  // an old round, again: nothing new
  const Us before = cutUs;
  round = proposal.round;
  const Us stepUs = std::max(std::abs(proposal.headStepUs), std::abs(proposal.samplerStepUs));
  // Never faster than the slower of two monotonic clocks.
  const Us elapsedUs = std::max<Us>(0, std::min(proposal.samplerElapsedUs, proposal.headElapsedUs));
  const Us apartUs = driftUs + proposal.samplerElapsedUs - proposal.headElapsedUs;
  const Us leaveUs = elapsedUs / 1000;  // what two sound clocks may part by
  driftUs = apartUs > 0 ? std::max<Us>(0, apartUs - leaveUs) : std::min<Us>(0, apartUs + leaveUs);
  const std::optional<Us> wallUs = agreedWall(proposal, plan);
  wallAgreed = wallUs.has_value();
  if (stepUs > plan.stepUs) {
    doubtBecause(Doubt::kClockStep);
  } else if (std::max(proposal.samplerElapsedUs, proposal.headElapsedUs) > plan.gapUs) {
    doubtBecause(Doubt::kLongGap);
  } else if (std::abs(driftUs) > plan.driftUs) {
    doubtBecause(Doubt::kRates);
    driftUs = 0;
  } else if (certain) {
    cutUs += elapsedUs;
  } else {
    ++stable;
    stableUs += elapsedUs;
    if (stable >= plan.stableSamples && stableUs >= plan.graceUs) {
      certain = true;
      doubt = Doubt::kNone;
      // The one jump: to what most clocks say, and only while nothing exists that could expire by it.
      if (nothingHeld && wallUs) cutUs = std::max(cutUs, *wallUs);
    }
  }
  if (wallUs) {
    anchored = true;
    lagUs = *wallUs - cutUs;
  }
  STONEMOUNT_INVARIANT(cutUs >= before);
  STONEMOUNT_INVARIANT(nothingHeld || cutUs - before <= elapsedUs);
  return true;
}

}  // namespace stonemount
