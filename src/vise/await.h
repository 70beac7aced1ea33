// Awaiters: each is a named continuation that leaves its port alone once destroyed (design.md 3.1).
#pragma once

#include "vise/task.h"

namespace stonemount {

// Base of awaiters: woken through the alarm port, so that no one is resumed inside another's call.
class Waiter : public Continuation {
 public:
  explicit Waiter(Alarms& alarms) : alarms_(alarms) {}
  ~Waiter() override { alarms_.disarm(*this); }
  void proceed() override {
    auto handle = std::exchange(handle_, nullptr);
    if (handle) handle.resume();
  }

 protected:
  void sleep(std::coroutine_handle<> handle) { handle_ = handle; }
  void sleepFor(std::coroutine_handle<> handle, Us limitUs) {
    handle_ = handle;
    alarms_.arm(limitUs, *this);
  }
  void wake() {
    if (!handle_) return;
    alarms_.disarm(*this);
    alarms_.arm(0, *this);
  }
  bool asleep() const { return handle_ != nullptr; }

 private:
  Alarms& alarms_;
  std::coroutine_handle<> handle_ = nullptr;
};

class Pause : public Waiter {
 public:
  Pause(Alarms& alarms, Us lengthUs) : Waiter(alarms), lengthUs_(lengthUs) {}
  bool await_ready() const { return false; }
  void await_suspend(std::coroutine_handle<> handle) { sleepFor(handle, lengthUs_); }
  void await_resume() const {}

 private:
  Us lengthUs_;
};

// Something to wait on that many may knock at; a knock while nobody waits is kept.
class Bell {
 public:
  void ring();

 private:
  friend class Hear;
  bool rung_ = false;
  class Hear* ear_ = nullptr;
};
class Hear : public Waiter {
 public:
  Hear(Alarms& alarms, Bell& bell, Us limitUs) : Waiter(alarms), bell_(bell), limitUs_(limitUs) {}
  ~Hear() override {
    if (bell_.ear_ == this) bell_.ear_ = nullptr;
  }
  bool await_ready() { return std::exchange(bell_.rung_, false); }
  void await_suspend(std::coroutine_handle<> handle) {
    STONEMOUNT_INVARIANT(bell_.ear_ == nullptr);
    bell_.ear_ = this;
    sleepFor(handle, limitUs_);
  }
  void await_resume() {
    if (bell_.ear_ == this) bell_.ear_ = nullptr;
    bell_.rung_ = false;
  }

 private:
  friend class Bell;
  Bell& bell_;
  Us limitUs_;
};
inline void Bell::ring() {
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
    bell_.ring();
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
  Bell& bell() { return bell_; }

 private:
  std::size_t bound_;
  std::deque<Item> items_;
  Bell bell_;
};

}  // namespace stonemount
