// One sync at a time, shared by all who wait for it (design.md 5.3).
#pragma once

#include "write_ahead_log/write_ahead_log.h"

namespace stonemount {

class GroupCommit {
 public:
  GroupCommit(WriteAheadLog& wal, Timers& timers, TaskRoom& room) : wal_(wal), timers_(timers) { room.start(run()); }
  class Wait : public Waiter {
   public:
    explicit Wait(GroupCommit& groupCommit) : Waiter(groupCommit.timers_), groupCommit_(groupCommit) {}
    ~Wait() override { groupCommit_.waits_.erase(key_); }
    bool await_ready() const { return false; }
    void await_suspend(std::coroutine_handle<> handle) {
      sleep(handle);
      key_ = ++groupCommit_.lastKey_;
      groupCommit_.waits_[key_] = this;
      groupCommit_.event_.notify();
    }
    void await_resume() const {}

   private:
    friend class GroupCommit;
    GroupCommit& groupCommit_;
    std::uint64_t key_ = 0;
  };

 private:
  Task run() {
    while (true) {
      EventWait hear(timers_, event_, 3600 * kSecondUs);
      co_await hear;
      while (!waits_.empty()) {
        const std::uint64_t upTo = lastKey_;
        Job<Done> syncing = wal_.sync();
        co_await syncing;
        while (!waits_.empty() && waits_.begin()->first <= upTo) {
          Wait* wait = waits_.begin()->second;
          waits_.erase(waits_.begin());
          wait->wake();
        }
      }
    }
  }
  WriteAheadLog& wal_;
  Timers& timers_;
  Event event_;
  std::uint64_t lastKey_ = 0;
  absl::btree_map<std::uint64_t, Wait*> waits_;
};

}  // namespace stonemount
