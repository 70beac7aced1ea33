#include "simulator/sim_http.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

class SimFlow;
class SimReply;

namespace {
constexpr Us kConnectUs = kSecondUs;
constexpr Us kHeldUs = 100 * kMilliUs;

// What both ends share. Either end may go first.
struct Channel {
  World& world;
  SimHost* client;
  SimHost* server;
  HttpVia via;
  SimFlow* flow = nullptr;
  SimReply* reply = nullptr;
  std::deque<HttpPiece> toClient;
  bool carrying = false;
  bool ended = false;
};
using ChannelPtr = std::shared_ptr<Channel>;
void carry(const ChannelPtr& channel, HttpPiece piece);
void tellGone(const ChannelPtr& channel);

bool isEcho(const HttpVia& via, const HttpPiece& piece) {
  auto* head = std::get_if<HttpHead>(&piece);
  if (head == nullptr || via.echoName.empty()) return true;
  const auto echo = head->headers.find(via.echoName);
  return echo != head->headers.end() && echo->second == via.echoValue;
}

std::string encoded(const std::string& text) {
  std::string out;
  for (const char letter : text) {
    const bool plain = absl::ascii_isalnum(static_cast<unsigned char>(letter)) ||
                       std::string_view("-._~").find(letter) != std::string_view::npos;
    if (plain)
      out += letter;
    else
      absl::StrAppend(&out, "%", absl::Hex(static_cast<unsigned char>(letter), absl::kZeroPad2));
  }
  return out;
}

std::string decoded(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool coded = text[i] == '%' && i + 2 < text.size();
    if (coded)
      out += static_cast<char>(std::strtol(std::string(text.substr(i + 1, 2)).c_str(), nullptr, 16));
    else
      out += text[i] == '+' ? ' ' : text[i];
    if (coded) i += 2;
  }
  return out;
}

// As a real server sees it: the target stands over path and query.
HttpAsk asReceived(HttpAsk ask) {
  if (ask.target.empty()) {
    ask.target = ask.path;
    for (const auto& [name, value] : ask.query)
      absl::StrAppend(&ask.target, ask.target.size() == ask.path.size() ? "?" : "&", encoded(name), "=",
                      encoded(value));
    return ask;
  }
  const std::string_view target = ask.target;
  const std::size_t mark = std::min(target.find('?'), target.size());
  ask.path = target.substr(0, mark);
  ask.query.clear();
  std::string_view rest = target.substr(std::min(mark + 1, target.size()));
  while (!rest.empty()) {
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(pair.size() + 1, rest.size()));
    const std::size_t even = std::min(pair.find('='), pair.size());
    if (even > 0) ask.query[decoded(pair.substr(0, even))] = decoded(pair.substr(std::min(even + 1, pair.size())));
  }
  return ask;
}
}  // namespace

class SimFlow : public HttpFlow {
 public:
  explicit SimFlow(ChannelPtr channel) : channel_(std::move(channel)) { channel_->flow = this; }
  ~SimFlow() override {
    channel_->flow = nullptr;
    tellGone(channel_);
  }

 private:
  ChannelPtr channel_;
};

class SimReply : public HttpReply {
 public:
  explicit SimReply(ChannelPtr channel) : channel_(std::move(channel)) { channel_->reply = this; }
  ~SimReply() override {
    channel_->reply = nullptr;
    if (!channel_->ended) carry(channel_, HttpBroken{false});
  }
  void begin(int status, const HeaderMap& headers) override { carry(channel_, HttpHead{status, headers}); }
  void chunk(const Bytes& bytes) override { carry(channel_, HttpData{bytes}); }
  void end() override { carry(channel_, HttpEnd{}); }
  void whole(int status, const HeaderMap& headers, const Bytes& body) override {
    begin(status, headers);
    chunk(body);
    end();
  }
  void abort() override { carry(channel_, HttpBroken{false}); }
  std::size_t backlogBytes() const override { return 0; }

 private:
  ChannelPtr channel_;
};

namespace {
class CarryEvent : public SimEvent {
 public:
  explicit CarryEvent(ChannelPtr channel) : channel_(std::move(channel)) {}
  void happen() override {
    Channel& channel = *channel_;
    if (channel.world.cut(*channel.server, *channel.client)) {  // sent again until the cut heals
      channel.world.schedule(channel.world.nowUs() + kHeldUs, channel.client, std::make_unique<CarryEvent>(channel_));
      return;
    }
    channel.carrying = false;
    HttpPiece piece = std::move(channel.toClient.front());
    channel.toClient.pop_front();
    if (!channel.toClient.empty()) {
      channel.carrying = true;
      channel.world.schedule(channel.world.nowUs(), channel.client, std::make_unique<CarryEvent>(channel_));
    }
    if (channel.flow != nullptr) channel.flow->piece.emit(std::move(piece));
  }

 private:
  ChannelPtr channel_;
};

class GoneEvent : public SimEvent {
 public:
  explicit GoneEvent(ChannelPtr channel) : channel_(std::move(channel)) {}
  void happen() override {
    if (channel_->world.cut(*channel_->client, *channel_->server)) {
      channel_->world.schedule(channel_->world.nowUs() + kHeldUs, channel_->server,
                               std::make_unique<GoneEvent>(channel_));
      return;
    }
    if (channel_->reply != nullptr) channel_->reply->gone.emit();
  }

 private:
  ChannelPtr channel_;
};

class AskEvent : public SimEvent {
 public:
  AskEvent(ChannelPtr channel, HttpAsk ask) : channel_(std::move(channel)), ask_(std::move(ask)) {}
  void happen() override {
    if (channel_->flow == nullptr) return;  // the client gave up before it was connected
    auto reply = std::make_shared<SimReply>(channel_);
    channel_->server->asked.emit(ask_, reply);
  }
  void lost() override { carry(channel_, HttpBroken{true}); }  // nobody listened: refused

 private:
  ChannelPtr channel_;
  HttpAsk ask_;
};

class UnsentEvent : public SimEvent {
 public:
  explicit UnsentEvent(ChannelPtr channel) : channel_(std::move(channel)) {}
  void happen() override {
    if (channel_->flow != nullptr) channel_->flow->piece.emit(HttpBroken{true});
  }

 private:
  ChannelPtr channel_;
};

void carry(const ChannelPtr& channel, HttpPiece piece) {
  if (channel->ended) return;
  const bool ours = isEcho(channel->via, piece);
  if (!ours) {  // nothing of it is handed on, and the channel is closed
    piece = HttpBroken{false};
    tellGone(channel);
  }
  channel->ended = std::holds_alternative<HttpEnd>(piece) || std::holds_alternative<HttpBroken>(piece);
  if (channel->flow == nullptr) return;
  auto* data = std::get_if<HttpData>(&piece);
  const Us carriageUs =
      channel->world.carriageUs(*channel->server, *channel->client, data != nullptr ? data->bytes.size() : 0);
  channel->toClient.push_back(std::move(piece));
  if (std::exchange(channel->carrying, true)) return;
  const Us atUs = channel->world.nowUs() + channel->world.latency(*channel->server, *channel->client) + carriageUs;
  channel->world.schedule(atUs, channel->client, std::make_unique<CarryEvent>(channel));
}

void tellGone(const ChannelPtr& channel) {
  if (channel->reply == nullptr || channel->ended) return;
  const Us atUs = channel->world.nowUs() + channel->world.latency(*channel->client, *channel->server);
  channel->world.schedule(atUs, channel->server, std::make_unique<GoneEvent>(channel));
}
}  // namespace

std::unique_ptr<HttpFlow> openSimFlow(World& world, SimHost& client, const Address& address, const HttpAsk& ask,
                                      const HttpVia& via) {
  SimHost* server = world.hostByHttp(address);
  auto channel = std::make_shared<Channel>(Channel{world, &client, server != nullptr ? server : &client, via});
  auto flow = std::make_unique<SimFlow>(channel);
  const bool cut = server != nullptr && (world.cut(client, *server) || world.cut(*server, client));
  if (server == nullptr || !server->up() || cut) {
    const Us waitUs = cut ? kConnectUs : 2 * world.latency(client, *channel->server);
    world.schedule(world.nowUs() + waitUs, &client, std::make_unique<UnsentEvent>(channel));
    return flow;
  }
  const Us atUs = world.nowUs() + 3 * world.latency(client, *server);
  world.schedule(atUs, server, std::make_unique<AskEvent>(channel, asReceived(ask)));
  return flow;
}

}  // namespace stonemount
