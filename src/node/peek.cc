#include "node/peek.h"

namespace stonemount {

namespace {
constexpr Us kPeekUs = 500 * kMilliUs;

class ProbePoll : public Poll {
 public:
  ProbePoll(RpcEndpoint& rpc, ChainSight& sight) : Poll(rpc, Probe::kKind, pack(Probe{}), kPeekUs), sight_(sight) {
    for (const MemberLine& line : sight.members) add(line.seat.address);
  }

 protected:
  void heard(std::size_t peer, const Bytes& body) override {
    auto read = unpack<Pong>(body);
    if (auto* pong = std::get_if<Pong>(&read)) sight_.members[peer].pong = std::move(*pong);
  }
  bool enough() const override { return false; }

 private:
  ChainSight& sight_;
};
}  // namespace

Job<ChainSight> peekChain(RpcEndpoint& rpc, ChainClient& client) {
  Job<Done> refreshing = client.refresh();
  co_await refreshing;
  ChainSight sight;
  sight.view = client.view();
  std::vector<Seat> seats = sight.view.voters;
  seats.insert(seats.end(), sight.view.nonVoters.begin(), sight.view.nonVoters.end());
  for (const Seat& seat : seats) {
    MemberLine line;
    line.seat = seat;
    line.inChain = holdsSeat(sight.view.chain, seat.address, seat.incarnation);
    sight.members.push_back(line);
  }
  ProbePoll poll(rpc, sight);
  co_await poll;
  co_return sight;
}

}  // namespace stonemount
