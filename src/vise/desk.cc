#include "vise/desk.h"

namespace stonemount {

Desk::Desk(Alarms& alarms, Wire& wire, Chance& chance)
    : alarms_(alarms), wire_(wire), lastExchange_(chance.next()) {
  heard_ = wire_.heard.connect(sigc::mem_fun(*this, &Desk::heard));
}

Desk::~Desk() { heard_.disconnect(); }

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
