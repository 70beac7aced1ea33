#include "bellows/wire_tcp.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cerrno>
#include <cstring>

#include "bellows/socket_address.h"

namespace stonemount {

namespace {
constexpr std::uint32_t kHello = 0x534D4C01;  // magic and format revision, then ip and port
constexpr std::size_t kHelloBytes = 10;
constexpr std::size_t kFrameBound = 64 << 20;
constexpr std::size_t kQueueBytes = 16 << 20;
constexpr Us kConnectUs = 300 * kMilliUs;  // a machine without power says nothing; it may be back the next moment
constexpr Us kConnectAgainUs = 50 * kMilliUs;
constexpr int kUnheardMilli = 1000;  // sent and not acknowledged for so long: the channel is given up
constexpr int kIdleSeconds = 5;

// A partner that was cut off is reached again at once when it is back: a channel on which nothing is
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

WireTcp::WireTcp(Loop& loop, const Address& self) : loop_(loop), self_(self) { room_.start(loopBack()); }

WireTcp::~WireTcp() {
  if (listener_ != nullptr) evconnlistener_free(listener_);
  room_.clear();
  for (auto& [address, partner] : partners_)
    if (partner->channel != nullptr) bufferevent_free(partner->channel);
}

WireTcp::Incoming::~Incoming() {
  if (place != nullptr && *place == this) *place = nullptr;
  if (channel != nullptr) bufferevent_free(channel);
}

bool WireTcp::listen() {
  const sockaddr_in where = socketAddress(self_);
  listener_ = evconnlistener_new_bind(loop_.base(), &WireTcp::onAccept, this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, -1,
                                      reinterpret_cast<const sockaddr*>(&where), sizeof(where));
  return listener_ != nullptr;
}

void WireTcp::post(const Address& address, Bytes frame) {
  if (address == self_) {
    ownFrames_.push_back(std::move(frame));
    ownBell_.ring();
    return;
  }
  std::unique_ptr<Partner>& partner = partners_[address];
  if (partner == nullptr) {
    partner = std::make_unique<Partner>();
    room_.start(writeTo(address, *partner));
  }
  if (partner->queuedBytes + frame.size() > kQueueBytes) return;  // the desk's limits see to the rest
  partner->queuedBytes += frame.size();
  partner->queue.push_back(std::move(frame));
  partner->bell.ring();
}

Task WireTcp::loopBack() {
  while (true) {
    Hear hear(loop_, ownBell_, 3600 * kSecondUs);
    co_await hear;
    std::deque<Bytes> frames;
    frames.swap(ownFrames_);
    for (const Bytes& frame : frames) heard.emit(self_, frame);
  }
}

void WireTcp::onPartnerEvent(bufferevent*, short what, void* given) {
  Partner& partner = *static_cast<Partner*>(given);
  if (what & BEV_EVENT_CONNECTED) partner.connected = true;
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)) partner.broken = true;
  if ((what & BEV_EVENT_ERROR) && EVUTIL_SOCKET_ERROR() == ECONNREFUSED) partner.refused = true;
  partner.bell.ring();
}

void WireTcp::onPartnerReadable(bufferevent* channel, void*) {
  evbuffer* input = bufferevent_get_input(channel);
  evbuffer_drain(input, evbuffer_get_length(input));
}

Task WireTcp::writeTo(Address address, Partner& partner) {
  while (true) {
    Hear hear(loop_, partner.bell, 3600 * kSecondUs);
    co_await hear;
    const bool wasBroken = partner.broken;
    if (partner.broken) {
      bufferevent_free(partner.channel);
      partner.channel = nullptr;
      partner.broken = partner.connected = partner.refused = false;
    }
    // What broke is opened anew at once: a process that is gone shows by it before its silence would.
    if (partner.queue.empty() && !wasBroken) continue;
    if (partner.channel == nullptr) {
      partner.channel = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
      bufferevent_setcb(partner.channel, &WireTcp::onPartnerReadable, nullptr, &WireTcp::onPartnerEvent, &partner);
      const sockaddr_in where = socketAddress(address);
      bufferevent_socket_connect(partner.channel, reinterpret_cast<const sockaddr*>(&where), sizeof(where));
      const Us untilUs = loop_.monoUs() + kConnectUs;
      while (!partner.connected && !partner.broken && loop_.monoUs() < untilUs) {
        Hear connecting(loop_, partner.bell, untilUs - loop_.monoUs());
        co_await connecting;
      }
      if (!partner.connected || partner.broken) {
        bufferevent_free(partner.channel);
        partner.channel = nullptr;
        const bool gone = std::exchange(partner.refused, false);
        partner.broken = partner.connected = false;
        partner.queue.clear();
        partner.queuedBytes = 0;
        if (gone) refused.emit(address);
        Pause pause(loop_, kConnectAgainUs);
        co_await pause;
        continue;
      }
      tune(bufferevent_getfd(partner.channel));
      bufferevent_enable(partner.channel, EV_READ | EV_WRITE);
      Bytes hello(reinterpret_cast<const char*>(&kHello), 4);
      hello.append(reinterpret_cast<const char*>(&self_.ip), 4);
      hello.append(reinterpret_cast<const char*>(&self_.port), 2);
      bufferevent_write(partner.channel, hello.data(), hello.size());
    }
    while (!partner.queue.empty()) {
      Bytes frame = std::move(partner.queue.front());
      partner.queue.pop_front();
      partner.queuedBytes -= frame.size();
      if (evbuffer_get_length(bufferevent_get_output(partner.channel)) > kQueueBytes) continue;
      const std::uint32_t header[2] = {static_cast<std::uint32_t>(frame.size()), checksum(frame)};
      bufferevent_write(partner.channel, header, sizeof(header));
      bufferevent_write(partner.channel, frame.data(), frame.size());
    }
  }
}

void WireTcp::onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* given) {
  WireTcp& self = *static_cast<WireTcp*>(given);
  self.room_.start(self.readFrom(socket));
}

void WireTcp::onReadable(bufferevent*, void* incoming) { static_cast<Incoming*>(incoming)->bell.ring(); }

void WireTcp::onIncomingEvent(bufferevent*, short what, void* given) {
  Incoming& incoming = *static_cast<Incoming*>(given);
  if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) incoming.broken = true;
  incoming.bell.ring();
}

Task WireTcp::readFrom(int socket) {
  Incoming incoming;
  tune(socket);
  incoming.channel = bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb(incoming.channel, &WireTcp::onReadable, nullptr, &WireTcp::onIncomingEvent, &incoming);
  bufferevent_enable(incoming.channel, EV_READ | EV_WRITE);
  evbuffer* input = bufferevent_get_input(incoming.channel);
  Address partner;
  while (true) {
    Hear hear(loop_, incoming.bell, 3600 * kSecondUs);
    co_await hear;
    if (!partner.set() && evbuffer_get_length(input) >= kHelloBytes) {
      unsigned char hello[kHelloBytes];
      evbuffer_remove(input, hello, kHelloBytes);
      std::uint32_t magic = 0;
      std::memcpy(&magic, hello, 4);
      if (magic != kHello) co_return;  // another format: refused whole
      std::memcpy(&partner.ip, hello + 4, 4);
      std::memcpy(&partner.port, hello + 8, 2);
      // Who opens a channel anew has given up the old one, whose end may never be heard of here.
      Incoming*& current = incoming_[partner];
      if (current != nullptr) {
        current->superseded = true;
        current->bell.ring();
      }
      current = &incoming;
      incoming.place = &current;
    }
    if (incoming.superseded) co_return;
    std::uint32_t header[2];
    while (partner.set() && evbuffer_get_length(input) >= sizeof(header)) {
      evbuffer_copyout(input, header, sizeof(header));
      if (header[0] > kFrameBound) co_return;
      if (evbuffer_get_length(input) < sizeof(header) + header[0]) break;
      evbuffer_drain(input, sizeof(header));
      Bytes frame(header[0], '\0');
      evbuffer_remove(input, frame.data(), frame.size());
      if (checksum(frame) != header[1]) co_return;
      heard.emit(partner, frame);
    }
    if (incoming.broken) co_return;
  }
}

}  // namespace stonemount
