// The HTTP server on real sockets: how connections end, by its limits, its callers' leaving and its own
// (design.md 3.2).
#include <signal.h>

#include "http_in_rig.h"

using namespace stonemount;

namespace {
struct Hung : public Continuation {
  void proceed() override { ++times; }
  int times = 0;
};

void closing() {
  InRig rig;
  RawEnd idle(rig.loop, rig.in->self()), streaming(rig.loop, rig.in->self());
  streaming.say(kGet);
  UNTIL(rig.loop, rig.asks.size() == 1);
  rig.replies[0]->begin(200, {});
  rig.in->setClosing();
  rig.in->stop();
  idle.say(kGet);
  UNTIL(rig.loop, rig.asks.size() == 2);
  rig.replies[1]->whole(200, {}, "last");
  UNTIL(rig.loop, idle.gone);
  EXPECT(idle.has("connection: close\r\n") && idle.heard.ends_with("last"));
  rig.replies[0]->chunk("whole");
  rig.replies[0]->end();
  UNTIL(rig.loop, streaming.heard.ends_with("0\r\n\r\n") && rig.in->openRequests() == 0);
  RawEnd late(rig.loop, rig.in->self());
  EXPECT(!late.connected);
}

void limits() {
  HttpLimits tight;
  tight.headerBytes = 1000;
  tight.bodyBytes = 100;
  tight.idleUs = 300 * kMilliUs;
  InRig rig(tight);
  const std::string longLine = "X-Long: " + std::string(1000, 'x') + "\r\n";
  RawEnd headers(rig.loop, rig.in->self());
  headers.say("GET /x HTTP/1.1\r\n" + longLine + "\r\n");
  UNTIL(rig.loop, headers.gone);
  EXPECT(headers.heard.starts_with("HTTP/1.1 431 ") && rig.asks.empty());
  for (const char* framing : {"Content-Length: 101\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n65\r\n"}) {
    RawEnd body(rig.loop, rig.in->self());
    body.say("POST /x HTTP/1.1\r\n" + std::string(framing) + std::string(101, 'b') + "\r\n0\r\n\r\n");
    UNTIL(rig.loop, body.gone);
    EXPECT(body.heard.starts_with("HTTP/1.1 413 ") && rig.asks.empty());
  }
  RawEnd idle(rig.loop, rig.in->self());
  const Us fromUs = rig.loop.monoUs();
  UNTIL(rig.loop, idle.gone);
  EXPECT(rig.loop.monoUs() - fromUs >= 290 * kMilliUs && idle.heard.empty());
  rig.in->setLimits({});  // while running
  RawEnd again(rig.loop, rig.in->self());
  again.say("GET /x HTTP/1.1\r\n" + longLine + "\r\n");
  UNTIL(rig.loop, rig.asks.size() == 1);
  rig.replies[0]->whole(200, {}, "ok");
  UNTIL(rig.loop, again.has("ok"));
}

void leavingCallers() {
  InRig rig;
  RawEnd early(rig.loop, rig.in->self()), late(rig.loop, rig.in->self());
  early.say(kGet);
  UNTIL(rig.loop, rig.asks.size() == 1);
  late.say(kGet);
  UNTIL(rig.loop, rig.asks.size() == 2);
  rig.replies[1]->begin(200, {});
  UNTIL(rig.loop, late.has("200 OK"));
  early.close();
  late.reset();
  UNTIL(rig.loop, rig.gone == 2);
  for (const ReplyPtr& reply : rig.replies) {
    reply->begin(200, {});
    reply->chunk("x");
    reply->whole(200, {}, "x");
    reply->end();
    EXPECT(reply->backlogBytes() == 0);
  }
  rig.replies.clear();
  EXPECT(rig.in->openRequests() == 0 && rig.gone == 2);
  // A server that goes before its answers do.
  RawEnd first(rig.loop, rig.in->self()), second(rig.loop, rig.in->self());
  first.say(kGet);
  second.say(kGet);
  UNTIL(rig.loop, rig.replies.size() == 2);
  rig.replies[0]->begin(200, {});
  rig.in.reset();
  EXPECT(rig.gone == 4);
  rig.replies[0]->end();
  rig.replies.clear();
  UNTIL(rig.loop, first.gone && second.gone);
}

void hangup() {
  Loop loop;
  raise(SIGHUP);  // nobody minds
  Hung hung;
  loop.hangup = &hung;
  raise(SIGHUP);
  UNTIL(loop, hung.times > 0);
}
}  // namespace

int main() {
  closing();
  limits();
  leavingCallers();
  hangup();
  return closingLine();
}
