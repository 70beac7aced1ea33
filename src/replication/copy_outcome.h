#pragma once

#include <cstdint>

namespace stonemount {

// How the copying of another's state ended.
enum class CopyOutcome : std::uint8_t {
  kWhole,
  kSourceSilent,
  kNotWanted,     // its seat is filled, and nobody invites it any more
  kRefused,       // the source is no tail any more, or has no snapshot to give
  kHolds,         // what is held here may be all that there is (design.md 6.5)
  kStateChanged,  // this replica is not outside the chain any more
  kUnreadable,
  kDiskFull
};
const char* copyOutcomeText(CopyOutcome outcome);

}  // namespace stonemount
