// Awaiters: each is a named continuation that leaves its port alone once destroyed (design.md 3.1).
#pragma once

#include "runtime/task.h"

namespace stonemount {

// Base of awaiters: woken through the alarm port, so that no one is resumed inside another's call.
class Waiter : public Continuation {
 public:
  explicit Waiter(Timers& timers) : timers_(timers) {}
  ~Waiter() override { timers_.disarm(*this); }
  void proceed() override {
    auto handle = std::exchange(handle_, nullptr);
    if (handle) handle.resume();
  }

 protected:
  void sleep(std::coroutine_handle<> handle) { handle_ = handle; }
  void sleepFor(std::coroutine_handle<> handle, Us limitUs) {
    handle_ = handle;
    timers_.arm(limitUs, *this);
  }
  void wake() {
    if (!handle_) return;
    timers_.disarm(*this);
    timers_.arm(0, *this);
  }
  bool asleep() const { return handle_ != nullptr; }

 private:
  Timers& timers_;
  std::coroutine_handle<> handle_ = nullptr;
};

class Pause : public Waiter {
 public:
  Pause(Timers& timers, Us lengthUs) : Waiter(timers), lengthUs_(lengthUs) {}
  bool await_ready() const { return false; }
  void await_suspend(std::coroutine_handle<> handle) { sleepFor(handle, lengthUs_); }
  void await_resume() const {}

 private:
  Us lengthUs_;
};

// Something to wait on that many may knock at; a knock while nobody waits is kept.
class Event {
 public:
  void notify();

 private:
  friend class EventWait;
  bool rung_ = false;
  class EventWait* ear_ = nullptr;
};
class EventWait : public Waiter {
 public:
  EventWait(Timers& timers, Event& event, Us limitUs) : Waiter(timers), event_(event), limitUs_(limitUs) {}
  ~EventWait() override {
    if (event_.ear_ == this) event_.ear_ = nullptr;
  }
  bool await_ready() { return std::exchange(event_.rung_, false); }
  void await_suspend(std::coroutine_handle<> handle) {
    STONEMOUNT_INVARIANT(event_.ear_ == nullptr);
    event_.ear_ = this;
    sleepFor(handle, limitUs_);
  }
  void await_resume() {
    if (event_.ear_ == this) event_.ear_ = nullptr;
    event_.rung_ = false;
  }

 private:
  friend class Event;
  Event& event_;
  Us limitUs_;
};
inline void Event::notify() {
  rung_ = true;
  if (ear_ != nullptr) ear_->wake();
}

// A bounded queue between two stages; one taker (design.md 9.1).
template <class Item>
class Mailbox {
 public:
  explicit Mailbox(std::size_t bound) : bound_(bound) {}
  bool put(Item item) {
    if (items_.size() >= bound_) return false;
    items_.push_back(std::move(item));
    event_.notify();
    return true;
  }
  std::optional<Item> take() {
    if (items_.empty()) return std::nullopt;
    std::optional<Item> item(std::move(items_.front()));
    items_.pop_front();
    return item;
  }
  std::size_t size() const { return items_.size(); }
  std::size_t bound() const { return bound_; }
  Event& event() { return event_; }

 private:
  std::size_t bound_;
  std::deque<Item> items_;
  Event event_;
};

}  // namespace stonemount
