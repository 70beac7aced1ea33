// Raw ends of TCP channels on the loopback, scripted by a test; the real loop between them. Nothing sleeps:
// the loop turns until what is awaited holds, for a bounded time.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>

#include "adapters/http.h"
#include "adapters/socket_address.h"

namespace stonemount {

inline int testsPassed = 0, testsFailed = 0;
inline void expect(bool well, const char* what, int line) {
  ++(well ? testsPassed : testsFailed);
  if (!well) std::printf("FAILED line %d: %s\n", line, what);
}
#define EXPECT(condition) expect((condition), #condition, __LINE__)

class TurnBound : public Continuation {
 public:
  explicit TurnBound(Loop& loop) : loop_(loop) { loop_.arm(10 * kSecondUs, *this); }
  ~TurnBound() override { loop_.disarm(*this); }
  void proceed() override { over = true; }
  bool over = false;

 private:
  Loop& loop_;
};
// Turns the loop until the condition holds; fails if it does not in 10 s.
#define UNTIL(loop, condition)                                                       \
  do {                                                                               \
    TurnBound bound(loop);                                                           \
    while (!bound.over && !(condition)) event_base_loop((loop).base(), EVLOOP_ONCE); \
    expect((condition), "until " #condition, __LINE__);                              \
  } while (false)

// One end: all that came, and whether the other end has gone.
class RawEnd {
 public:
  RawEnd(Loop& loop, int socket) : socket_(socket), channel_(bufferevent_socket_new(loop.base(), socket, 0)) {
    bufferevent_setcb(channel_, &RawEnd::onRead, nullptr, &RawEnd::onEvent, this);
    bufferevent_enable(channel_, EV_READ);
  }
  RawEnd(Loop& loop, const Address& server) : RawEnd(loop, socket(AF_INET, SOCK_STREAM, 0)) {
    const sockaddr_in where = socketAddress(server);
    connected = connect(socket_, reinterpret_cast<const sockaddr*>(&where), sizeof(where)) == 0;
    evutil_make_socket_nonblocking(socket_);
  }
  ~RawEnd() { close(); }
  RawEnd(const RawEnd&) = delete;
  RawEnd& operator=(const RawEnd&) = delete;
  // In the other end's kernel buffer when this returns.
  void say(const std::string& text) {
    if (channel_ != nullptr &&
        send(socket_, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size()))
      testsFailed += 1;
  }
  void close() {
    if (channel_ == nullptr) return;
    bufferevent_free(std::exchange(channel_, nullptr));
    ::close(socket_);  // now; libevent would do it in a later turn
  }
  void reset() {
    const linger hard{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    close();
  }
  void setReading(bool reads) { (reads ? bufferevent_enable : bufferevent_disable)(channel_, EV_READ); }
  // Bytes that came and were not read yet, where it does not read by itself.
  std::size_t pending() const {
    int bytes = 0;
    ioctl(socket_, FIONREAD, &bytes);
    return static_cast<std::size_t>(bytes);
  }
  // Reads so many of them.
  void readSome(std::size_t bytes) {
    std::string part(bytes, '\0');
    const ssize_t came = recv(socket_, part.data(), bytes, 0);
    heard += part.substr(0, came < 0 ? 0 : static_cast<std::size_t>(came));
  }
  bool has(const std::string& text) const { return heard.find(text) != std::string::npos; }
  std::string take() { return std::exchange(heard, {}); }
  std::string heard;
  bool connected = true;
  bool gone = false;
  bool wasReset = false;  // gone by a reset: what was still on its way is lost

 private:
  static void onRead(bufferevent* channel, void* given) {
    evbuffer* input = bufferevent_get_input(channel);
    std::string& heard = static_cast<RawEnd*>(given)->heard;
    const std::size_t before = heard.size(), length = evbuffer_get_length(input);
    heard.resize(before + length);
    evbuffer_remove(input, heard.data() + before, length);
  }
  static void onEvent(bufferevent*, short what, void* given) {
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) static_cast<RawEnd*>(given)->gone = true;
    if (what & BEV_EVENT_ERROR) static_cast<RawEnd*>(given)->wasReset = true;
  }
  int socket_;
  bufferevent* channel_;
};

class RawServer {
 public:
  explicit RawServer(Loop& loop) : loop_(loop) {
    sockaddr_in where = socketAddress({(127u << 24) | 1, 0});
    listener_ = evconnlistener_new_bind(loop.base(), &RawServer::onAccept, this, LEV_OPT_CLOSE_ON_FREE, 64,
                                        reinterpret_cast<sockaddr*>(&where), sizeof(where));
    socklen_t length = sizeof(where);
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&where), &length);
    address = {(127u << 24) | 1, ntohs(where.sin_port)};
  }
  ~RawServer() { evconnlistener_free(listener_); }
  Address address;
  std::vector<std::unique_ptr<RawEnd>> ends;

 private:
  static void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* given) {
    RawServer& self = *static_cast<RawServer*>(given);
    self.ends.push_back(std::make_unique<RawEnd>(self.loop_, socket));
  }
  Loop& loop_;
  evconnlistener* listener_;
};

// What came of one request.
class Gathered : public sigc::trackable {
 public:
  explicit Gathered(std::unique_ptr<HttpFlow> opened) : flow(std::move(opened)) {
    flow->piece.connect(sigc::mem_fun(*this, &Gathered::put));
    flow->connected.connect(sigc::mem_fun(*this, &Gathered::onConnected));
  }
  std::unique_ptr<HttpFlow> flow;
  std::optional<HttpHead> head;
  Bytes body;
  bool ended = false;
  int connects = 0;
  std::optional<HttpBroken> broken;
  bool over() const { return ended || broken.has_value(); }

 private:
  void onConnected() { ++connects; }
  void put(HttpPiece piece) {
    if (over()) testsFailed += 1;
    if (auto* first = std::get_if<HttpHead>(&piece))
      head = std::move(*first);
    else if (auto* data = std::get_if<HttpData>(&piece))
      body += data->bytes;
    else if (auto* fault = std::get_if<HttpBroken>(&piece))
      broken = *fault;
    else
      ended = true;
  }
};

// A client, one server, and requests that name themselves.
struct OutRig {
  Loop loop;
  HttpOutEv out{loop, 300 * kMilliUs};
  RawServer server{loop};
  HttpVia via() const {
    HttpVia via;
    via.keep = true;
    return via;
  }
  HttpAsk ask(const std::string& id = "1") const {
    HttpAsk ask;
    ask.method = "POST";
    ask.target = "/a%20b/?x=" + id + "&&y";
    ask.headers = {{"host", "wanted.example"}, {"attempt-id", id}, {"connection", "upgrade"}};
    ask.body = "body-" + id;
    return ask;
  }
  std::unique_ptr<HttpFlow> open(const std::string& id = "1") { return out.open(server.address, ask(id), via()); }
  RawEnd& end(std::size_t number) { return *server.ends[number]; }
  std::size_t kept() const { return out.kept(server.address); }
  // A request that is answered whole with these head lines, on the channel of this number.
  void answered(std::size_t number, const std::string& lines = "", const std::string& id = "1") {
    Gathered got(open(id));
    UNTIL(loop, server.ends.size() > number && end(number).has("body-" + id));
    if (server.ends.size() <= number) return;
    end(number).take();
    end(number).say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + lines + "\r\nok");
    UNTIL(loop, got.over());
    EXPECT(got.ended && got.body == "ok");
  }
};

inline int closingLine() {
  std::printf("%d passed, %d failed\n", testsPassed, testsFailed);
  return testsFailed == 0 && testsPassed > 0 ? 0 : 1;
}

}  // namespace stonemount
