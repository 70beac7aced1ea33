// One live request on its way through the gateway (design.md 9.6). For the gateway's own files.
#pragma once

#include "proxy/gateway.h"

namespace stonemount {

// Headers that concern more than one connection.
HeaderMap passedOn(const HeaderMap& given);

struct Gateway::Caller : public PassSink, public sigc::trackable {
  void head(const HttpHead& given) override {
    if (begun) return;  // where it goes on at another worker, the first one's head stands
    head_ = given;
    gathered.clear();
  }
  void bytes(const Bytes& data) override {
    if (begun) {
      reply->chunk(data);
      if (left()) knock.notify();
      return;
    }
    gathered += data;
    if (gathered.size() <= kWholeBound) return;
    begin();
    reply->chunk(gathered);
    gathered.clear();
  }
  void event(PassEvent&& event) override {
    series = true;
    begin();
    lastEvent = event.id;
    reply->chunk(event.raw);
    if (left()) knock.notify();
  }
  bool left() const override { return gone || (begun && reply->backlogBytes() > kBacklogBound); }
  Event& event() override { return knock; }
  void onGone() {
    gone = true;
    knock.notify();
  }
  // A series of events is sent without a length, whatever its worker told: where another worker goes on with it,
  // the bytes of both may reach the first one's length before the last event, and look complete.
  void begin() {
    if (std::exchange(begun, true)) return;
    HeaderMap headers = passedOn(head_.headers);
    auto length = head_.headers.find("content-length");
    if (length != head_.headers.end() && !series) headers["content-length"] = length->second;
    reply->begin(head_.status, headers);
  }
  static constexpr std::size_t kBacklogBound = 4 << 20;  // a caller that does not read is as good as gone
  static constexpr std::size_t kWholeBound = 1 << 20;    // an answer up to here is given only once it is whole
  LiveRequest request;
  ReplyPtr reply;
  HttpHead head_;
  Bytes gathered;
  Event knock;
  PoolRequest wish;
  std::optional<std::uint64_t> lastEvent;
  std::optional<Address> worker;
  AnswerTimes times;
  QuotaHold quota;
  Us enteredUs = 0, limitAtUs = 0, holdUntilUs = 0;
  std::uint32_t sends = 0;
  std::uint64_t number = 0;
  bool series = false;  // events went out to it
  bool gone = false, begun = false, mayHaveRun = false;
};

}  // namespace stonemount
