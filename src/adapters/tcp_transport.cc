#include "adapters/tcp_transport.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cerrno>
#include <cstring>

#include "adapters/socket_address.h"

namespace stonemount {

namespace {
constexpr std::uint32_t kHello = 0x534D4C01;       // magic and format revision, then ip and port
constexpr std::uint32_t kHelloShort = 0x534D4C02;  // the same, of the short lane
constexpr std::size_t kHelloBytes = 10;
constexpr std::size_t kFrameBound = 64 << 20;
constexpr std::size_t kQueueBytes = 16 << 20;
constexpr Us kConnectUs = 300 * kMilliUs;  // a machine without power says nothing; it may be back the next moment
constexpr Us kConnectAgainUs = 50 * kMilliUs;
constexpr int kUnheardMilli = 1000;  // sent and not acknowledged for so long: the channel is given up
constexpr int kIdleSeconds = 5;

// A peer that was cut off is reached again at once when it is back: a channel on which nothing is
// acknowledged would only try again after ever longer waits, so it is closed and opened anew. One that
// only listens asks now and then whether the other end is still there.
void tune(int socket) {
  const int on = 1, idle = kIdleSeconds, tries = 2, unheard = kUnheardMilli;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &unheard, sizeof(unheard));
  setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &idle, sizeof(idle));
  setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &tries, sizeof(tries));
}
}  // namespace

TcpTransport::TcpTransport(Loop& loop, const Address& self) : loop_(loop), self_(self) { room_.start(loopBack()); }

TcpTransport::~TcpTransport() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  room_.clear();
  for (auto& [address, peer] : peers_)
    if (peer->channel != nullptr) bufferevent_free(peer->channel);
}

TcpTransport::Incoming::~Incoming() {
  if (place != nullptr && *place == this) *place = nullptr;
  if (channel != nullptr) bufferevent_free(channel);
}

bool TcpTransport::listen() {
  const sockaddr_in where = socketAddress(self_);
  listener_ = evconnlistener_new_bind(loop_.base(), &TcpTransport::onAccept, this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
                                      reinterpret_cast<const sockaddr*>(&where), sizeof(where));
  return listener_ != nullptr;
}

void TcpTransport::post(const Address& address, Bytes frame) {
  if (address == self_) {
    ownFrames_.push_back(std::move(frame));
    ownEvent_.notify();
    return;
  }
  const PeerLane to(address, frame.size() <= kLongestShort ? Lane::kShort : Lane::kBulk);
  std::unique_ptr<Peer>& peer = peers_[to];
  if (peer == nullptr) {
    peer = std::make_unique<Peer>();
    room_.start(writeTo(to, *peer));
  }
  if (peer->queuedBytes + frame.size() > kQueueBytes) return;  // the rpc's limits see to the rest
  peer->queuedBytes += frame.size();
  peer->queue.push_back(std::move(frame));
  peer->event.notify();
}

Task TcpTransport::loopBack() {
  while (true) {
    EventWait hear(loop_, ownEvent_, 3600 * kSecondUs);
    co_await hear;
    std::deque<Bytes> frames;
    frames.swap(ownFrames_);
    for (const Bytes& frame : frames) heard.emit(self_, frame);
  }
}

void TcpTransport::onPeerEvent(bufferevent*, short what, void* given) {
  Peer& peer = *static_cast<Peer*>(given);
  if (what & BEV_EVENT_CONNECTED) peer.connected = true;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) peer.broken = true;
  if ((what & BEV_EVENT_ERROR) && EVUTIL_SOCKET_ERROR() == ECONNREFUSED) peer.refused = true;
  peer.event.notify();
}

void TcpTransport::onPeerReadable(bufferevent* channel, void*) {
  evbuffer* input = bufferevent_get_input(channel);
  evbuffer_drain(input, evbuffer_get_length(input));
}

Task TcpTransport::writeTo(PeerLane to, Peer& peer) {
  const Address address = to.first;
  while (true) {
    EventWait hear(loop_, peer.event, 3600 * kSecondUs);
    co_await hear;
    const bool wasBroken = peer.broken;
    if (peer.broken) {
      bufferevent_free(peer.channel);
      peer.channel = nullptr;
      peer.broken = peer.connected = peer.refused = false;
    }
    // What broke is opened anew at once: a process that is gone shows by it before its silence would.
    if (peer.queue.empty() && !wasBroken) continue;
    if (peer.channel == nullptr) {
      peer.channel = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
      bufferevent_setcb(peer.channel, &TcpTransport::onPeerReadable, nullptr, &TcpTransport::onPeerEvent, &peer);
      const sockaddr_in where = socketAddress(address);
      bufferevent_socket_connect(peer.channel, reinterpret_cast<const sockaddr*>(&where), sizeof(where));
      const Us untilUs = loop_.monoUs() + kConnectUs;
      while (!peer.connected && !peer.broken && loop_.monoUs() < untilUs) {
        EventWait connecting(loop_, peer.event, untilUs - loop_.monoUs());
        co_await connecting;
      }
      if (!peer.connected || peer.broken) {
        bufferevent_free(peer.channel);
        peer.channel = nullptr;
        const bool gone = std::exchange(peer.refused, false);
        peer.broken = peer.connected = false;
        peer.queue.clear();
        peer.queuedBytes = 0;
        if (gone) refused.emit(address);
        Pause pause(loop_, kConnectAgainUs);
        co_await pause;
        continue;
      }
      tune(bufferevent_getfd(peer.channel));
      bufferevent_enable(peer.channel, EV_READ | EV_WRITE);
      const std::uint32_t magic = to.second == Lane::kShort ? kHelloShort : kHello;
      Bytes hello(reinterpret_cast<const char*>(&magic), 4);
      hello.append(reinterpret_cast<const char*>(&self_.ip), 4);
      hello.append(reinterpret_cast<const char*>(&self_.port), 2);
      bufferevent_write(peer.channel, hello.data(), hello.size());
    }
    while (!peer.queue.empty()) {
      Bytes frame = std::move(peer.queue.front());
      peer.queue.pop_front();
      peer.queuedBytes -= frame.size();
      if (evbuffer_get_length(bufferevent_get_output(peer.channel)) > kQueueBytes) continue;
      const std::uint32_t header[2] = {static_cast<std::uint32_t>(frame.size()), checksum(frame)};
      bufferevent_write(peer.channel, header, sizeof(header));
      bufferevent_write(peer.channel, frame.data(), frame.size());
    }
  }
}

void TcpTransport::onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* given) {
  TcpTransport& self = *static_cast<TcpTransport*>(given);
  self.room_.start(self.readFrom(socket));
}

void TcpTransport::onReadable(bufferevent*, void* incoming) { static_cast<Incoming*>(incoming)->event.notify(); }

void TcpTransport::onIncomingEvent(bufferevent*, short what, void* given) {
  Incoming& incoming = *static_cast<Incoming*>(given);
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) incoming.broken = true;
  incoming.event.notify();
}

// Reads who opened a channel, and for which lane. False: another format.
bool TcpTransport::greetedBy(evbuffer* input, PeerLane& from) const {
  unsigned char hello[kHelloBytes];
  evbuffer_remove(input, hello, kHelloBytes);
  std::uint32_t magic = 0;
  std::memcpy(&magic, hello, 4);
  if (magic != kHello && magic != kHelloShort) return false;
  std::memcpy(&from.first.ip, hello + 4, 4);
  std::memcpy(&from.first.port, hello + 8, 2);
  from.second = magic == kHelloShort ? Lane::kShort : Lane::kBulk;
  return true;
}

Task TcpTransport::readFrom(int socket) {
  Incoming incoming;
  tune(socket);
  incoming.channel = bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(incoming.channel, &TcpTransport::onReadable, nullptr, &TcpTransport::onIncomingEvent, &incoming);
  bufferevent_enable(incoming.channel, EV_READ | EV_WRITE);
  evbuffer* input = bufferevent_get_input(incoming.channel);
  PeerLane from;
  Address& peer = from.first;
  while (true) {
    EventWait hear(loop_, incoming.event, 3600 * kSecondUs);
    co_await hear;
    if (!peer.set() && evbuffer_get_length(input) >= kHelloBytes) {
      if (!greetedBy(input, from)) co_return;  // refused whole
      // Who opens a channel anew has given up the old one, whose end may never be heard of here.
      Incoming*& current = incoming_[from];
      if (current != nullptr) {
        current->superseded = true;
        current->event.notify();
      }
      current = &incoming;
      incoming.place = &current;
    }
    if (incoming.superseded) co_return;
    std::uint32_t header[2];
    while (peer.set() && evbuffer_get_length(input) >= sizeof(header)) {
      evbuffer_copyout(input, header, sizeof(header));
      if (header[0] > kFrameBound) co_return;
      if (evbuffer_get_length(input) < sizeof(header) + header[0]) break;
      evbuffer_drain(input, sizeof(header));
      Bytes frame(header[0], '\0');
      evbuffer_remove(input, frame.data(), frame.size());
      if (checksum(frame) != header[1]) co_return;
      heard.emit(peer, frame);
    }
    if (incoming.broken) co_return;
  }
}

}  // namespace stonemount
