#include "adapters/loop.h"

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
// What was armed for now by what has just run still runs before the sockets are looked at again, but
// no more often than this: sockets are served too.
constexpr int kRoundsInTurn = 4;

// libevent's own words are about peers that sent what is no HTTP; the adapters report those as types.
void onLibraryLog(int, const char*) {}
void onLibraryFatal(int) { invariantBroken("libevent stopped", __FILE__, __LINE__); }
}  // namespace

Loop::Loop() {
  event_set_log_callback(&onLibraryLog);
  event_set_fatal_callback(&onLibraryFatal);
  evthread_use_pthreads();
  // Channels are enabled and disabled for reading and writing many times in one turn: the change list
  // tells the kernel only what remains of it. No socket here is watched under two numbers, which is
  // all that it does not bear.
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  base_ = event_base_new_with_config(config);
  event_config_free(config);
  STONEMOUNT_INVARIANT(base_ != nullptr);
  timer_ = event_new(base_, -1, 0, &Loop::onTimer, this);
  signal(SIGPIPE, SIG_IGN);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) {
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
  STONEMOUNT_INVARIANT(continuation.timerKey == 0);
  continuation.timerKey = ++lastKey_;
  continuation.timerDueUs = monoUs() + std::max<Us>(delayUs, 0);
  queue_[{continuation.timerDueUs, continuation.timerKey}] = &continuation;
  if (firing_ || queue_.begin()->second != &continuation) return;
  if (delayUs <= 0)
    event_active(timer_, EV_TIMEOUT, 0);  // at the end of this turn, without another wait
  else
    rearm();
}

void Loop::disarm(Continuation& continuation) {
  if (continuation.timerKey == 0) return;
  queue_.erase({continuation.timerDueUs, continuation.timerKey});
  continuation.timerKey = 0;
}

void Loop::rearm() {
  if (queue_.empty()) return;
  const Us delayUs = std::max<Us>(queue_.begin()->first.first - monoUs(), 0);
  const timeval delay = timevalOf(delayUs);
  event_add(timer_, &delay);
}

void Loop::onTimer(evutil_socket_t, short, void* self) { static_cast<Loop*>(self)->fire(); }

void Loop::fire() {
  firing_ = true;
  for (int round = 0; round < kRoundsInTurn && fireDue(); ++round) {
  }
  firing_ = false;
  rearm();
}

// Runs what was due and armed before it began; true if it ran any.
bool Loop::fireDue() {
  const std::uint64_t lastBefore = lastKey_;
  const Us nowUs = monoUs();
  bool ran = false;
  while (!queue_.empty()) {
    const auto first = queue_.begin();
    if (first->first.first > nowUs || first->first.second > lastBefore) break;
    Continuation* continuation = first->second;
    queue_.erase(first);
    continuation->timerKey = 0;
    continuation->proceed();
    ran = true;
  }
  return ran;
}

void Loop::onSignal(evutil_socket_t number, short, void* given) {
  Loop& self = *static_cast<Loop*>(given);
  if (number == SIGHUP) {
    if (self.hangup != nullptr) self.hangup->proceed();
    return;
  }
  // Whoever manages processes may say it more than once; a person who interrupts twice is impatient.
  if (number == SIGTERM && self.leaving_) return;
  self.leave();
}

void Loop::leave() {
  if (farewell != nullptr && !std::exchange(leaving_, true))
    farewell->proceed();
  else
    stop();
}

void Loop::run() { event_base_dispatch(base_); }

void Loop::stop() { event_base_loopexit(base_, nullptr); }

}  // namespace stonemount
