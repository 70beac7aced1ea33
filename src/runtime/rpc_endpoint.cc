#include "runtime/rpc_endpoint.h"

namespace stonemount {

RpcEndpoint::RpcEndpoint(Timers& timers, Wire& wire, Chance& chance)
    : timers_(timers), wire_(wire), lastExchange_(chance.next()) {
  heard_ = wire_.heard.connect(sigc::mem_fun(*this, &RpcEndpoint::heard));
  refused_ = wire_.refused.connect(sigc::mem_fun(*this, &RpcEndpoint::onRefused));
}

RpcEndpoint::~RpcEndpoint() {
  heard_.disconnect();
  refused_.disconnect();
}

// Whoever waits for a peer whose process is gone need not wait out the limit.
void RpcEndpoint::onRefused(const Address& peer) {
  const std::vector<std::pair<std::uint64_t, ReplySink*>> waiting(sinks_.begin(), sinks_.end());
  for (const auto& [exchange, sink] : waiting)
    if (sinks_.contains(exchange)) sink->lose(exchange, peer);
}

void RpcEndpoint::send(const Address& peer, std::uint16_t kind, bool verdict, std::uint64_t exchange, Bytes body) {
  Envelope envelope;
  envelope.kind = kind;
  envelope.verdict = verdict;
  envelope.exchange = exchange;
  envelope.body = std::move(body);
  Bytes frame = pack(envelope);
  ++sentFrames;
  sentBytes += frame.size();
  wire_.post(peer, std::move(frame));
}

void RpcEndpoint::heard(const Address& peer, const Bytes& frame) {
  auto read = unpack<Envelope>(frame);
  Envelope* envelope = std::get_if<Envelope>(&read);
  if (envelope == nullptr || envelope->format != kFrameFormat) {
    logDoubt("frame_refused", {{"peer", addressText(peer)}});
    return;
  }
  if (envelope->verdict) {
    auto found = sinks_.find(envelope->exchange);
    if (found != sinks_.end()) found->second->deliver(envelope->exchange, std::move(envelope->body));
    return;
  }
  auto found = slots_.find(envelope->kind);
  if (found == slots_.end()) return;
  Asked asked{peer, envelope->exchange, envelope->kind, std::move(envelope->body)};
  found->second(asked);
}

}  // namespace stonemount
