// The HTTP server on real sockets against scripted callers: targets, framing, limits, leaving callers, answers
// that must not look complete (design.md 3.2).
#include <signal.h>

#include "raw_peer.h"

using namespace stonemount;

namespace {
constexpr Address kAnyPort{(127u << 24) | 1, 0};

struct Rig : public sigc::trackable {
  explicit Rig(const HttpLimits& limits = {}) {
    in->setLimits(limits);
    EXPECT(in->listen());
    in->asked.connect(sigc::mem_fun(*this, &Rig::put));
  }
  void put(const HttpAsk& ask, ReplyPtr reply) {
    asks.push_back(ask);
    reply->gone.connect(sigc::mem_fun(*this, &Rig::left));
    replies.push_back(std::move(reply));
  }
  void left() { ++gone; }
  Loop loop;
  std::unique_ptr<HttpInEv> in = std::make_unique<HttpInEv>(loop, kAnyPort);
  std::vector<HttpAsk> asks;
  std::vector<ReplyPtr> replies;
  int gone = 0;
};
const std::string kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

void readsRequests() {
  Rig rig;
  RawEnd caller(rig.loop, rig.in->self());
  caller.say(
      "POST /a%2Fb/?q=%20&&r HTTP/1.1\r\nHost: h.example\r\nX-Two: 1\r\nTransfer-Encoding: chunked\r\nx-two: 2\r\n\r\n"
      "3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n");
  UNTIL(rig.loop, rig.asks.size() == 1);
  EXPECT(rig.asks[0].method == "POST" && rig.asks[0].target == "/a%2Fb/?q=%20&&r" && rig.asks[0].path == "/a%2Fb/");
  EXPECT(rig.asks[0].headers["x-two"] == "1, 2" && rig.asks[0].headers["host"] == "h.example");
  EXPECT(rig.asks[0].body == "abcdefg" && rig.in->openRequests() == 1);
  rig.replies[0]->whole(202, {{"x-a", "1"}, {"content-type", ""}, {"connection", "upgrade"}}, "done");
  UNTIL(rig.loop, caller.has("done") && rig.in->openRequests() == 0);
  EXPECT(caller.heard.starts_with("HTTP/1.1 202 Accepted\r\n") && caller.has("Content-Length: 4\r\n"));
  EXPECT(!caller.has("ontent-Type") && !caller.has("ontent-type") && caller.has("keep-alive: timeout=119\r\n"));
  EXPECT(!caller.has("onnection"));
  caller.take();
  Bytes large(1'200'000, 'x');
  caller.say("PUT http://h.example/y HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1200000\r\n\r\n");
  UNTIL(rig.loop, caller.has("100 Continue"));
  for (std::size_t at = 0; at < large.size(); at += 60'000) {
    caller.say(large.substr(at, 60'000));
    event_base_loop(rig.loop.base(), EVLOOP_NONBLOCK);
  }
  UNTIL(rig.loop, rig.asks.size() == 2);
  EXPECT(rig.asks[1].body == large && rig.asks[1].target == "/y" && !rig.asks[1].headers.contains("expect"));
  rig.replies[1]->whole(200, {}, "{}");
  UNTIL(rig.loop, caller.has("{}"));
  EXPECT(caller.has("content-type: application/json\r\n"));
}

void readsAheadSafely() {
  Rig rig;
  RawEnd caller(rig.loop, rig.in->self());
  caller.say(kGet + kGet);
  UNTIL(rig.loop, rig.asks.size() == 1);
  caller.say(kGet);
  RawEnd other(rig.loop, rig.in->self());
  other.say(kGet);
  UNTIL(rig.loop, rig.asks.size() == 2);  // the loop has turned meanwhile, and lives
  for (int i = 0; i < 4; ++i) {
    UNTIL(rig.loop, rig.replies.size() > static_cast<std::size_t>(i));
    rig.replies[static_cast<std::size_t>(i)]->whole(200, {}, "n" + std::to_string(i));
  }
  UNTIL(rig.loop, rig.in->openRequests() == 0 && other.has("n1") && caller.has("n3"));
  EXPECT(caller.heard.find("n0") < caller.heard.find("n2"));
}

void streams() {
  Rig rig;
  RawEnd caller(rig.loop, rig.in->self());
  caller.say(kGet);
  UNTIL(rig.loop, rig.asks.size() == 1);
  rig.replies[0]->begin(200, {{"content-type", "text/event-stream"}});
  UNTIL(rig.loop, caller.has("Transfer-Encoding: chunked\r\n") && caller.has("\r\n\r\n"));
  for (int i = 0; i < 5; ++i) {
    rig.replies[0]->chunk("id: " + std::to_string(i) + "\n\n");
    UNTIL(rig.loop, caller.has("7\r\nid: " + std::to_string(i) + "\n\n\r\n"));
  }
  rig.replies[0]->end();
  UNTIL(rig.loop, caller.heard.ends_with("\r\n0\r\n\r\n") && rig.in->openRequests() == 0);
  caller.take();
  caller.say(kGet);
  UNTIL(rig.loop, rig.asks.size() == 2);
  rig.replies[1]->begin(200, {{"content-length", "4"}, {"transfer-encoding", "chunked"}});
  rig.replies[1]->chunk("ab");
  rig.replies[1]->chunk("cd");
  rig.replies[1]->end();
  UNTIL(rig.loop, caller.heard.ends_with("\r\n\r\nabcd") && rig.in->openRequests() == 0);
  EXPECT(!caller.has("chunked") && caller.has("content-length: 4\r\n") && !caller.gone);
  rig.replies.clear();
  caller.take();
  caller.say(kGet);  // the channel goes on
  UNTIL(rig.loop, rig.asks.size() == 3);
  rig.replies.clear();  // whoever drops a request says that it did not run
  UNTIL(rig.loop, caller.has("503 Service Unavailable") && caller.has("retry-after: 1"));
}

struct Hung : public Continuation {
  void proceed() override { ++times; }
  int times = 0;
};

enum class Cut { kAborted, kDropped, kTooShort, kTooLong };

void cutAnswers() {
  for (const Cut cut : {Cut::kAborted, Cut::kDropped, Cut::kTooShort, Cut::kTooLong}) {
    Rig rig;
    RawEnd caller(rig.loop, rig.in->self());
    caller.say(kGet);
    UNTIL(rig.loop, rig.asks.size() == 1);
    rig.replies[0]->begin(
        200, cut == Cut::kTooShort || cut == Cut::kTooLong ? HeaderMap{{"content-length", "5"}} : HeaderMap());
    rig.replies[0]->chunk("abcd");
    UNTIL(rig.loop, caller.has("abcd"));
    if (cut == Cut::kAborted) rig.replies[0]->abort();
    if (cut == Cut::kDropped) rig.replies.clear();
    if (cut == Cut::kTooShort) rig.replies[0]->end();
    if (cut == Cut::kTooLong) rig.replies[0]->chunk("ef");
    UNTIL(rig.loop, caller.gone);
    EXPECT(!caller.has("0\r\n\r\n") && (caller.heard.ends_with("abcd\r\n") || caller.heard.ends_with("abcd")));
    for (const ReplyPtr& reply : rig.replies) {
      reply->chunk("late");
      reply->end();
      reply->abort();
    }
    rig.replies.clear();
    EXPECT(rig.in->openRequests() == 0 && rig.gone == 0);
  }
  Rig rig;
  RawEnd caller(rig.loop, rig.in->self());
  caller.say(kGet);
  UNTIL(rig.loop, rig.asks.size() == 1);
  rig.replies[0]->abort();
  UNTIL(rig.loop, caller.gone);
  EXPECT(caller.heard.empty());
}

void closing() {
  Rig rig;
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
  Rig rig(tight);
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
  Rig rig;
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
  readsRequests();
  readsAheadSafely();
  streams();
  cutAnswers();
  closing();
  limits();
  leavingCallers();
  hangup();
  return closingLine();
}
