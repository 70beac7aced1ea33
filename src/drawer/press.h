// One sync at a time, shared by all who wait for it (design.md 5.3).
#pragma once

#include "drawer/ring.h"

namespace stonemount {

class Press {
 public:
  Press(Drawer& drawer, Timers& timers, TaskRoom& room) : drawer_(drawer), timers_(timers) {
    room.start(run());
  }
  class Wait : public Waiter {
   public:
    explicit Wait(Press& press) : Waiter(press.timers_), press_(press) {}
    ~Wait() override { press_.waits_.erase(key_); }
    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> handle) {
      sleep(handle);
      key_ = ++press_.lastKey_;
      press_.waits_[key_] = this;
      press_.event_.notify();
    }
    bool await_resume() const { return durable_; }

   private:
    friend class Press;
    Press& press_;
    std::uint64_t key_ = 0;
    bool durable_ = false;
  };

 private:
  Task run() {
    while (true) {
      EventWait hear(timers_, event_, 3600 * kSecondUs);
      co_await hear;
      while (!waits_.empty()) {
        const std::uint64_t upTo = lastKey_;
        Job<SyncVerdict> job = drawer_.sync();
        SyncVerdict verdict = co_await job;
        const bool durable = std::holds_alternative<Synced>(verdict);
        while (!waits_.empty() && waits_.begin()->first <= upTo) {
          Wait* wait = waits_.begin()->second;
          waits_.erase(waits_.begin());
          wait->durable_ = durable;
          wait->wake();
        }
      }
    }
  }
  Drawer& drawer_;
  Timers& timers_;
  Event event_;
  std::uint64_t lastKey_ = 0;
  absl::btree_map<std::uint64_t, Wait*> waits_;
};

}  // namespace stonemount
