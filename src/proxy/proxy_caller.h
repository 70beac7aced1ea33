// One live request on its way through the proxy (design.md 9.1). For the proxy's own files.
#pragma once

#include "config/json.h"
#include "proxy/proxy.h"

namespace stonemount {

struct Proxy::Caller : public PartSink, public sigc::trackable {
  Caller(Proxy& given) : proxy(given) {}
  void part(const Bytes& data) override {
    if (order.route.kind != RouteKind::kStream) {
      gathered += data;
      ++parts;
      return;
    }
    if (!begun) {
      begun = true;
      reply->begin(200, {{"content-type", "application/x-ndjson"}, {"x-exchange", order.exchange}});
    }
    JsonOut out;
    out.object().field("n", parts++).field("data", data).closeObject();
    reply->chunk(out.take() + "\n");
  }
  bool left() const override { return gone || reply->backlogBytes() > kBacklogBound; }
  Event& event() override { return knock; }
  void onGone() {
    gone = true;
    knock.notify();
    proxy.waitingEvent_.notify();
  }
  static constexpr std::size_t kBacklogBound = 4 << 20;  // a caller that does not read is as good as gone
  Proxy& proxy;
  WorkOrder order;
  SelectionRequest wish;
  ReplyPtr reply;
  Event knock;
  Us limitAtUs = 0;
  Us waitUntilUs = 0;
  bool gone = false;
  bool begun = false;
  bool waiting = false;
  bool mayHaveRun = false;  // some try of it reached a worker and did not end well
  std::optional<Address> worker;
  Bytes gathered;
  std::uint32_t parts = 0;
};

}  // namespace stonemount
