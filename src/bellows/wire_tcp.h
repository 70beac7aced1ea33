// The wire port over TCP: one task for each partner written to, one for each channel read (design.md 3.2).
#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <map>

#include "bellows/loop.h"
#include "vise/await.h"

namespace stonemount {

class WireTcp : public Wire {
 public:
  WireTcp(Loop& loop, const Address& self);
  ~WireTcp() override;
  bool listen();
  Address self() const override { return self_; }
  void post(const Address& partner, Bytes frame) override;

 private:
  struct Partner {
    std::deque<Bytes> queue;
    std::size_t queuedBytes = 0;
    Bell bell;
    bufferevent* channel = nullptr;
    bool connected = false;
    bool broken = false;
    bool refused = false;  // its machine answers that nobody listens
  };
  struct Incoming {
    bufferevent* channel = nullptr;
    Bell bell;
    bool broken = false;
    bool superseded = false;     // its partner opened another
    Incoming** place = nullptr;  // among those that are open
    ~Incoming();
  };
  Task writeTo(Address address, Partner& partner);
  Task readFrom(int socket);
  Task loopBack();
  static void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
  static void onReadable(bufferevent*, void* incoming);
  static void onIncomingEvent(bufferevent*, short what, void* incoming);
  static void onPartnerEvent(bufferevent*, short what, void* partner);
  static void onPartnerReadable(bufferevent* channel, void*);
  Loop& loop_;
  Address self_;
  evconnlistener* listener_ = nullptr;
  absl::btree_map<Address, std::unique_ptr<Partner>> partners_;
  std::map<Address, Incoming*> incoming_;  // by partner, the newest; its places stay put
  std::deque<Bytes> ownFrames_;
  Bell ownBell_;
  TaskRoom room_;
};

}  // namespace stonemount
