// A clock that tests set by hand.
#pragma once

#include "stonemount.h"

namespace stonemount {

class HandClock : public Clock {
 public:
  Us monoUs() const override { return nowUs; }
  Us wallUs() const override { return nowUs; }
  Us nowUs = 100 * kSecondUs;
};

}  // namespace stonemount
