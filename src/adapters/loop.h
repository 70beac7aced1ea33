// libevent behind the clock and alarm ports (design.md 3.2).
#pragma once

#include <event2/event.h>

#include "stonemount.h"

namespace stonemount {

inline timeval timevalOf(Us lengthUs) {
  return {static_cast<time_t>(lengthUs / kSecondUs), static_cast<suseconds_t>(lengthUs % kSecondUs)};
}

// Timers never come early; they come a few milliseconds late, since libevent's own clock is the coarse one (the
// precise one costs a system call a turn). Those armed for now come in the same turn of the loop.
class Loop : public Clock, public Timers {
 public:
  Loop();
  ~Loop() override;
  Us monoUs() const override;
  Us wallUs() const override;
  void arm(Us delayUs, Continuation& continuation) override;
  void disarm(Continuation& continuation) override;
  event_base* base() { return base_; }
  void run();  // until stop() or a polite signal
  void stop();
  // Runs before the loop ends at SIGTERM or SIGINT. Another SIGTERM changes nothing; SIGINT after either ends it at
  // once.
  Continuation* farewell = nullptr;
  // Runs at SIGHUP, which is otherwise ignored.
  Continuation* hangup = nullptr;

 private:
  static void onTimer(evutil_socket_t, short, void* self);
  static void onSignal(evutil_socket_t number, short, void* self);
  void fire();
  bool fireDue();
  void rearm();
  void leave();
  event_base* base_;
  event* timer_;
  std::vector<event*> signals_;
  bool leaving_ = false;
  bool firing_ = false;
  std::uint64_t lastKey_ = 0;
  absl::btree_map<std::pair<Us, std::uint64_t>, Continuation*> queue_;
};

}  // namespace stonemount
