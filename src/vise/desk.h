// The desk: exchanges between the system's own processes over the wire port (design.md 3.3).
#pragma once

#include "vise/await.h"
#include "vise/pack.h"

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

struct PartnerSilent {};  // nothing came back within the limit

struct Asked {  // an exchange that reached this process
  Address partner;
  std::uint64_t exchange = 0;
  std::uint16_t kind = 0;
  Bytes body;
};

// Whoever waits for verdicts of its exchanges.
class VerdictSink {
 public:
  virtual ~VerdictSink() = default;
  virtual void deliver(std::uint64_t exchange, Bytes body) = 0;
  virtual void lose(std::uint64_t exchange, const Address& partner) = 0;  // no process listens there any more
};

class Desk {
 public:
  Desk(Alarms& alarms, Wire& wire, Chance& chance);
  ~Desk();
  Alarms& alarms() { return alarms_; }
  Address self() const { return wire_.self(); }
  using Slot = sigc::slot<void(const Asked&)>;
  void serve(std::uint16_t kind, Slot slot) { slots_[kind] = std::move(slot); }
  template <class Message>
  void tell(const Address& partner, const Message& message) {
    send(partner, Message::kKind, false, 0, pack(message));
  }
  template <class Message>
  void reply(const Asked& asked, const Message& message) {
    send(asked.partner, asked.kind, true, asked.exchange, pack(message));
  }
  void replyTo(const Address& partner, std::uint16_t kind, std::uint64_t exchange, Bytes body) {
    send(partner, kind, true, exchange, std::move(body));
  }
  std::uint64_t freshExchange() { return ++lastExchange_; }
  std::uint64_t sentFrames = 0;
  std::uint64_t sentBytes = 0;

 private:
  friend class Call;
  friend class Poll;
  void send(const Address& partner, std::uint16_t kind, bool verdict, std::uint64_t exchange, Bytes body);
  void heard(const Address& partner, const Bytes& frame);
  void onRefused(const Address& partner);
  Alarms& alarms_;
  Wire& wire_;
  std::uint64_t lastExchange_;
  sigc::connection heard_, refused_;
  absl::flat_hash_map<std::uint16_t, Slot> slots_;
  absl::flat_hash_map<std::uint64_t, VerdictSink*> sinks_;
};

// Awaits one verdict, or silence.
class Call : public Waiter, public VerdictSink {
 public:
  Call(Desk& desk, const Address& partner, std::uint16_t kind, Bytes body, Us limitUs)
      : Waiter(desk.alarms()), desk_(desk), partner_(partner), kind_(kind), body_(std::move(body)),
        limitUs_(limitUs), exchange_(desk.freshExchange()) {}
  ~Call() override { desk_.sinks_.erase(exchange_); }
  std::uint64_t exchange() const { return exchange_; }
  bool await_ready() const { return false; }
  void await_suspend(std::coroutine_handle<> handle) {
    sleepFor(handle, limitUs_);
    desk_.sinks_[exchange_] = this;
    desk_.send(partner_, kind_, false, exchange_, std::move(body_));
  }
  std::variant<Bytes, PartnerSilent> await_resume() {
    desk_.sinks_.erase(exchange_);
    if (!verdict_) return PartnerSilent{};
    return std::move(*verdict_);
  }

 private:
  void deliver(std::uint64_t, Bytes body) override {
    if (verdict_) return;
    verdict_ = std::move(body);
    wake();
  }
  void lose(std::uint64_t, const Address& partner) override {
    if (partner == partner_) wake();
  }
  Desk& desk_;
  Address partner_;
  std::uint16_t kind_;
  Bytes body_;
  Us limitUs_;
  std::uint64_t exchange_;
  std::optional<Bytes> verdict_;
};

// Asks many partners at once; ends when enough have granted, when all have answered, or at the limit.
class Poll : public Waiter, public VerdictSink {
 public:
  Poll(Desk& desk, std::uint16_t kind, Bytes body, Us limitUs)
      : Waiter(desk.alarms()), desk_(desk), kind_(kind), body_(std::move(body)), limitUs_(limitUs) {}
  ~Poll() override { leave(); }
  void add(const Address& partner) { partners_.push_back(partner); }
  bool await_ready() const { return partners_.empty(); }
  void await_suspend(std::coroutine_handle<> handle) {
    sleepFor(handle, limitUs_);
    for (std::size_t i = 0; i < partners_.size(); ++i) {
      const std::uint64_t exchange = desk_.freshExchange();
      desk_.sinks_[exchange] = this;
      exchanges_[exchange] = i;
      desk_.send(partners_[i], kind_, false, exchange, body_);
    }
  }
  void await_resume() { leave(); }

 protected:
  virtual void heard(std::size_t partner, const Bytes& body) = 0;
  virtual bool enough() const = 0;

 private:
  void leave() {
    for (const auto& [exchange, partner] : exchanges_) desk_.sinks_.erase(exchange);
    exchanges_.clear();
  }
  void deliver(std::uint64_t exchange, Bytes body) override {
    auto found = exchanges_.find(exchange);
    if (found == exchanges_.end()) return;
    const std::size_t partner = found->second;
    exchanges_.erase(found);
    desk_.sinks_.erase(exchange);
    heard(partner, body);
    if (exchanges_.empty() || enough()) wake();
  }
  void lose(std::uint64_t exchange, const Address& partner) override {
    auto found = exchanges_.find(exchange);
    if (found == exchanges_.end() || partners_[found->second] != partner) return;
    exchanges_.erase(found);
    desk_.sinks_.erase(exchange);
    if (exchanges_.empty()) wake();
  }
  Desk& desk_;
  std::uint16_t kind_;
  Bytes body_;
  Us limitUs_;
  std::vector<Address> partners_;
  absl::btree_map<std::uint64_t, std::size_t> exchanges_;
};

// Ask a partner and decode what comes back.
template <class Verdict, class Message>
Job<std::variant<Verdict, PartnerSilent>> ask(Desk& desk, Address partner, Message message, Us limitUs) {
  Call call(desk, partner, Message::kKind, pack(message), limitUs);
  std::variant<Bytes, PartnerSilent> raw = co_await call;
  if (std::holds_alternative<PartnerSilent>(raw)) co_return PartnerSilent{};
  std::variant<Verdict, BadBytes> verdict = unpack<Verdict>(std::get<Bytes>(raw));
  if (std::holds_alternative<BadBytes>(verdict)) co_return PartnerSilent{};
  co_return std::get<Verdict>(std::move(verdict));
}

}  // namespace stonemount
