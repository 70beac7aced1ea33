#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/tcp.h>

#include <algorithm>

#include "adapters/http.h"
#include "adapters/http_text.h"
#include "adapters/socket_address.h"

namespace stonemount {

namespace {
// evhttp's own bounds lie above the limits, so that it is we who refuse, with the right status.
constexpr std::size_t kHeaderBound = 1 << 20;
constexpr std::size_t kBodyBound = 64 << 20;
constexpr std::size_t kAheadBytes = 64 << 10;  // read of the next request while one is being answered
constexpr int kBacklog = 1024;

enum class ReplyState {
  kOpen,   // nothing of the answer was begun
  kBegun,  // head sent, more to come
  kSent,   // all of it handed to evhttp, not yet to the kernel
  kOver,   // with the kernel, or the channel is gone
};

class ReplyEv : public HttpReply, public std::enable_shared_from_this<ReplyEv> {
 public:
  ReplyEv(evhttp_request* request, std::shared_ptr<HttpInState> state)
      : state_(std::move(state)), request_(request), channel_(evhttp_request_get_connection(request)) {
    ++state_->open;
    evhttp_connection_set_closecb(channel_, &ReplyEv::onClose, this);
    evhttp_request_set_on_complete_cb(request_, &ReplyEv::onComplete, this);
    // Keep reading, so that a caller that leaves is seen at once; but its silence means nothing. What it
    // sends ahead must not reach evhttp now: it ends the process when it is given bytes while answering.
    bufferevent* channel = evhttp_connection_get_bufferevent(channel_);
    bufferevent_data_cb onWritten = nullptr;
    bufferevent_event_cb onEvent = nullptr;
    void* given = nullptr;
    bufferevent_getcb(channel, nullptr, &onWritten, &onEvent, &given);
    bufferevent_setcb(channel, nullptr, onWritten, onEvent, given);
    bufferevent_set_timeouts(channel, nullptr, nullptr);
    bufferevent_setwatermark(channel, EV_READ, 0, kAheadBytes);
    bufferevent_enable(channel, EV_READ);
  }
  ~ReplyEv() override {
    if (standing_ == ReplyState::kBegun) abort();
    if (standing_ == ReplyState::kOpen) {
      // Whoever dropped it may have sent it on: nothing is promised.
      putHeaders({}, false);
      release();
      sendBody(502, "{\"verdict\":\"not_answered\"}\n");
    }
  }
  void begin(int status, const HeaderMap& headers) override {
    if (standing_ != ReplyState::kOpen) return;
    standing_ = ReplyState::kBegun;
    putHeaders(headers, true);
    evhttp_send_reply_start(request_, status, httpReason(status));
  }
  void chunk(const Bytes& bytes) override {
    if (standing_ != ReplyState::kBegun || bytes.empty()) return;
    if (declared_ && bytes.size() > leftBytes_) return abort();  // would be taken for another answer's bytes
    leftBytes_ -= declared_ ? bytes.size() : 0;
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(request_, buffer);
    evbuffer_free(buffer);
  }
  void end() override {
    if (standing_ != ReplyState::kBegun) return;
    if (declared_ && leftBytes_ != 0) return abort();
    sent();
    evhttp_send_reply_end(request_);
  }
  void whole(int status, const HeaderMap& headers, const Bytes& body) override {
    if (standing_ != ReplyState::kOpen) return;
    putHeaders(headers, false);
    sent();
    sendBody(status, body);
  }
  void abort() override {
    if (standing_ == ReplyState::kOver || standing_ == ReplyState::kSent) return;
    evhttp_connection* channel = channel_;
    release();
    evhttp_connection_free(channel);  // and the request with it
  }
  void refuse(int status) {
    refused_ = true;
    const char* verdict = status == 413 ? "body_too_large" : status == 431 ? "headers_too_large" : "bad_framing";
    whole(status, {}, absl::StrCat("{\"verdict\":\"", verdict, "\"}\n"));
  }
  std::size_t backlogBytes() const override {
    if (channel_ == nullptr) return 0;
    return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(channel_)));
  }

 private:
  void sent() {
    standing_ = ReplyState::kSent;
    self_ = shared_from_this();  // until the kernel has it, so that a process that ends can wait for that
  }
  void over() {
    standing_ = ReplyState::kOver;
    --state_->open;
  }
  // evhttp knows us no more.
  void release() {
    over();
    evhttp_connection_set_closecb(channel_, nullptr, nullptr);
    evhttp_request_set_on_complete_cb(request_, nullptr, nullptr);
    awaitNext();
    channel_ = nullptr;
  }
  void awaitNext() {
    bufferevent* channel = evhttp_connection_get_bufferevent(channel_);
    const timeval idle = timevalOf(state_->limits.idleUs);
    bufferevent_set_timeouts(channel, &idle, &idle);
    bufferevent_setwatermark(channel, EV_READ, 0, 0);
  }
  void sendBody(int status, const Bytes& body) {
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(request_, status, httpReason(status), buffer);
    evbuffer_free(buffer);
  }
  static void onComplete(evhttp_request*, void* given) {
    ReplyEv& self = *static_cast<ReplyEv*>(given);
    const std::shared_ptr<ReplyEv> kept = std::move(self.self_);
    self.release();
  }
  static void onClose(evhttp_connection*, void* given) {
    ReplyEv& self = *static_cast<ReplyEv*>(given);
    const std::shared_ptr<ReplyEv> kept = std::move(self.self_);
    const bool unsent = self.standing_ != ReplyState::kSent;
    self.over();
    self.channel_ = nullptr;
    // A request that evhttp has parted from its channel is ours to free; any other goes with the channel.
    if (unsent && evhttp_request_get_connection(self.request_) == nullptr) evhttp_request_free(self.request_);
    if (unsent) self.gone.emit();
  }
  // The framing is ours: what a server that we asked said of its own channel is not passed on.
  void putHeaders(const HeaderMap& headers, bool begins) {
    evkeyvalq* out = evhttp_request_get_output_headers(request_);
    bool typed = false;
    for (const auto& [name, value] : headers) {
      if (name == "content-type") typed = true;
      if (httpFraming(name) || (name == "content-type" && value.empty())) continue;
      if (name == "content-length") {
        if (!begins || !absl::SimpleAtoi(value, &leftBytes_)) continue;
        declared_ = true;
      }
      evhttp_add_header(out, name.c_str(), value.c_str());
    }
    if (!typed) evhttp_add_header(out, "content-type", "application/json");
    const Us toldSeconds = state_->limits.idleUs / kSecondUs - 1;
    if (state_->closing || refused_)
      evhttp_add_header(out, "connection", "close");
    else if (toldSeconds > 0)
      evhttp_add_header(out, "keep-alive", absl::StrCat("timeout=", toldSeconds).c_str());
  }
  std::shared_ptr<HttpInState> state_;
  std::shared_ptr<ReplyEv> self_;
  evhttp_request* request_;
  evhttp_connection* channel_;
  std::size_t leftBytes_ = 0;
  ReplyState standing_ = ReplyState::kOpen;
  bool declared_ = false;  // the answer's length was told
  bool refused_ = false;
};
}  // namespace

HttpInEv::~HttpInEv() {
  if (server_ != nullptr) evhttp_free(server_);
}

bool HttpInEv::listen() {
  server_ = evhttp_new(loop_.base());
  evhttp_set_default_content_type(server_, nullptr);
  evhttp_set_allowed_methods(server_,
                             EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH);
  evhttp_set_flags(server_, EVHTTP_SERVER_LINGERING_CLOSE);
  evhttp_set_gencb(server_, &HttpInEv::onAsk, this);
  setLimits(state_->limits);
  sockaddr_in where = socketAddress(self_);
  evconnlistener* listener = evconnlistener_new_bind(loop_.base(), nullptr, nullptr,
                                                     LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                                     kBacklog, reinterpret_cast<sockaddr*>(&where), sizeof(where));
  if (listener == nullptr) return false;
  const int socket = evconnlistener_get_fd(listener);
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));  // accepted sockets inherit it
  socklen_t length = sizeof(where);
  getsockname(socket, reinterpret_cast<sockaddr*>(&where), &length);
  self_.port = ntohs(where.sin_port);
  bound_ = evhttp_bind_listener(server_, listener);
  return bound_ != nullptr;
}

void HttpInEv::stop() {
  if (bound_ != nullptr) evhttp_del_accept_socket(server_, std::exchange(bound_, nullptr));
}

void HttpInEv::setLimits(const HttpLimits& limits) {
  state_->limits = limits;
  if (server_ == nullptr) return;
  evhttp_set_max_headers_size(server_, static_cast<ev_ssize_t>(std::max(kHeaderBound, 2 * limits.headerBytes)));
  evhttp_set_max_body_size(server_, static_cast<ev_ssize_t>(std::max(kBodyBound, limits.bodyBytes)));
  const timeval idle = timevalOf(limits.idleUs);
  evhttp_set_timeout_tv(server_, &idle);
}

void HttpInEv::onAsk(evhttp_request* request, void* given) {
  HttpInEv& self = *static_cast<HttpInEv*>(given);
  const auto reply = std::make_shared<ReplyEv>(request, self.state_);
  evbuffer* input = evhttp_request_get_input_buffer(request);
  if (request->headers_size > self.state_->limits.headerBytes) return reply->refuse(431);
  if (evbuffer_get_length(input) > self.state_->limits.bodyBytes) return reply->refuse(413);
  HttpAsk ask;
  ask.method = httpMethodName(evhttp_request_get_command(request));
  ask.target = evhttp_request_get_uri(request);
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = uri != nullptr ? evhttp_uri_get_path(uri) : nullptr;
  ask.path = path != nullptr && *path != '\0' ? path : "/";
  const char* query = uri != nullptr ? evhttp_uri_get_query(uri) : nullptr;
  if (query != nullptr) {
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(query, &pairs) == 0) copyPairs(&pairs, ask.query);
    evhttp_clear_headers(&pairs);
  }
  if (ask.target.empty() || ask.target.front() != '/')  // a whole URI names the host besides
    ask.target = query != nullptr ? absl::StrCat(ask.path, "?", query) : ask.path;
  joinPairs(evhttp_request_get_input_headers(request), ask.headers);
  if (!httpFramedOnce(ask.headers)) return reply->refuse(400);
  ask.headers.erase("expect");  // answered here
  ask.body.resize(evbuffer_get_length(input));
  evbuffer_remove(input, ask.body.data(), ask.body.size());
  self.asked.emit(ask, reply);
}

}  // namespace stonemount
