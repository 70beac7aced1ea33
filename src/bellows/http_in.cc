#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#include "bellows/http.h"
#include "bellows/socket_address.h"

namespace stonemount {

namespace {
// Far above what the front takes, so that it is the front that refuses, in JSON.
constexpr ssize_t kHeaderBound = 256 << 10;
constexpr ssize_t kBodyBound = 64 << 20;
constexpr int kIdleSeconds = 120;  // of a channel with no request on it

const char* reason(int status) {
  switch (status) {
    case 200: return "OK";
    case 201: return "Created";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 409: return "Conflict";
    case 413: return "Content Too Large";
    case 422: return "Unprocessable Content";
    case 431: return "Request Header Fields Too Large";
    case 429: return "Too Many Requests";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    default: return "Other";
  }
}

const char* methodText(evhttp_cmd_type type) {
  switch (type) {
    case EVHTTP_REQ_GET: return "GET";
    case EVHTTP_REQ_POST: return "POST";
    case EVHTTP_REQ_PUT: return "PUT";
    case EVHTTP_REQ_PATCH: return "PATCH";
    case EVHTTP_REQ_DELETE: return "DELETE";
    default: return "OTHER";
  }
}

class ReplyEv : public HttpReply {
 public:
  explicit ReplyEv(evhttp_request* request) : request_(request) {
    channel_ = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(channel_, &ReplyEv::onClose, this);
    // Keep reading, so that a caller that leaves is seen at once; but its silence means nothing.
    bufferevent* channel = evhttp_connection_get_bufferevent(channel_);
    bufferevent_set_timeouts(channel, nullptr, nullptr);
    bufferevent_enable(channel, EV_READ);
  }
  ~ReplyEv() override {
    if (request_ == nullptr) return;
    if (!begun_) whole(503, {{"retry-after", "1"}}, "{\"verdict\":\"stopping\"}\n");
    else end();
  }
  void begin(int status, const HeaderMap& headers) override {
    if (request_ == nullptr || begun_) return;
    begun_ = true;
    putHeaders(headers);
    evhttp_send_reply_start(request_, status, reason(status));
  }
  void chunk(const Bytes& bytes) override {
    if (request_ == nullptr || gone_) return;
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, bytes.data(), bytes.size());
    evhttp_send_reply_chunk(request_, buffer);
    evbuffer_free(buffer);
  }
  void end() override {
    if (request_ == nullptr) return;
    leave();
    evhttp_send_reply_end(std::exchange(request_, nullptr));
  }
  void whole(int status, const HeaderMap& headers, const Bytes& body) override {
    if (request_ == nullptr || begun_) return;
    begun_ = true;
    putHeaders(headers);
    leave();
    evbuffer* buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(std::exchange(request_, nullptr), status, reason(status), buffer);
    evbuffer_free(buffer);
  }
  std::size_t backlogBytes() const override {
    if (request_ == nullptr || gone_) return 0;
    return evbuffer_get_length(bufferevent_get_output(evhttp_connection_get_bufferevent(channel_)));
  }

 private:
  static void onClose(evhttp_connection*, void* given) {
    ReplyEv& self = *static_cast<ReplyEv*>(given);
    self.gone_ = true;
    self.channel_ = nullptr;
    self.gone.emit();
  }
  void leave() {
    if (channel_ == nullptr) return;
    const timeval idle{kIdleSeconds, 0};
    bufferevent_set_timeouts(evhttp_connection_get_bufferevent(channel_), &idle, &idle);
    evhttp_connection_set_closecb(channel_, nullptr, nullptr);
    channel_ = nullptr;
  }
  void putHeaders(const HeaderMap& headers) {
    evkeyvalq* out = evhttp_request_get_output_headers(request_);
    for (const auto& [name, value] : headers) evhttp_add_header(out, name.c_str(), value.c_str());
    if (!headers.contains("content-type")) evhttp_add_header(out, "content-type", "application/json");
  }
  evhttp_request* request_;
  evhttp_connection* channel_ = nullptr;
  bool begun_ = false;
  bool gone_ = false;
};

void copyPairs(const evkeyvalq* pairs, HeaderMap& out) {
  for (const evkeyval* pair = pairs->tqh_first; pair != nullptr; pair = pair->next.tqe_next)
    out[absl::AsciiStrToLower(pair->key)] = pair->value;
}
}  // namespace

HttpInEv::~HttpInEv() {
  if (server_ != nullptr) evhttp_free(server_);
}

bool HttpInEv::listen() {
  server_ = evhttp_new(loop_.base());
  evhttp_set_max_headers_size(server_, kHeaderBound);
  evhttp_set_max_body_size(server_, kBodyBound);
  evhttp_set_allowed_methods(server_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                                          EVHTTP_REQ_PATCH);
  evhttp_set_timeout(server_, kIdleSeconds);
  evhttp_set_gencb(server_, &HttpInEv::onAsk, this);
  return evhttp_bind_socket(server_, ipText(self_).c_str(), self_.port) == 0;
}

void HttpInEv::onAsk(evhttp_request* request, void* given) {
  HttpInEv& self = *static_cast<HttpInEv*>(given);
  HttpAsk ask;
  ask.method = methodText(evhttp_request_get_command(request));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = uri != nullptr ? evhttp_uri_get_path(uri) : nullptr;
  ask.path = path != nullptr && *path != '\0' ? path : "/";
  const char* query = uri != nullptr ? evhttp_uri_get_query(uri) : nullptr;
  if (query != nullptr) {
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(query, &pairs) == 0) copyPairs(&pairs, ask.query);
    evhttp_clear_headers(&pairs);
  }
  copyPairs(evhttp_request_get_input_headers(request), ask.headers);
  evbuffer* input = evhttp_request_get_input_buffer(request);
  ask.body.resize(evbuffer_get_length(input));
  evbuffer_remove(input, ask.body.data(), ask.body.size());
  self.asked.emit(ask, std::make_shared<ReplyEv>(request));
}

}  // namespace stonemount
