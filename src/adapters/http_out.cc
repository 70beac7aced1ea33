#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

#include "adapters/http.h"
#include "adapters/http_channels.h"
#include "adapters/http_text.h"
#include "adapters/socket_address.h"

namespace stonemount {

namespace {
constexpr Us kUntoldIdleUs = 2500 * kMilliUs;  // of a server that names no Keep-Alive time
constexpr Us kIdleMarginUs = 500 * kMilliUs;   // a request that we send still meets an open channel

// How long a channel may wait, by the server's word; 0: not at all.
Us idleTime(const HeaderMap& headers) {
  const auto told = headers.find("keep-alive");
  if (told == headers.end()) return kUntoldIdleUs;
  const std::size_t at = told->second.find("timeout=");
  if (at == std::string::npos) return kUntoldIdleUs;
  const char* from = told->second.c_str() + at + 8;
  const Us toldUs = std::clamp<Us>(std::strtol(from, nullptr, 10), 0, 3600) * kSecondUs;
  return toldUs - std::min(kIdleMarginUs, toldUs / 2);
}

// Pieces are handed on through the alarm port, never from within evhttp's own call; all that came in
// one read are handed on at one wake.
class FlowEv : public HttpFlow, public HttpRider, public Continuation {
 public:
  class ConnectLimit : public Continuation {
   public:
    explicit ConnectLimit(FlowEv& flow) : flow_(flow) {}
    void proceed() override { flow_.connectLapsed(); }

   private:
    FlowEv& flow_;
  };
  FlowEv(Loop& loop, HttpChannels& channels, Us connectUs, const Address& server, const HttpAsk& ask,
         const HttpVia& via, std::size_t most)
      : loop_(loop), channels_(channels), via_(via), channel_(channels.take(server, via, most)) {
    if (channel_ == nullptr)
      put(HttpBroken{true, false});
    else
      send(server, ask, connectUs);
  }
  ~FlowEv() override {
    loop_.disarm(*this);
    loop_.disarm(connectLimit_);
    if (destroyed_ != nullptr) *destroyed_ = true;
  }
  void proceed() override {
    bool destroyed = false;
    destroyed_ = &destroyed;
    std::vector<HttpPiece> pieces;
    pieces.swap(pieces_);
    for (HttpPiece& next : pieces) {
      piece.emit(std::move(next));
      if (destroyed) return;
    }
    destroyed_ = nullptr;
  }

 private:
  void send(const Address& server, const HttpAsk& ask, Us connectUs) {
    channel_->board(*this, via_.echoValue);
    evhttp_request* request = evhttp_request_new(&FlowEv::onDone, this);
    evhttp_request_set_header_cb(request, &FlowEv::onHead);
    evhttp_request_set_chunked_cb(request, &FlowEv::onChunk);
    evhttp_request_set_error_cb(request, &FlowEv::onError);
    evkeyvalq* out = evhttp_request_get_output_headers(request);
    if (!ask.headers.contains("host")) evhttp_add_header(out, "host", addressText(server).c_str());
    if (!via_.keep) evhttp_add_header(out, "connection", "close");
    for (const auto& [name, value] : ask.headers)  // the framing is ours
      if (!httpFraming(name) && name != "content-length") evhttp_add_header(out, name.c_str(), value.c_str());
    const evhttp_cmd_type method = httpMethod(ask.method);
    if (!ask.body.empty() || (method & (EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_PATCH)) != 0)
      evhttp_add_header(out, "content-length", absl::StrCat(ask.body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), ask.body.data(), ask.body.size());
    if (evhttp_make_request(channel_->connection(), request, method, httpTarget(ask).c_str()) != 0)
      put(HttpBroken{true, false});
    if (!ended_ && !channel_->connected()) loop_.arm(connectUs, connectLimit_);
  }
  void opened() override {
    loop_.disarm(connectLimit_);
    connected.emit();
  }
  void connectLapsed() {
    if (ended_) return;
    channel_.reset();  // first, so that it stays unsent
    put(HttpBroken{true, false});
  }
  void put(HttpPiece next) {
    if (ended_) return;
    ended_ = std::holds_alternative<HttpEnd>(next) || std::holds_alternative<HttpBroken>(next);
    pieces_.push_back(std::move(next));
    if (timerKey == 0) loop_.arm(0, *this);
  }
  void broken() {
    loop_.disarm(connectLimit_);
    put(HttpBroken{!channel_->anySent(), channel_->served()});
  }
  void drain(evhttp_request* request) {
    evbuffer* input = evhttp_request_get_input_buffer(request);
    const std::size_t length = evbuffer_get_length(input);
    if (length == 0 || ended_) return;
    HttpData* last = pieces_.empty() ? nullptr : std::get_if<HttpData>(&pieces_.back());
    if (last == nullptr) {
      put(HttpData{});
      last = std::get_if<HttpData>(&pieces_.back());
    }
    const std::size_t before = last->bytes.size();
    last->bytes.resize(before + length);
    evbuffer_remove(input, last->bytes.data() + before, length);
  }
  // False: this is no answer to our request.
  bool headOf(evhttp_request* request, HttpHead& head) {
    head.status = evhttp_request_get_response_code(request);
    if (head.status < 200 || head.status > 599 || httpHeadsJoined(request)) return false;
    joinPairs(evhttp_request_get_input_headers(request), head.headers);
    if (!via_.echoName.empty()) {
      const auto echo = head.headers.find(via_.echoName);
      if (echo == head.headers.end() || echo->second != via_.echoValue) return false;
    }
    const auto length = head.headers.find("content-length");
    const auto coding = head.headers.find("transfer-encoding");
    std::uint64_t told = 0;
    if (coding != head.headers.end()) {
      framed_ = absl::EqualsIgnoreCase(coding->second, "chunked");
      if (length != head.headers.end()) head.headers.erase(length);  // the chunks are what counts
    } else if (length != head.headers.end()) {
      if (!absl::SimpleAtoi(length->second, &told)) return false;
      framed_ = true;
    } else {
      framed_ = head.status == 204 || head.status == 304;
    }
    const auto channelWord = head.headers.find("connection");
    const bool closes =
        channelWord != head.headers.end() && absl::StrContains(absl::AsciiStrToLower(channelWord->second), "close");
    const bool lasting = request->major > 1 || (request->major == 1 && request->minor >= 1);
    if (via_.keep && framed_ && lasting && !closes) idleUs_ = idleTime(head.headers);
    return true;
  }
  static int onHead(evhttp_request* request, void* given) {
    FlowEv& self = *static_cast<FlowEv*>(given);
    HttpHead head;
    const bool ours = self.headOf(request, head);
    if (ours)
      self.put(std::move(head));
    else
      self.put(HttpBroken{false, self.channel_->served()});
    self.headSeen_ = ours;
    return ours ? 0 : -1;  // evhttp then closes the channel
  }
  static void onChunk(evhttp_request* request, void* given) { static_cast<FlowEv*>(given)->drain(request); }
  static void onError(evhttp_request_error, void* given) { static_cast<FlowEv*>(given)->broken(); }
  static void onDone(evhttp_request* request, void* given) {
    FlowEv& self = *static_cast<FlowEv*>(given);
    // An answer without length or chunks ends with its channel: nobody can tell whether that was all.
    if (request == nullptr || !self.headSeen_ || !self.framed_) return self.broken();
    self.drain(request);
    self.put(HttpEnd{});
    const Us mostUs = self.via_.mostIdleUs;
    const Us idleUs = mostUs > 0 ? std::min(self.idleUs_, mostUs) : self.idleUs_;
    if (idleUs > 0 && !self.channel_->surplus()) self.channels_.keep(std::move(self.channel_), idleUs);
  }
  Loop& loop_;
  HttpChannels& channels_;
  HttpVia via_;
  HttpChannelPtr channel_;
  ConnectLimit connectLimit_{*this};
  std::vector<HttpPiece> pieces_;
  bool* destroyed_ = nullptr;
  Us idleUs_ = 0;  // 0: the channel is not to be kept
  bool headSeen_ = false;
  bool framed_ = false;
  bool ended_ = false;
};
}  // namespace

HttpOutEv::HttpOutEv(Loop& loop, Us connectUs)
    : loop_(loop), connectUs_(connectUs), channels_(std::make_unique<HttpChannels>(loop)) {}
HttpOutEv::~HttpOutEv() = default;

std::unique_ptr<HttpFlow> HttpOutEv::open(const Address& server, const HttpAsk& ask, const HttpVia& via) {
  const std::size_t most = via.most != 0 ? via.most : mostPerServer;
  return std::make_unique<FlowEv>(loop_, *channels_, connectUs_, server, ask, via, most);
}
void HttpOutEv::closeKept(const Address& server) { channels_->closeKept(server); }
std::uint64_t HttpOutEv::opened() const { return channels_->opened; }
std::uint64_t HttpOutEv::reused() const { return channels_->reused; }
std::size_t HttpOutEv::kept(const Address& server) const { return channels_->kept(server); }
std::size_t HttpOutEv::channels(const Address& server) const { return channels_->open(server); }

}  // namespace stonemount
