#include "adapters/http_channels.h"

#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "adapters/socket_address.h"

namespace stonemount {

namespace {
constexpr int kIdleSeconds =
    3700;  // more than any route's limit: a silent worker is no dead worker; limits are the proxy's
constexpr std::size_t kHeaderBound = 256 << 10;
constexpr Us kSweepUs = 250 * kMilliUs;  // one timer for all kept channels; none is ridden on past its time
}  // namespace

HttpChannel::HttpChannel(HttpChannels& channels, Loop& loop, const Address& server)
    : channels_(channels), server_(server) {
  bufferevent* channel = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
  output_ = bufferevent_get_output(channel);
  watch_ = evbuffer_add_cb(output_, &HttpChannel::onOutput, this);
  connection_ =
      evhttp_connection_base_bufferevent_new(loop.base(), nullptr, channel, ipText(server).c_str(), server.port);
  evhttp_connection_set_family(connection_, AF_INET);
  evhttp_connection_set_timeout(connection_, kIdleSeconds);
  evhttp_connection_set_max_headers_size(connection_, kHeaderBound);
  evhttp_connection_set_closecb(connection_, &HttpChannel::onClose, this);
}

// Bytes that the server has not confirmed would be sent on after an ordinary close, for as long as its machine is cut
// off: a request that was given up would reach it long after. A reset takes them back.
void HttpChannel::takeBackUnconfirmed() {
  const linger none{1, 0};
  const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
  if (socket >= 0) setsockopt(socket, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
}

HttpChannel::~HttpChannel() {
  if (rider_ != nullptr) takeBackUnconfirmed();
  evhttp_connection_set_closecb(connection_, nullptr, nullptr);
  evbuffer_remove_cb_entry(output_, watch_);
  evhttp_connection_free(connection_);
  channels_.left(server_);
}

void HttpChannel::board(HttpRider& rider, const std::string& name) {
  rider_ = &rider;
  anySent_ = false;
  if (name.empty()) return;
  carried_.push_back(spread(name));
  if (carried_.size() > kCarried) carried_.pop_front();
}

bool HttpChannel::carried(const std::string& name) const {
  return !name.empty() && std::find(carried_.begin(), carried_.end(), spread(name)) != carried_.end();
}

bool HttpChannel::surplus() const {
  return evbuffer_get_length(bufferevent_get_input(evhttp_connection_get_bufferevent(connection_))) != 0;
}

bool HttpChannel::silent() const {
  const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_));
  char byte = 0;
  return recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void HttpChannel::onOutput(evbuffer*, const evbuffer_cb_info* info, void* given) {
  HttpChannel& self = *static_cast<HttpChannel*>(given);
  // What evhttp throws away as it closes was not sent.
  if (info->n_deleted > 0 && !self.closing_) self.anySent_ = true;
  if (info->n_added == 0 || self.connected_) return;
  self.connected_ = true;  // evhttp writes out a request only once it is connected
  const int on = 1;
  setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(self.connection_)), IPPROTO_TCP, TCP_NODELAY, &on,
             sizeof(on));
  if (self.rider_ != nullptr) self.rider_->opened();
}

void HttpChannel::onClose(evhttp_connection*, void* given) {
  HttpChannel& self = *static_cast<HttpChannel*>(given);
  self.closing_ = true;
  if (self.rider_ == nullptr) self.channels_.lost(self);
}

HttpChannels::~HttpChannels() {
  loop_.disarm(*this);
  for (auto& [address, server] : servers_) {
    const std::vector<HttpChannelPtr> closing = std::move(server.kept);
    server.open += closing.size();  // so that none of them removes the entry under us
  }
  const std::vector<HttpChannelPtr> closing = std::move(buried_);
}

HttpChannelPtr HttpChannels::takeKept(Server& of, const std::string& name) {
  const Us nowUs = loop_.monoUs();
  for (std::size_t i = of.kept.size(); i > 0; --i) {
    if (of.kept[i - 1]->carried(name)) continue;  // it stays, for others
    HttpChannelPtr channel = std::move(of.kept[i - 1]);
    of.kept.erase(of.kept.begin() + static_cast<std::ptrdiff_t>(i - 1));
    if (channel->idleUntilUs_ > nowUs && channel->silent()) return channel;
  }
  return nullptr;
}

HttpChannelPtr HttpChannels::take(const Address& server, const HttpVia& via, std::size_t most) {
  Server& of = servers_[server];
  ++of.open;  // the one to come; the entry stays, whatever is closed here
  if (via.keep && !via.fresh) {
    HttpChannelPtr channel = takeKept(of, via.echoValue);
    if (channel != nullptr) {
      --of.open;
      ++reused;
      return channel;
    }
  }
  while (most != 0 && of.open > most && !of.kept.empty()) of.kept.erase(of.kept.begin());  // they make room
  if (most != 0 && of.open > most) {
    left(server);
    return nullptr;
  }
  ++opened;
  auto channel = std::make_unique<HttpChannel>(*this, loop_, server);
  channel->tenancy_ = of.tenancy;
  return channel;
}

void HttpChannels::keep(HttpChannelPtr channel, Us idleUs) {
  Server& of = servers_[channel->server()];
  channel->rider_ = nullptr;
  channel->served_ = true;
  channel->idleUntilUs_ = loop_.monoUs() + idleUs;
  const bool mayStay = channel->tenancy_ == of.tenancy && idleUs > 0;
  (mayStay ? of.kept : buried_).push_back(std::move(channel));
  if (timerKey == 0) loop_.arm(kSweepUs, *this);
}

void HttpChannels::closeKept(const Address& server) {
  auto of = servers_.find(server);
  if (of == servers_.end()) return;
  ++of->second.tenancy;
  const std::vector<HttpChannelPtr> closing = std::move(of->second.kept);
  of->second.kept.clear();
}

void HttpChannels::lost(HttpChannel& channel) {
  Server& of = servers_[channel.server()];
  for (HttpChannelPtr& kept : of.kept) {
    if (kept.get() != &channel) continue;
    buried_.push_back(std::move(kept));
    std::swap(kept, of.kept.back());
    of.kept.pop_back();
    break;
  }
  loop_.disarm(*this);
  loop_.arm(0, *this);
}

void HttpChannels::left(const Address& server) {
  auto of = servers_.find(server);
  STONEMOUNT_INVARIANT(of != servers_.end() && of->second.open > 0);
  if (--of->second.open == 0) servers_.erase(of);
}

std::size_t HttpChannels::kept(const Address& server) const {
  auto of = servers_.find(server);
  return of == servers_.end() ? 0 : of->second.kept.size();
}

std::size_t HttpChannels::open(const Address& server) const {
  auto of = servers_.find(server);
  return of == servers_.end() ? 0 : of->second.open;
}

void HttpChannels::proceed() {
  const Us nowUs = loop_.monoUs();
  bool any = false;
  for (auto& [address, server] : servers_) {
    std::vector<HttpChannelPtr>& kept = server.kept;
    for (std::size_t i = 0; i < kept.size();) {
      if (kept[i]->idleUntilUs_ > nowUs) {
        ++i;
        continue;
      }
      buried_.push_back(std::move(kept[i]));
      kept.erase(kept.begin() + static_cast<std::ptrdiff_t>(i));
    }
    any = any || !kept.empty();
  }
  const std::vector<HttpChannelPtr> closing = std::exchange(buried_, {});
  if (any) loop_.arm(kSweepUs, *this);
}

}  // namespace stonemount
