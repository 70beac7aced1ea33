#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#include "bellows/http.h"
#include "bellows/socket_address.h"

namespace stonemount {

namespace {
constexpr int kIdleSeconds = 3700;  // more than any route's limit: a silent worker is no dead worker; limits are the lathe's

constexpr Us kConnectUs = kSecondUs;  // not connected by then: nothing was sent, nothing will be

// Pieces are handed on through the alarm port, never from within evhttp's own call.
class FlowEv : public HttpFlow, public Continuation {
 public:
  class ConnectLimit : public Continuation {
   public:
    explicit ConnectLimit(FlowEv& flow) : flow_(flow) {}
    void proceed() override { flow_.connectLapsed(); }

   private:
    FlowEv& flow_;
  };
  FlowEv(Loop& loop, const Address& server, const HttpAsk& ask) : loop_(loop) {
    bufferevent* channel = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    watch_ = evbuffer_add_cb(bufferevent_get_output(channel), &FlowEv::onOutput, this);
    output_ = bufferevent_get_output(channel);
    connection_ = evhttp_connection_base_bufferevent_new(loop.base(), nullptr, channel, ipText(server).c_str(), server.port);
    evhttp_connection_set_timeout(connection_, kIdleSeconds);
    request_ = evhttp_request_new(&FlowEv::onDone, this);
    evhttp_request_set_header_cb(request_, &FlowEv::onHead);
    evhttp_request_set_chunked_cb(request_, &FlowEv::onChunk);
    evhttp_request_set_error_cb(request_, &FlowEv::onError);
    evkeyvalq* out = evhttp_request_get_output_headers(request_);
    evhttp_add_header(out, "host", addressText(server).c_str());
    evhttp_add_header(out, "connection", "close");
    for (const auto& [name, value] : ask.headers) evhttp_add_header(out, name.c_str(), value.c_str());
    if (!ask.body.empty() || ask.method == "POST" || ask.method == "PUT" || ask.method == "PATCH")
      evhttp_add_header(out, "content-length", absl::StrCat(ask.body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request_), ask.body.data(), ask.body.size());
    std::string target = ask.path;
    char mark = '?';
    for (const auto& [name, value] : ask.query) {
      char* name_ = evhttp_uriencode(name.data(), static_cast<ssize_t>(name.size()), 0);
      char* value_ = evhttp_uriencode(value.data(), static_cast<ssize_t>(value.size()), 0);
      absl::StrAppend(&target, std::string(1, mark), name_, "=", value_);
      free(name_);
      free(value_);
      mark = '&';
    }
    const evhttp_cmd_type type = ask.method == "GET" ? EVHTTP_REQ_GET : ask.method == "PUT" ? EVHTTP_REQ_PUT
                                 : ask.method == "PATCH" ? EVHTTP_REQ_PATCH
                                 : ask.method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_POST;
    if (evhttp_make_request(connection_, request_, type, target.c_str()) != 0) {
      request_ = nullptr;
      put(HttpBroken{true});
    }
    loop_.arm(kConnectUs, connectLimit_);
  }
  ~FlowEv() override {
    loop_.disarm(*this);
    loop_.disarm(connectLimit_);
    closeChannel();
  }
  void proceed() override {
    const std::weak_ptr<bool> alive = alive_;
    while (!pieces_.empty()) {
      HttpPiece next = std::move(pieces_.front());
      pieces_.pop_front();
      piece.emit(std::move(next));
      if (alive.expired()) return;
    }
  }

 private:
  void closeChannel() {
    if (connection_ == nullptr) return;
    evbuffer_remove_cb_entry(output_, watch_);
    evhttp_connection_free(std::exchange(connection_, nullptr));
  }
  void connectLapsed() {
    if (anySent_ || ended_) return;
    closeChannel();  // first, so that it stays unsent
    put(HttpBroken{true});
  }
  void put(HttpPiece next) {
    if (ended_) return;
    ended_ = std::holds_alternative<HttpEnd>(next) || std::holds_alternative<HttpBroken>(next);
    pieces_.push_back(std::move(next));
    loop_.disarm(*this);
    loop_.arm(0, *this);
  }
  void drain(evhttp_request* request) {
    evbuffer* input = evhttp_request_get_input_buffer(request);
    Bytes bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    if (!bytes.empty()) put(HttpData{std::move(bytes)});
  }
  static void onOutput(evbuffer*, const evbuffer_cb_info* info, void* given) {
    if (info->n_deleted > 0) static_cast<FlowEv*>(given)->anySent_ = true;
  }
  static int onHead(evhttp_request* request, void* given) {
    FlowEv& self = *static_cast<FlowEv*>(given);
    HttpHead head;
    head.status = evhttp_request_get_response_code(request);
    const evkeyvalq* pairs = evhttp_request_get_input_headers(request);
    for (const evkeyval* pair = pairs->tqh_first; pair != nullptr; pair = pair->next.tqe_next)
      head.headers[absl::AsciiStrToLower(pair->key)] = pair->value;
    self.headSeen_ = true;
    self.put(std::move(head));
    return 0;
  }
  static void onChunk(evhttp_request* request, void* given) { static_cast<FlowEv*>(given)->drain(request); }
  static void onError(evhttp_request_error, void* given) {
    FlowEv& self = *static_cast<FlowEv*>(given);
    self.put(HttpBroken{!self.anySent_});
  }
  static void onDone(evhttp_request* request, void* given) {
    FlowEv& self = *static_cast<FlowEv*>(given);
    if (request == nullptr || evhttp_request_get_response_code(request) == 0 || !self.headSeen_) {
      self.put(HttpBroken{!self.anySent_});
      return;
    }
    self.drain(request);
    self.put(HttpEnd{});
  }
  Loop& loop_;
  ConnectLimit connectLimit_{*this};
  evhttp_connection* connection_ = nullptr;
  evhttp_request* request_ = nullptr;
  evbuffer* output_ = nullptr;
  evbuffer_cb_entry* watch_ = nullptr;
  std::deque<HttpPiece> pieces_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool anySent_ = false;
  bool headSeen_ = false;
  bool ended_ = false;
};
}  // namespace

std::unique_ptr<HttpFlow> HttpOutEv::open(const Address& server, const HttpAsk& ask) {
  return std::make_unique<FlowEv>(loop_, server, ask);
}

}  // namespace stonemount
