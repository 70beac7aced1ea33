// The wire port over TCP: one task for each peer and lane written to, one for each channel read (design.md 3.2).
#pragma once

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <map>

#include "adapters/loop.h"
#include "runtime/await.h"

namespace stonemount {

// Frames to one peer go by two connections, so that signs of life, votes and short answers never wait behind lots,
// batches of entries or snapshots.
enum class Lane : std::uint8_t { kShort, kBulk };

class TcpTransport : public Wire {
 public:
  static constexpr std::size_t kLongestShort = 2048;  // bytes of a frame that goes by the short lane
  TcpTransport(Loop& loop, const Address& self);
  ~TcpTransport() override;
  bool listen();
  Address self() const override { return self_; }
  void post(const Address& peer, Bytes frame) override;

 private:
  struct Peer {
    std::deque<Bytes> queue;
    std::size_t queuedBytes = 0;
    Event event;
    bufferevent* channel = nullptr;
    bool connected = false;
    bool broken = false;
    bool refused = false;  // its machine answers that nobody listens
  };
  struct Incoming {
    bufferevent* channel = nullptr;
    Event event;
    bool broken = false;
    bool superseded = false;     // its peer opened another
    Incoming** place = nullptr;  // among those that are open
    ~Incoming();
  };
  using PeerLane = std::pair<Address, Lane>;
  Task writeTo(PeerLane to, Peer& peer);
  bool greetedBy(evbuffer* input, PeerLane& from) const;
  Task readFrom(int socket);
  Task loopBack();
  static void onAccept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
  static void onReadable(bufferevent*, void* incoming);
  static void onIncomingEvent(bufferevent*, short what, void* incoming);
  static void onPeerEvent(bufferevent*, short what, void* peer);
  static void onPeerReadable(bufferevent* channel, void*);
  Loop& loop_;
  Address self_;
  evconnlistener* listener_ = nullptr;
  absl::btree_map<PeerLane, std::unique_ptr<Peer>> peers_;
  std::map<PeerLane, Incoming*> incoming_;  // the newest of each; its places stay put
  std::deque<Bytes> ownFrames_;
  Event ownEvent_;
  TaskRoom room_;
};

}  // namespace stonemount
