// Signals that reach a loop: the first polite one begins the stop, another SIGTERM cuts nothing short, an interrupt
// does (docs/operators/draining.md, incident 22).
#include <csignal>

#include "adapters/loop.h"
#include "expect.h"

using namespace stonemount;

namespace {
constexpr Us kStepUs = 20 * kMilliUs;
constexpr int kIdleSteps = 3;  // turns of the loop in which the last signal takes effect, however late they come

// Counts how often it was told to leave, and ends the loop only when it is done.
struct Farewell : public Continuation {
  void proceed() override { ++times; }
  int times = 0;
};

// Raises the signals one after the other, a step apart, then notes that the loop outlived them.
struct Raiser : public Continuation {
  Raiser(Loop& given, std::vector<int> signals) : loop(given), left(std::move(signals)) {}
  void proceed() override {
    if (left.empty() && ++idleSteps > kIdleSteps) {
      outlived = true;
      return loop.stop();
    }
    if (!left.empty()) {
      std::raise(left.front());
      left.erase(left.begin());
    }
    loop.arm(kStepUs, *this);
  }
  Loop& loop;
  std::vector<int> left;
  int idleSteps = 0;
  bool outlived = false;
};

struct Ending {
  int farewells = 0;
  bool outlived = false;
};

Ending endingAfter(std::vector<int> signals) {
  Loop loop;
  Farewell farewell;
  loop.farewell = &farewell;
  Raiser raiser(loop, std::move(signals));
  loop.arm(kStepUs, raiser);
  loop.run();
  loop.disarm(raiser);
  return {farewell.times, raiser.outlived};
}
}  // namespace

int main() {
  const Ending once = endingAfter({SIGTERM});
  expect(once.farewells == 1 && once.outlived, "the first signal begins the stop and ends nothing");
  const Ending twice = endingAfter({SIGTERM, SIGTERM, SIGTERM});
  expect(twice.farewells == 1 && twice.outlived, "another SIGTERM changes nothing");
  const Ending interrupted = endingAfter({SIGTERM, SIGINT});
  expect(interrupted.farewells == 1 && !interrupted.outlived, "an interrupt ends it at once");
  const Ending impatient = endingAfter({SIGINT, SIGINT});
  expect(impatient.farewells == 1 && !impatient.outlived, "as does a second interrupt");
  const Ending reread = endingAfter({SIGHUP});
  expect(reread.farewells == 0 && reread.outlived, "SIGHUP ends nothing");
  return expectationsVerdict();
}
