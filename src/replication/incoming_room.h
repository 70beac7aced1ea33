// Room at a chain's head for long commands: what was promised and has not come, and who waits for a promise
// (design.md 6.3).
#pragma once

#include <deque>

#include "replication/congestion_window.h"
#include "replication/messages.h"
#include "runtime/rpc_endpoint.h"

namespace stonemount {

// What is promised at a time follows the pace of the head's own link: the window's delay is that from the promise to
// the command. One command is always allowed, however long. Kept by the head alone, in memory: a promise that is lost
// costs its caller one more question. Runs on the loop's thread.
class IncomingRoom {
 public:
  static constexpr Us kPromiseUs = kSecondUs;        // what has not come by then comes no more
  static constexpr Us kWaitUs = 300 * kMilliUs;      // for a promise; its caller gives up after 0.7 s
  static constexpr std::size_t kMostWaiting = 1024;  // requests

  // A request that waits until the window opens.
  struct Waiting {
    Asked asked;
    RoomRequest request;
    Us sinceUs = 0;
  };

  explicit IncomingRoom(const CongestionWindow::Limits& limits) : window_(limits) {}
  // Does the window allow a command that long now? If so it counts as promised to `client`.
  bool promise(const Address& client, std::size_t bytes, Us nowUs) {
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
  // Promises that were not used in time.
  void expire(Us nowUs) {
    while (!promises_.empty() && nowUs - promises_.front().atUs > kPromiseUs) drop(promises_.begin());
  }
  // Oldest first.
  std::deque<Waiting>& waiting() { return waiting_; }
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
  std::deque<Waiting> waiting_;
};

}  // namespace stonemount
