// The HTTP client on real sockets against scripted servers: what is kept, what is ridden on, and that no
// answer reaches another's request (design.md 3.2).
#include "raw_peer.h"

using namespace stonemount;

namespace {
void keepsAndRides() {
  OutRig rig;
  for (int i = 0; i < 5; ++i) rig.answered(0, "", std::to_string(i));
  EXPECT(rig.server.ends.size() == 1 && rig.out.opened() == 1 && rig.out.reused() == 4 && rig.kept() == 1);
  Gathered got(rig.open("7"));
  UNTIL(rig.loop, rig.end(0).has("body-7"));
  EXPECT(rig.end(0).heard.starts_with("POST /a%20b/?x=7&&y HTTP/1.1\r\n"));
  EXPECT(rig.end(0).has("host: wanted.example\r\n") && rig.end(0).has("content-length: 6\r\n"));
  EXPECT(!rig.end(0).has("onnection"));
  rig.end(0).say("HTTP/1.1 200 OK\r\nX-A: 1\r\nx-a: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
  UNTIL(rig.loop, got.over());
  EXPECT(got.ended && got.body == "ab" && got.head->headers["x-a"] == "1, 2" && rig.kept() == 1);
  EXPECT(got.connects == 0);
  HttpVia fresh = rig.via();
  fresh.fresh = true;
  Gathered other(rig.out.open(rig.server.address, rig.ask("8"), fresh));
  UNTIL(rig.loop, rig.server.ends.size() == 2 && rig.end(1).has("body-8"));
  rig.end(1).say("HTTP/1.1 204 No Content\r\n\r\n");
  UNTIL(rig.loop, other.over());
  EXPECT(other.connects == 1);
  EXPECT(other.ended && rig.kept() == 2 && rig.out.channels(rig.server.address) == 2);
}

void keepsNot() {
  for (const char* lines : {"Connection: close\r\n", "Connection: Close, x\r\n", "Keep-Alive: timeout=0\r\n"}) {
    OutRig rig;
    rig.answered(0, lines);
    EXPECT(rig.kept() == 0);
    UNTIL(rig.loop, rig.end(0).gone);
    rig.answered(1);
  }
  OutRig rig;
  Gathered got(rig.out.open(rig.server.address, rig.ask()));  // not asked to keep
  UNTIL(rig.loop, rig.server.ends.size() == 1 && rig.end(0).has("body-1"));
  EXPECT(rig.end(0).has("connection: close\r\n"));
  rig.end(0).say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  UNTIL(rig.loop, got.over());
  EXPECT(got.ended && rig.kept() == 0);
}

void keepsAsLongAsTold() {
  OutRig rig;
  rig.answered(0, "Keep-Alive: timeout=1\r\n");
  const Us keptUs = rig.loop.monoUs();
  EXPECT(rig.kept() == 1);
  UNTIL(rig.loop, rig.end(0).gone);
  EXPECT(rig.loop.monoUs() - keptUs >= 500 * kMilliUs && rig.kept() == 0);
}

void serverCloses() {
  OutRig rig;
  rig.answered(0);
  rig.end(0).close();
  UNTIL(rig.loop, rig.kept() == 0);
  rig.answered(1);
  rig.end(1).close();  // in the same turn: the kernel knows
  rig.answered(2);
  EXPECT(rig.out.reused() == 0 && rig.out.opened() == 3);
  Gathered got(rig.open("4"));  // rides, and the channel is reset before a byte has left
  rig.end(2).reset();
  UNTIL(rig.loop, got.over());
  EXPECT(got.broken && got.broken->provenUnsent && got.broken->reused);
  Gathered sent(rig.open("5"));
  UNTIL(rig.loop, rig.server.ends.size() == 4 && rig.end(3).has("body-5"));
  rig.end(3).reset();
  UNTIL(rig.loop, sent.over());
  EXPECT(sent.broken && !sent.broken->provenUnsent && !sent.broken->reused);
}

const std::string kSurplus = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nAttempt-Id: late\r\n\r\nlate";

void surplusReachesNobody() {
  OutRig rig;
  rig.answered(0, "Content-Type: a/b\r\n");
  rig.end(0).say(kSurplus);
  UNTIL(rig.loop, rig.kept() == 0);  // while it waits
  rig.answered(1);
  rig.end(1).say(kSurplus);
  rig.answered(2);  // in the same turn
  Gathered with(rig.open("2"));
  UNTIL(rig.loop, rig.end(2).has("body-2"));
  rig.end(2).say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" + kSurplus);  // with the answer itself
  UNTIL(rig.loop, with.over());
  EXPECT(with.ended && with.body == "ok" && rig.kept() == 0);
  rig.answered(3);
  HttpVia via = rig.via();
  via.echoName = "attempt-id";
  via.echoValue = "3";
  Gathered next(rig.out.open(rig.server.address, rig.ask("3"), via));
  UNTIL(rig.loop, rig.end(3).has("body-3"));
  rig.end(3).say(kSurplus +
                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nAttempt-Id: 3\r\n\r\nok");  // where the next is due
  UNTIL(rig.loop, next.over());
  EXPECT(next.broken && !next.broken->provenUnsent && next.broken->reused && !next.head && next.body.empty());
  UNTIL(rig.loop, rig.end(3).gone);
  EXPECT(rig.kept() == 0);
}

void largeAndSlow() {
  OutRig rig;
  HttpAsk ask = rig.ask();
  ask.body.resize(1'200'000);
  Chance chance(5);
  for (char& byte : ask.body) byte = static_cast<char>(chance.next());
  Gathered got(rig.out.open(rig.server.address, ask, rig.via()));
  UNTIL(rig.loop, rig.server.ends.size() == 1 && rig.end(0).heard.size() > ask.body.size() &&
                      rig.end(0).heard.ends_with(ask.body));
  rig.end(0).say("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  UNTIL(rig.loop, got.head.has_value());
  EXPECT(got.body.empty());
  Bytes expected;
  for (int i = 0; i < 20; ++i) {  // each is handed on before the next is sent
    const std::string event = "id: " + std::to_string(10 + i) + "\n\n";
    expected += event;
    rig.end(0).say("8\r\n" + event + "\r\n");
    UNTIL(rig.loop, got.body == expected);
  }
  rig.end(0).say("0\r\n\r\n");
  UNTIL(rig.loop, got.over());
  EXPECT(got.ended && rig.kept() == 1);
  got.flow.reset();
  {
    Gathered left(rig.open("9"));
    UNTIL(rig.loop, rig.end(0).has("body-9"));
    rig.end(0).say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabcd");
    UNTIL(rig.loop, left.body == "abcd");
  }
  UNTIL(rig.loop, rig.end(0).gone);  // an unfinished exchange closes its channel
}

// What was left over of its own former answer would pass for the new one: the name tells nothing then.
void nameRidesOnce() {
  OutRig rig;
  HttpVia via = rig.via();
  via.echoName = "attempt-id";
  const auto answered = [&](std::size_t number, const std::string& id) {
    via.echoValue = id;
    Gathered got(rig.out.open(rig.server.address, rig.ask(id), via));
    UNTIL(rig.loop, rig.server.ends.size() > number && rig.end(number).has("body-" + id));
    if (rig.server.ends.size() <= number) return;
    rig.end(number).take();
    rig.end(number).say("HTTP/1.1 500 No\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
    UNTIL(rig.loop, got.ended);
  };
  answered(0, "a");
  answered(0, "b");
  answered(1, "a");
  EXPECT(rig.kept() == 2);
  answered(2, "a");  // neither of the two
  answered(2, "c");
  EXPECT(rig.server.ends.size() == 3 && rig.kept() == 3);
}

void bounds() {
  OutRig rig;
  rig.out.mostPerServer = 2;
  rig.answered(0);
  Gathered first(rig.open("1"));
  Gathered second(rig.open("2"));
  Gathered third(rig.open("3"));
  UNTIL(rig.loop, third.over());
  EXPECT(third.broken && third.broken->provenUnsent && rig.out.channels(rig.server.address) == 2);
  UNTIL(rig.loop, rig.end(0).has("body-1"));
  rig.end(0).say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  UNTIL(rig.loop, first.over() && rig.kept() == 1);
  HttpVia fresh = rig.via();
  fresh.fresh = true;
  Gathered fourth(rig.out.open(rig.server.address, rig.ask("4"), fresh));  // the kept one makes room
  UNTIL(rig.loop, rig.end(0).gone && rig.server.ends.size() == 3 && rig.end(2).has("body-4"));
  rig.out.closeKept(rig.server.address);  // those in use end their request, and are closed then
  rig.end(2).say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  UNTIL(rig.loop, fourth.over() && rig.end(2).gone);
  EXPECT(fourth.ended && rig.kept() == 0);
}
// A bound that has become smaller closes as many kept ones as it takes, and an idle one goes at its time.
void shrinks() {
  OutRig rig;
  Gathered first(rig.open("1")), second(rig.open("2")), third(rig.open("3"));
  UNTIL(rig.loop, rig.server.ends.size() == 3);
  for (std::size_t end = 0; end < 3; ++end) {
    UNTIL(rig.loop, rig.end(end).has("body-"));
    rig.end(end).say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }
  UNTIL(rig.loop, rig.kept() == 3);
  HttpVia via = rig.via();
  via.fresh = true;
  via.most = 1;
  via.mostIdleUs = 100 * kMilliUs;
  Gathered fourth(rig.out.open(rig.server.address, rig.ask("4"), via));
  EXPECT(rig.kept() == 0 && rig.out.channels(rig.server.address) == 1);
  UNTIL(rig.loop, rig.server.ends.size() == 4 && rig.end(3).has("body-4"));
  rig.end(3).say("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n");
  UNTIL(rig.loop, fourth.over() && rig.kept() == 1);
  UNTIL(rig.loop, rig.kept() == 0 && rig.end(3).gone);
}
// A request that is given up is taken back: what its server has not confirmed by then must not reach it later.
void givenUpIsTakenBack() {
  OutRig rig;
  HttpAsk large = rig.ask();
  large.body = Bytes(32 << 20, 'b');
  auto given = std::make_unique<Gathered>(rig.out.open(rig.server.address, large, rig.via()));
  UNTIL(rig.loop, rig.server.ends.size() == 1 && rig.end(0).has("bbb"));
  rig.end(0).setReading(false);  // its buffers fill, the rest waits with the sender
  const Us fromUs = rig.loop.monoUs();
  UNTIL(rig.loop, rig.loop.monoUs() - fromUs > 50 * kMilliUs);
  given.reset();
  rig.end(0).setReading(true);
  UNTIL(rig.loop, rig.end(0).gone);
  EXPECT(rig.end(0).wasReset && rig.end(0).heard.size() < large.body.size());
}
}  // namespace

int main() {
  keepsAndRides();
  keepsNot();
  keepsAsLongAsTold();
  serverCloses();
  surplusReachesNobody();
  largeAndSlow();
  nameRidesOnce();
  givenUpIsTakenBack();
  bounds();
  shrinks();
  return closingLine();
}
