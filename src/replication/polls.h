// Polls of seats: a verdict counts only from the incarnation that holds the seat (design.md 6.5).
#pragma once

#include "replication/messages.h"
#include "runtime/rpc_endpoint.h"

namespace stonemount {

template <class Verdict>
class SeatPoll : public Poll {
 public:
  template <class Message>
  SeatPoll(RpcEndpoint& rpc, const Message& message, std::vector<Seat> seats, std::size_t needed, Us limitUs)
      : Poll(rpc, Message::kKind, pack(message), limitUs),
        seats_(std::move(seats)),
        needed_(needed),
        verdicts_(seats_.size()) {
    for (const Seat& seat : seats_) add(seat.address);
  }
  bool enough() const override { return granted_ >= needed_; }
  const std::vector<std::optional<Verdict>>& verdicts() const { return verdicts_; }

 protected:
  void heard(std::size_t peer, const Bytes& body) override {
    auto read = unpack<Verdict>(body);
    auto* verdict = std::get_if<Verdict>(&read);
    if (verdict == nullptr || verdict->incarnation != seats_[peer].incarnation) return;
    if (verdict->granted) ++granted_;
    verdicts_[peer] = std::move(*verdict);
  }

 private:
  std::vector<Seat> seats_;
  std::size_t needed_;
  std::size_t granted_ = 0;
  std::vector<std::optional<Verdict>> verdicts_;
};

}  // namespace stonemount
