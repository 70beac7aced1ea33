// How whoever faces an operator has a store machine emptied (design.md 6.5).
#pragma once

#include "vise/task.h"

namespace stonemount {

enum class RetireOutcome { kTaken, kUnknown, kTooFew, kUnderWay, kUnsure };
enum class RetireState { kServing, kComplete, kUnknown, kUnsure };

class RetireDesk {
 public:
  virtual ~RetireDesk() = default;
  virtual Job<RetireOutcome> retire(std::string machine) = 0;
  virtual Job<RetireState> stateOf(std::string machine) = 0;
};

}  // namespace stonemount
