// The HTTP server on real sockets against scripted callers: targets, framing, answers that must not look complete
// (design.md 3.2).
#include "http_in_rig.h"

using namespace stonemount;

namespace {
void readsRequests() {
  InRig rig;
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
  InRig rig;
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

// Whoever could read a body's end in two ways would take a part of it for the next request.
void refusesTwoReadings() {
  const std::string head = "POST /x HTTP/1.1\r\nHost: h\r\n";
  const std::string inside = "0\r\n\r\n" + kGet;
  for (const char* framing :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 39\r\n",
        "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 0\r\nContent-Length: 39\r\n", "Content-Length: +0\r\n"}) {
    InRig rig;
    RawEnd caller(rig.loop, rig.in->self());
    caller.say(head + framing + "\r\n" + inside);
    UNTIL(rig.loop, caller.gone);
    EXPECT(rig.asks.empty() && (caller.heard.empty() || caller.heard.starts_with("HTTP/1.1 400 ")));
  }
}

void streams() {
  InRig rig;
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
  rig.replies.clear();  // whoever drops a request may have sent it on: nothing is promised
  UNTIL(rig.loop, caller.has("502 Bad Gateway"));
  EXPECT(!caller.has("503") && !caller.has("retry-after"));
}

enum class Cut { kAborted, kDropped, kTooShort, kTooLong };

void cutAnswers() {
  for (const Cut cut : {Cut::kAborted, Cut::kDropped, Cut::kTooShort, Cut::kTooLong}) {
    InRig rig;
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
  InRig rig;
  RawEnd caller(rig.loop, rig.in->self());
  caller.say(kGet);
  UNTIL(rig.loop, rig.asks.size() == 1);
  rig.replies[0]->abort();
  UNTIL(rig.loop, caller.gone);
  EXPECT(caller.heard.empty());
}
}  // namespace

int main() {
  readsRequests();
  readsAheadSafely();
  refusesTwoReadings();
  streams();
  cutAnswers();
  return closingLine();
}
