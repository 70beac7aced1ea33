// Answers that came later than their routes want, and where their time went: told in the log once a second.
#pragma once

#include "config/control_state.h"
#include "proxy/stage_times.h"

namespace stonemount {

// Of one live request, over all of its tries.
struct AnswerTimes {
  Us holdUs = 0;
  Us connectUs = 0;
  Us firstUs = 0;
  Us pauseUs = 0;  // longest
  std::uint32_t tries = 0;
  void addAttempt(const AttemptTimes& attempt);
};

// Runs on the loop's thread.
class LateAnswers {
 public:
  // An answer that was whole that long after its request came.
  void note(const Route& route, const AnswerTimes& times, Us wholeUs);
  void noteLoopDelay(Us lengthUs) { loopDelayUs_ = std::max(loopDelayUs_, lengthUs); }
  // One event for each route that had any since the last call, with the sums of their times.
  void tell();

 private:
  struct Sum {
    std::uint64_t count = 0;
    AnswerTimes times;
    Us wholeUs = 0;
  };
  absl::btree_map<std::string, Sum> byRoute_;
  Us loopDelayUs_ = 0;  // longest since the last call
};

// Did it come later than its route wants: its first event and each further one, or, of what is no stream, its end?
bool answeredLate(const Route& route, const AnswerTimes& times, Us wholeUs);

}  // namespace stonemount
