// Bytes of long commands that were promised room and have not come yet (design.md 6.3).
#pragma once

#include <deque>

#include "replication/congestion_window.h"

namespace stonemount {

// What is promised at a time follows the pace of the head's own link: the window's delay is that from the promise to
// the command. Kept by the head alone, in memory: a promise that is lost costs its caller one more question. Runs on
// the loop's thread.
class IncomingRoom {
 public:
  static constexpr Us kPromiseUs = kSecondUs;  // what has not come by then comes no more

  explicit IncomingRoom(const CongestionWindow::Limits& limits) : window_(limits) {}
  // `backlog`: what was taken and is not committed; with what is under way it stays within `bound`, but for one command
  // that may be longer.
  bool promise(const Address& client, std::size_t bytes, std::size_t backlog, std::size_t bound, Us nowUs) {
    while (!promises_.empty() && nowUs - promises_.front().atUs > kPromiseUs) drop(promises_.begin());
    if (bytes_ + backlog > 0 && bytes_ + backlog + bytes > bound) return false;
    if (bytes_ > 0 && bytes_ + bytes > window_.bytes()) {
      window_.limited();
      return false;
    }
    promises_.push_back({client, bytes, nowUs});
    bytes_ += bytes;
    return true;
  }
  // A command came from that client.
  void came(const Address& client, std::size_t bytes, Us nowUs) {
    for (auto promise = promises_.begin(); promise != promises_.end(); ++promise) {
      if (promise->client != client || promise->bytes != bytes) continue;
      window_.delivered(bytes, promise->atUs, nowUs);
      return drop(promise);
    }
  }
  std::size_t bytes() const { return bytes_; }
  std::size_t windowBytes() const { return window_.bytes(); }

 private:
  struct Promise {
    Address client;
    std::size_t bytes = 0;
    Us atUs = 0;
  };
  void drop(std::deque<Promise>::iterator promise) {
    bytes_ -= promise->bytes;
    promises_.erase(promise);
  }
  CongestionWindow window_;
  std::deque<Promise> promises_;
  std::size_t bytes_ = 0;
};

}  // namespace stonemount
