// One whole HTTP exchange, awaited (design.md 3.2).
#pragma once

#include "runtime/await.h"

namespace stonemount {

struct HttpWhole {
  int status = 0;
  HeaderMap headers;
  Bytes body;
};
struct HttpFailed {
  bool provenUnsent = false;
};
using HttpVerdict = std::variant<HttpWhole, HttpFailed>;

class HttpCall : public Waiter, public sigc::trackable {
 public:
  HttpCall(Ports& ports, const Address& server, HttpAsk ask, Us limitUs, HttpVia via = {})
      : Waiter(ports.timers),
        ports_(ports),
        server_(server),
        ask_(std::move(ask)),
        limitUs_(limitUs),
        via_(std::move(via)) {}
  bool await_ready() const { return false; }
  void await_suspend(std::coroutine_handle<> handle) {
    sleepFor(handle, limitUs_);
    flow_ = ports_.httpOut.open(server_, ask_, via_);
    flow_->piece.connect(sigc::mem_fun(*this, &HttpCall::put));
  }
  HttpVerdict await_resume() {
    flow_.reset();
    if (whole_) return std::move(gathered_);
    return HttpFailed{unsent_};
  }

 private:
  void put(HttpPiece piece) {
    if (auto* head = std::get_if<HttpHead>(&piece)) {
      gathered_.status = head->status;
      gathered_.headers = head->headers;
    } else if (auto* data = std::get_if<HttpData>(&piece)) {
      gathered_.body += data->bytes;
    } else if (auto* broken = std::get_if<HttpBroken>(&piece)) {
      unsent_ = broken->provenUnsent;
      wake();
    } else {
      whole_ = true;
      wake();
    }
  }
  Ports& ports_;
  Address server_;
  HttpAsk ask_;
  Us limitUs_;
  HttpVia via_;
  std::unique_ptr<HttpFlow> flow_;
  HttpWhole gathered_;
  bool whole_ = false;
  bool unsent_ = false;
};

}  // namespace stonemount
