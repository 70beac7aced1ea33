// Tasks written straight down: coroutines whose awaiters are continuation objects (design.md 3.1).
#pragma once

#include <coroutine>

#include "stonemount.h"

namespace stonemount {

class TaskRoom;

// A root task. A TaskRoom owns it and destroys it, finished or not.
class Task {
 public:
  struct promise_type {
    TaskRoom* room = nullptr;
    std::uint64_t key = 0;
    Task get_return_object() { return Task(std::coroutine_handle<promise_type>::from_promise(*this)); }
    std::suspend_always initial_suspend() noexcept { return {}; }
    struct Leave {
      bool await_ready() noexcept { return false; }
      void await_suspend(std::coroutine_handle<promise_type> handle) noexcept;
      void await_resume() noexcept {}
    };
    Leave final_suspend() noexcept { return {}; }
    void return_void() {}
    void unhandled_exception() { invariantBroken("exception in task", __FILE__, __LINE__); }
  };
  explicit Task(std::coroutine_handle<promise_type> handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, nullptr)) {}
  ~Task() {
    if (handle_) handle_.destroy();
  }
  std::coroutine_handle<promise_type> release() { return std::exchange(handle_, nullptr); }

 private:
  std::coroutine_handle<promise_type> handle_;
};

class TaskRoom {
 public:
  TaskRoom() = default;
  TaskRoom(const TaskRoom&) = delete;
  ~TaskRoom() { clear(); }
  void start(Task task) {
    auto handle = task.release();
    handle.promise().room = this;
    handle.promise().key = ++lastKey_;
    tasks_.emplace(lastKey_, handle);
    handle.resume();
  }
  void clear() {
    while (!tasks_.empty()) {
      auto handle = tasks_.begin()->second;
      tasks_.erase(tasks_.begin());
      handle.destroy();
    }
  }
  std::size_t size() const { return tasks_.size(); }

 private:
  friend struct Task::promise_type::Leave;
  void forget(std::uint64_t key) { tasks_.erase(key); }
  std::uint64_t lastKey_ = 0;
  absl::btree_map<std::uint64_t, std::coroutine_handle<Task::promise_type>> tasks_;
};

inline void Task::promise_type::Leave::await_suspend(std::coroutine_handle<promise_type> handle) noexcept {
  TaskRoom* room = handle.promise().room;
  const std::uint64_t key = handle.promise().key;
  room->forget(key);
  handle.destroy();
}

// A child job: runs when awaited, owned by the frame that awaits it.
template <class Value>
class Job {
 public:
  struct promise_type {
    std::optional<Value> value;
    std::coroutine_handle<> parent;
    Job get_return_object() { return Job(std::coroutine_handle<promise_type>::from_promise(*this)); }
    std::suspend_always initial_suspend() noexcept { return {}; }
    struct Back {
      bool await_ready() noexcept { return false; }
      std::coroutine_handle<> await_suspend(std::coroutine_handle<promise_type> handle) noexcept {
        return handle.promise().parent;
      }
      void await_resume() noexcept {}
    };
    Back final_suspend() noexcept { return {}; }
    void return_value(Value given) { value.emplace(std::move(given)); }
    void unhandled_exception() { invariantBroken("exception in job", __FILE__, __LINE__); }
  };
  explicit Job(std::coroutine_handle<promise_type> handle) : handle_(handle) {}
  Job(Job&& other) noexcept : handle_(std::exchange(other.handle_, nullptr)) {}
  ~Job() {
    if (handle_) handle_.destroy();
  }
  bool await_ready() const { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> parent) {
    handle_.promise().parent = parent;
    return handle_;
  }
  Value await_resume() { return std::move(*handle_.promise().value); }

 private:
  std::coroutine_handle<promise_type> handle_;
};

struct Done {};

}  // namespace stonemount
