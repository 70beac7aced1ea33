// The rpc: exchanges between the system's own processes over the wire port (design.md 3.3).
#pragma once

#include "runtime/await.h"
#include "runtime/pack.h"

namespace stonemount {

constexpr std::uint8_t kFrameFormat = 2;  // unknown formats are refused, never guessed at

struct Envelope {
  std::uint8_t format = kFrameFormat;
  std::uint16_t kind = 0;
  bool verdict = false;  // true on the way back
  std::uint64_t exchange = 0;
  Bytes body;
  STONEMOUNT_PACK(format, kind, verdict, exchange, body)
};

struct PeerSilent {};  // nothing came back within the limit

struct Asked {  // an exchange that reached this process
  Address peer;
  std::uint64_t exchange = 0;
  std::uint16_t kind = 0;
  Bytes body;
};

// Whoever waits for verdicts of its exchanges.
class ReplySink {
 public:
  virtual ~ReplySink() = default;
  virtual void deliver(std::uint64_t exchange, Bytes body) = 0;
  virtual void lose(std::uint64_t exchange, const Address& peer) = 0;  // no process listens there any more
};

class RpcEndpoint {
 public:
  RpcEndpoint(Timers& timers, Wire& wire, Chance& chance);
  ~RpcEndpoint();
  Timers& timers() { return timers_; }
  Address self() const { return wire_.self(); }
  using Slot = sigc::slot<void(const Asked&)>;
  void serve(std::uint16_t kind, Slot slot) { slots_[kind] = std::move(slot); }
  template <class Message>
  void tell(const Address& peer, const Message& message) {
    send(peer, Message::kKind, false, 0, pack(message));
  }
  template <class Message>
  void reply(const Asked& asked, const Message& message) {
    send(asked.peer, asked.kind, true, asked.exchange, pack(message));
  }
  void replyTo(const Address& peer, std::uint16_t kind, std::uint64_t exchange, Bytes body) {
    send(peer, kind, true, exchange, std::move(body));
  }
  std::uint64_t freshExchange() { return ++lastExchange_; }
  std::uint64_t sentFrames = 0;
  std::uint64_t sentBytes = 0;

 private:
  friend class Call;
  friend class Poll;
  friend class PendingCall;
  void send(const Address& peer, std::uint16_t kind, bool verdict, std::uint64_t exchange, Bytes body);
  void heard(const Address& peer, const Bytes& frame);
  void onRefused(const Address& peer);
  Timers& timers_;
  Wire& wire_;
  std::uint64_t lastExchange_;
  sigc::connection heard_, refused_;
  absl::flat_hash_map<std::uint16_t, Slot> slots_;
  absl::flat_hash_map<std::uint64_t, ReplySink*> sinks_;
};

// Awaits one verdict, or silence.
class Call : public Waiter, public ReplySink {
 public:
  Call(RpcEndpoint& rpc, const Address& peer, std::uint16_t kind, Bytes body, Us limitUs)
      : Waiter(rpc.timers()),
        rpc_(rpc),
        peer_(peer),
        kind_(kind),
        body_(std::move(body)),
        limitUs_(limitUs),
        exchange_(rpc.freshExchange()) {}
  ~Call() override { rpc_.sinks_.erase(exchange_); }
  std::uint64_t exchange() const { return exchange_; }
  bool await_ready() const { return false; }
  void await_suspend(std::coroutine_handle<> handle) {
    sleepFor(handle, limitUs_);
    rpc_.sinks_[exchange_] = this;
    rpc_.send(peer_, kind_, false, exchange_, std::move(body_));
  }
  std::variant<Bytes, PeerSilent> await_resume() {
    rpc_.sinks_.erase(exchange_);
    if (!verdict_) return PeerSilent{};
    return std::move(*verdict_);
  }

 private:
  void deliver(std::uint64_t, Bytes body) override {
    if (verdict_) return;
    verdict_ = std::move(body);
    wake();
  }
  void lose(std::uint64_t, const Address& peer) override {
    if (peer == peer_) wake();
  }
  RpcEndpoint& rpc_;
  Address peer_;
  std::uint16_t kind_;
  Bytes body_;
  Us limitUs_;
  std::uint64_t exchange_;
  std::optional<Bytes> verdict_;
};

// Asks many peers at once; ends when enough have granted, when all have answered, or at the limit.
class Poll : public Waiter, public ReplySink {
 public:
  Poll(RpcEndpoint& rpc, std::uint16_t kind, Bytes body, Us limitUs)
      : Waiter(rpc.timers()), rpc_(rpc), kind_(kind), body_(std::move(body)), limitUs_(limitUs) {}
  ~Poll() override { leave(); }
  void add(const Address& peer) { peers_.push_back(peer); }
  bool await_ready() const { return peers_.empty(); }
  void await_suspend(std::coroutine_handle<> handle) {
    sleepFor(handle, limitUs_);
    for (std::size_t i = 0; i < peers_.size(); ++i) {
      const std::uint64_t exchange = rpc_.freshExchange();
      rpc_.sinks_[exchange] = this;
      exchanges_[exchange] = i;
      rpc_.send(peers_[i], kind_, false, exchange, body_);
    }
  }
  void await_resume() { leave(); }

 protected:
  virtual void heard(std::size_t peer, const Bytes& body) = 0;
  virtual bool enough() const = 0;

 private:
  void leave() {
    for (const auto& [exchange, peer] : exchanges_) rpc_.sinks_.erase(exchange);
    exchanges_.clear();
  }
  void deliver(std::uint64_t exchange, Bytes body) override {
    auto found = exchanges_.find(exchange);
    if (found == exchanges_.end()) return;
    const std::size_t peer = found->second;
    exchanges_.erase(found);
    rpc_.sinks_.erase(exchange);
    heard(peer, body);
    if (exchanges_.empty() || enough()) wake();
  }
  void lose(std::uint64_t exchange, const Address& peer) override {
    auto found = exchanges_.find(exchange);
    if (found == exchanges_.end() || peers_[found->second] != peer) return;
    exchanges_.erase(found);
    rpc_.sinks_.erase(exchange);
    if (exchanges_.empty()) wake();
  }
  RpcEndpoint& rpc_;
  std::uint16_t kind_;
  Bytes body_;
  Us limitUs_;
  std::vector<Address> peers_;
  absl::btree_map<std::uint64_t, std::size_t> exchanges_;
};

// Ask a peer and decode what comes back.
template <class Verdict, class Message>
Job<std::variant<Verdict, PeerSilent>> ask(RpcEndpoint& rpc, Address peer, Message message, Us limitUs) {
  Call call(rpc, peer, Message::kKind, pack(message), limitUs);
  std::variant<Bytes, PeerSilent> raw = co_await call;
  if (std::holds_alternative<PeerSilent>(raw)) co_return PeerSilent{};
  std::variant<Verdict, BadBytes> verdict = unpack<Verdict>(std::get<Bytes>(raw));
  if (std::holds_alternative<BadBytes>(verdict)) co_return PeerSilent{};
  co_return std::get<Verdict>(std::move(verdict));
}

}  // namespace stonemount
