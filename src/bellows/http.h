// evhttp behind the HTTP ports (design.md 3.2).
#pragma once

#include <event2/http.h>

#include "bellows/loop.h"

namespace stonemount {

class HttpInEv : public HttpIn {
 public:
  HttpInEv(Loop& loop, const Address& self) : loop_(loop), self_(self) {}
  ~HttpInEv() override;
  bool listen();

 private:
  static void onAsk(evhttp_request* request, void* self);
  Loop& loop_;
  Address self_;
  evhttp* server_ = nullptr;
};

class HttpOutEv : public HttpOut {
 public:
  explicit HttpOutEv(Loop& loop) : loop_(loop) {}
  std::unique_ptr<HttpFlow> open(const Address& server, const HttpAsk& ask) override;

 private:
  Loop& loop_;
};

}  // namespace stonemount
