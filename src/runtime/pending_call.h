// A request between processes that is under way while its sender goes on.
#pragma once

#include "runtime/rpc_endpoint.h"

namespace stonemount {

// Sent when it is made; awaited later, once. It takes itself off the endpoint when it is destroyed.
class PendingCall : public Waiter, public ReplySink {
 public:
  // `limitUs` runs from the moment at which it is awaited.
  PendingCall(RpcEndpoint& rpc, Clock& clock, const Address& peer, std::uint16_t kind, Bytes body, Us limitUs)
      : Waiter(rpc.timers()),
        rpc_(rpc),
        clock_(clock),
        peer_(peer),
        limitUs_(limitUs),
        exchange_(rpc.freshExchange()),
        sentUs_(clock.monoUs()) {
    rpc_.sinks_[exchange_] = this;
    rpc_.send(peer, kind, false, exchange_, std::move(body));
  }
  ~PendingCall() override { rpc_.sinks_.erase(exchange_); }
  Us sentUs() const { return sentUs_; }
  Us repliedUs() const { return repliedUs_; }  // once it is awaited
  bool await_ready() const { return reply_.has_value() || lost_; }
  void await_suspend(std::coroutine_handle<> handle) { sleepFor(handle, limitUs_); }
  std::variant<Bytes, PeerSilent> await_resume() {
    rpc_.sinks_.erase(exchange_);
    if (!reply_) return PeerSilent{};
    return std::move(*reply_);
  }

 private:
  void deliver(std::uint64_t, Bytes body) override {
    if (reply_) return;
    reply_ = std::move(body);
    repliedUs_ = clock_.monoUs();
    wake();
  }
  void lose(std::uint64_t, const Address& peer) override {
    if (peer != peer_) return;
    lost_ = true;
    wake();
  }
  RpcEndpoint& rpc_;
  Clock& clock_;
  Address peer_;
  Us limitUs_;
  std::uint64_t exchange_;
  Us sentUs_;
  Us repliedUs_ = 0;
  std::optional<Bytes> reply_;
  bool lost_ = false;
};

// What came back; none: nothing, or bytes that cannot be read.
template <class Reply>
std::optional<Reply> replyOf(const std::variant<Bytes, PeerSilent>& raw) {
  auto* body = std::get_if<Bytes>(&raw);
  if (body == nullptr) return std::nullopt;
  auto read = unpack<Reply>(*body);
  auto* reply = std::get_if<Reply>(&read);
  return reply != nullptr ? std::optional<Reply>(std::move(*reply)) : std::nullopt;
}

}  // namespace stonemount
