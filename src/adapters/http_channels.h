// The channels to servers: those in use, and those kept for the next request (design.md 3.2).
#pragma once

#include <event2/buffer.h>
#include <event2/http.h>

#include "adapters/loop.h"

namespace stonemount {

class HttpChannels;

// Whoever's request is on a channel.
class HttpRider {
 public:
  virtual ~HttpRider() = default;
  virtual void opened() = 0;  // the request is about to be written
};

// One channel. Destroying it closes it; never from within evhttp's own call about this channel.
class HttpChannel {
 public:
  HttpChannel(HttpChannels& channels, Loop& loop, const Address& server);
  ~HttpChannel();
  HttpChannel(const HttpChannel&) = delete;
  HttpChannel& operator=(const HttpChannel&) = delete;
  evhttp_connection* connection() { return connection_; }
  const Address& server() const { return server_; }
  bool connected() const { return connected_; }
  bool served() const { return served_; }    // a whole answer came on it before
  bool anySent() const { return anySent_; }  // of the present request; exact
  bool surplus() const;                      // bytes beyond the answer are here already
  // `name`: which the answer must repeat; empty: none.
  void board(HttpRider& rider, const std::string& name);
  // A request of that name rode on it lately: an answer to that one, come late or twice, would pass for this one's.
  bool carried(const std::string& name) const;

 private:
  friend class HttpChannels;
  static void onOutput(evbuffer*, const evbuffer_cb_info* info, void* self);
  static void onClose(evhttp_connection*, void* self);
  bool silent() const;  // asked of the kernel: nothing has arrived, nor an end
  HttpChannels& channels_;
  Address server_;
  evhttp_connection* connection_ = nullptr;
  evbuffer* output_ = nullptr;
  evbuffer_cb_entry* watch_ = nullptr;
  void takeBackUnconfirmed();
  HttpRider* rider_ = nullptr;  // none: it is kept
  static constexpr std::size_t kCarried = 64;
  std::deque<std::uint64_t> carried_;  // the newest names, hashed
  std::uint64_t tenancy_ = 0;
  Us idleUntilUs_ = 0;
  bool connected_ = false;
  bool closing_ = false;
  bool anySent_ = false;
  bool served_ = false;
};
using HttpChannelPtr = std::unique_ptr<HttpChannel>;

class HttpChannels : public Continuation {
 public:
  explicit HttpChannels(Loop& loop) : loop_(loop) {}
  ~HttpChannels() override;
  // A kept channel, or a new one that is yet to connect; none if `most` (not 0) are in use.
  HttpChannelPtr take(const Address& server, const HttpVia& via, std::size_t most);
  void keep(HttpChannelPtr channel, Us idleUs);  // closed at once if its server's were told to be
  void closeKept(const Address& server);
  std::size_t kept(const Address& server) const;
  std::size_t open(const Address& server) const;
  std::uint64_t opened = 0;
  std::uint64_t reused = 0;

 private:
  friend class HttpChannel;
  struct Server {
    std::vector<HttpChannelPtr> kept;  // the last one used is at the end
    std::size_t open = 0;
    std::uint64_t tenancy = 0;  // rises when the address may have got another tenant
  };
  HttpChannelPtr takeKept(Server& of, const std::string& name);
  void lost(HttpChannel& channel);
  void left(const Address& server);
  void proceed() override;  // the sweep
  Loop& loop_;
  absl::flat_hash_map<Address, Server> servers_;
  std::vector<HttpChannelPtr> buried_;  // closed by evhttp while kept; freed outside its call
};

}  // namespace stonemount
