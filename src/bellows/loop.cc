#include "bellows/loop.h"

#include <event2/thread.h>
#include <signal.h>
#include <time.h>

#include <algorithm>

namespace stonemount {

namespace {
Us readClock(clockid_t id) {
  timespec now{};
  clock_gettime(id, &now);
  return static_cast<Us>(now.tv_sec) * kSecondUs + now.tv_nsec / 1000;
}
}  // namespace

Loop::Loop() {
  evthread_use_pthreads();
  base_ = event_base_new();
  STONEMOUNT_INVARIANT(base_ != nullptr);
  timer_ = event_new(base_, -1, 0, &Loop::onAlarm, this);
  signal(SIGPIPE, SIG_IGN);
  for (const int number : {SIGTERM, SIGINT}) {
    event* made = evsignal_new(base_, number, &Loop::onSignal, this);
    event_add(made, nullptr);
    signals_.push_back(made);
  }
}

Loop::~Loop() {
  for (event* made : signals_) event_free(made);
  event_free(timer_);
  event_base_free(base_);
}

Us Loop::monoUs() const { return readClock(CLOCK_MONOTONIC); }
Us Loop::wallUs() const { return readClock(CLOCK_REALTIME); }

void Loop::arm(Us delayUs, Continuation& continuation) {
  STONEMOUNT_INVARIANT(continuation.alarmKey == 0);
  continuation.alarmKey = ++lastKey_;
  continuation.alarmDueUs = monoUs() + std::max<Us>(delayUs, 0);
  queue_[{continuation.alarmDueUs, continuation.alarmKey}] = &continuation;
  if (queue_.begin()->second == &continuation) rearm();
}

void Loop::disarm(Continuation& continuation) {
  if (continuation.alarmKey == 0) return;
  queue_.erase({continuation.alarmDueUs, continuation.alarmKey});
  continuation.alarmKey = 0;
}

void Loop::rearm() {
  if (queue_.empty()) return;
  const Us delayUs = std::max<Us>(queue_.begin()->first.first - monoUs(), 0);
  const timeval delay{delayUs / kSecondUs, delayUs % kSecondUs};
  event_add(timer_, &delay);
}

void Loop::onAlarm(evutil_socket_t, short, void* self) { static_cast<Loop*>(self)->fire(); }

void Loop::fire() {
  const std::uint64_t lastBefore = lastKey_;
  const Us nowUs = monoUs();
  while (!queue_.empty()) {
    const auto first = queue_.begin();
    // What is armed meanwhile waits its turn, so that sockets are served too.
    if (first->first.first > nowUs || first->first.second > lastBefore) break;
    Continuation* continuation = first->second;
    queue_.erase(first);
    continuation->alarmKey = 0;
    continuation->proceed();
  }
  rearm();
}

void Loop::onSignal(evutil_socket_t, short, void* self) { static_cast<Loop*>(self)->leave(); }

void Loop::leave() {
  if (farewell != nullptr && !std::exchange(leaving_, true)) farewell->proceed();
  else stop();
}

void Loop::run() { event_base_dispatch(base_); }

void Loop::stop() { event_base_loopexit(base_, nullptr); }

}  // namespace stonemount
