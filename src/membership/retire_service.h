// What an operator may ask of a store machine, whichever process is asked (design.md 6.10).
#pragma once

#include "runtime/task.h"

namespace stonemount {

enum class RetireOutcome : std::uint8_t {
  kTaken,     // from now on it holds no seat; `stateOf` tells when it may be taken away
  kUnknown,   // no store machine has this name
  kTooFew,    // the rest could not bear a loss right after
  kUnderWay,  // it was ordered before
  kUnsure,    // not answered in time: it may have been taken or not
};
enum class RetireState : std::uint8_t { kServing, kComplete, kUnknown, kUnsure };

class RetireService {
 public:
  virtual ~RetireService() = default;
  virtual Job<RetireOutcome> retire(std::string machine) = 0;
  virtual Job<RetireState> stateOf(std::string machine) = 0;
};

}  // namespace stonemount
