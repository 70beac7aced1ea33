#include "vise/desk.h"

namespace stonemount {

Desk::Desk(Alarms& alarms, Wire& wire, Chance& chance)
    : alarms_(alarms), wire_(wire), lastExchange_(chance.next()) {
  heard_ = wire_.heard.connect(sigc::mem_fun(*this, &Desk::heard));
  refused_ = wire_.refused.connect(sigc::mem_fun(*this, &Desk::onRefused));
}

Desk::~Desk() {
  heard_.disconnect();
  refused_.disconnect();
}

// Whoever waits for a partner whose process is gone need not wait out the limit.
void Desk::onRefused(const Address& partner) {
  const std::vector<std::pair<std::uint64_t, VerdictSink*>> waiting(sinks_.begin(), sinks_.end());
  for (const auto& [exchange, sink] : waiting)
    if (sinks_.contains(exchange)) sink->lose(exchange, partner);
}

void Desk::send(const Address& partner, std::uint16_t kind, bool verdict, std::uint64_t exchange,
                Bytes body) {
  Envelope envelope;
  envelope.kind = kind;
  envelope.verdict = verdict;
  envelope.exchange = exchange;
  envelope.body = std::move(body);
  Bytes frame = pack(envelope);
  ++sentFrames;
  sentBytes += frame.size();
  wire_.post(partner, std::move(frame));
}

void Desk::heard(const Address& partner, const Bytes& frame) {
  auto read = unpack<Envelope>(frame);
  Envelope* envelope = std::get_if<Envelope>(&read);
  if (envelope == nullptr || envelope->format != kFrameFormat) {
    logDoubt("frame_refused", {{"partner", addressText(partner)}});
    return;
  }
  if (envelope->verdict) {
    auto found = sinks_.find(envelope->exchange);
    if (found != sinks_.end()) found->second->deliver(envelope->exchange, std::move(envelope->body));
    return;
  }
  auto found = slots_.find(envelope->kind);
  if (found == slots_.end()) return;
  Asked asked{partner, envelope->exchange, envelope->kind, std::move(envelope->body)};
  found->second(asked);
}

}  // namespace stonemount
