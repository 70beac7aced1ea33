#include "node/peek.h"

#include "replication/probe_poll.h"

namespace stonemount {

namespace {
constexpr Us kPeekUs = 500 * kMilliUs;
}  // namespace

Job<ChainSight> peekChain(RpcEndpoint& rpc, ChainClient& client) {
  Job<Done> refreshing = client.refresh();
  co_await refreshing;
  ChainSight sight;
  sight.view = client.view();
  absl::btree_set<Address> asked;
  for (const std::vector<Seat>* seats : {&sight.view.voters, &sight.view.nonVoters}) {
    for (const Seat& seat : *seats) {
      sight.members.push_back({seat, std::nullopt});
      asked.insert(seat.address);
    }
  }
  ProbePoll poll(rpc, asked, kPeekUs);
  co_await poll;
  for (MemberSight& member : sight.members) {
    auto found = poll.pongs().find(member.seat.address);
    if (found != poll.pongs().end()) member.pong = found->second;
  }
  co_return sight;
}

}  // namespace stonemount
