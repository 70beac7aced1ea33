// evhttp behind the HTTP ports (design.md 3.2).
#pragma once

#include <event2/http.h>

#include "adapters/loop.h"

struct evconnlistener;

namespace stonemount {

// What all answers of one server share; they may outlive it.
struct HttpInState {
  HttpLimits limits;
  bool closing = false;
  std::size_t open = 0;
};

// An answer whose given headers carry no content-type is sent as JSON; one given as empty is not sent.
// Every answer tells the idle time in `keep-alive`, so that callers need not meet a closing channel.
class HttpInEv : public HttpIn {
 public:
  HttpInEv(Loop& loop, const Address& self) : loop_(loop), self_(self) {}
  ~HttpInEv() override;
  bool listen();
  void stop();                                   // takes no new channels; those that are open stay
  const Address& self() const { return self_; }  // with the port that was found, if 0 was asked for
  // Requests taken whose answers have not been handed to the kernel to the last byte.
  std::size_t openRequests() const { return state_->open; }
  void setLimits(const HttpLimits& limits) override;
  void setClosing() override { state_->closing = true; }

 private:
  static void onAsk(evhttp_request* request, void* self);
  Loop& loop_;
  Address self_;
  evhttp* server_ = nullptr;
  evhttp_bound_socket* bound_ = nullptr;
  std::shared_ptr<HttpInState> state_ = std::make_shared<HttpInState>();
};

class HttpChannels;

class HttpOutEv : public HttpOut {
 public:
  // A server not connected to within `connectUs` has been sent nothing (design.md 3.2).
  explicit HttpOutEv(Loop& loop, Us connectUs = kSecondUs);
  ~HttpOutEv() override;
  std::unique_ptr<HttpFlow> open(const Address& server, const HttpAsk& ask) override { return open(server, ask, {}); }
  std::unique_ptr<HttpFlow> open(const Address& server, const HttpAsk& ask, const HttpVia& via) override;
  void closeKept(const Address& server) override;
  std::uint64_t opened() const;  // channels, since the start
  std::uint64_t reused() const;  // requests that rode on a kept one
  std::size_t kept(const Address& server) const;
  std::size_t channels(const Address& server) const;  // kept or in use
  std::size_t mostPerServer = 0;                      // with so many channels in use no more are opened; 0: no bound

 private:
  Loop& loop_;
  Us connectUs_;
  std::unique_ptr<HttpChannels> channels_;
};

}  // namespace stonemount
