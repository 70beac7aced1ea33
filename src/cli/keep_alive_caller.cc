#include "cli/keep_alive_caller.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>

namespace stonemount {

namespace {
// Sent so shortly before a close, a request may have crossed it, also on a busy machine. A stream that was begun has
// not.
constexpr Us kCrossingUs = 400 * kMilliUs;
constexpr Us kReconnectUs = 100 * kMilliUs;
constexpr Us kAnswersUs = 15 * kSecondUs;  // that are waited for at the end
constexpr int kPollMs = 5;
constexpr std::size_t kMostPipelined = 3;

Us nowUs() { return absl::ToUnixMicros(absl::Now()); }

// How much of the buffer the first answer takes.
struct ParsedAnswer {
  std::size_t bytes = 0;  // 0: it has not come whole
  int status = 0;
  bool closes = false;
  bool malformed = false;
};

std::size_t chunkedEnd(std::string_view bytes, std::size_t at, bool& malformed) {
  while (true) {
    const std::size_t lineEnd = bytes.find("\r\n", at);
    if (lineEnd == std::string_view::npos) return 0;
    std::uint32_t length = 0;
    if (!absl::SimpleHexAtoi(std::string(bytes.substr(at, lineEnd - at)), &length)) {
      malformed = true;
      return 0;
    }
    at = lineEnd + 2 + length + 2;
    if (at > bytes.size()) return 0;
    if (length == 0) return at;
  }
}

ParsedAnswer parseAnswer(std::string_view bytes) {
  ParsedAnswer answer;
  const std::size_t headEnd = bytes.find("\r\n\r\n");
  if (headEnd == std::string_view::npos) return answer;
  const std::string head = absl::AsciiStrToLower(std::string(bytes.substr(0, headEnd + 2)));
  answer.malformed = !absl::StartsWith(head, "http/1.1 ") || !absl::SimpleAtoi(head.substr(9, 3), &answer.status);
  answer.closes = absl::StrContains(head, "\r\nconnection: close\r\n");
  const std::size_t bodyAt = headEnd + 4;
  if (absl::StrContains(head, "\r\ntransfer-encoding: chunked\r\n")) {
    answer.bytes = chunkedEnd(bytes, bodyAt, answer.malformed);
    return answer;
  }
  constexpr std::string_view kLength = "\r\ncontent-length: ";
  const std::size_t lengthAt = head.find(kLength);
  std::uint32_t length = 0;
  if (lengthAt != std::string::npos) {
    const std::size_t from = lengthAt + kLength.size();
    answer.malformed |= !absl::SimpleAtoi(head.substr(from, head.find("\r\n", from) - from), &length);
  }
  if (bodyAt + length <= bytes.size()) answer.bytes = bodyAt + length;
  return answer;
}

class Connection {
 public:
  Connection(const Address& node, KeepAliveCounts& counts, std::FILE* record, std::uint64_t seed)
      : node_(node), counts_(counts), record_(record), random_(seed) {}
  Connection(const Connection&) = delete;
  Connection(Connection&&) = delete;
  ~Connection() { drop(); }
  int handle() const { return handle_; }
  bool idle() const { return sentUs_.empty(); }
  // Connects if it is closed, asks if nothing is unanswered.
  void step(bool mayAsk) {
    if (!mayAsk || !idle() || nowUs() < nextUs_) return;
    if (handle_ < 0 && !connectNow()) return;
    ask();
  }
  void readable() {
    char buffer[16384];
    const ssize_t got = recv(handle_, buffer, sizeof(buffer), 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (got <= 0) return ended();
    unread_.append(buffer, static_cast<std::size_t>(got));
    while (!unread_.empty() && takeAnswer()) {
    }
  }

 private:
  bool connectNow() {
    nextUs_ = nowUs() + kReconnectUs;
    handle_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(node_.port);
    to.sin_addr.s_addr = htonl(node_.ip);
    if (connect(handle_, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
      drop();
      return false;
    }
    fcntl(handle_, F_SETFL, fcntl(handle_, F_GETFL) | O_NONBLOCK);
    ++counts_.connects;
    return true;
  }
  std::string lookup() {
    return absl::StrCat("GET /v1/lookups/card?key=keepalive%20", random_() % 1000,
                        " HTTP/1.1\r\nHost: soak\r\nx-limit-us: 4000000\r\n\r\n");
  }
  std::string stream() {
    const std::string body = absl::StrCat(R"({"prompt":"keepalive )", random_() % 1000, R"("})");
    return absl::StrCat("POST /v1/streams/digest HTTP/1.1\r\nHost: soak\r\nx-limit-us: 4000000\r\nContent-Length: ",
                        body.size(), "\r\n\r\n", body);
  }
  // A stream, a lookup, or some lookups at once.
  void ask() {
    const std::uint64_t kind = random_() % 4;
    const std::size_t count = kind == 0 ? kMostPipelined : 1;
    std::string text = kind == 1 ? stream() : lookup();
    for (std::size_t i = 1; i < count; ++i) text += lookup();
    if (send(handle_, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) return ended();
    sentUs_.insert(sentUs_.end(), count, nowUs());
    counts_.sent += count;
    nextUs_ = nowUs() + static_cast<Us>(random_() % 20000);
  }
  bool takeAnswer() {
    const ParsedAnswer answer = parseAnswer(unread_);
    if (answer.malformed || (answer.bytes > 0 && sentUs_.empty())) {
      ++counts_.malformed;
      std::fprintf(record_, "{\"malformed\":\"%s\",\"atUs\":%lld}\n", addressText(node_).c_str(),
                   static_cast<long long>(nowUs()));
      std::fflush(record_);
      drop();
      return false;
    }
    if (answer.bytes == 0) return false;
    unread_.erase(0, answer.bytes);
    sentUs_.pop_front();
    ++counts_.byStatus[answer.status];
    if (!answer.closes) return true;
    ++counts_.closesAnnounced;
    counts_.crossed += sentUs_.size();  // what was sent behind it is not answered on this connection
    sentUs_.clear();
    drop();
    return false;
  }
  void ended() {
    const Us atUs = nowUs();
    const bool withinAnswer = !unread_.empty();
    for (const Us sentUs : sentUs_) {
      const bool cut = withinAnswer || atUs - sentUs > kCrossingUs;
      ++(cut ? counts_.cut : counts_.crossed);
      if (!cut) continue;
      std::fprintf(record_, "{\"cut\":\"%s\",\"sentUs\":%lld,\"atUs\":%lld,\"withinAnswer\":%s}\n",
                   addressText(node_).c_str(), static_cast<long long>(sentUs), static_cast<long long>(atUs),
                   withinAnswer ? "true" : "false");
      std::fflush(record_);
    }
    drop();
  }
  void drop() {
    if (handle_ >= 0) close(handle_);
    handle_ = -1;
    sentUs_.clear();
    unread_.clear();
  }
  Address node_;
  KeepAliveCounts& counts_;
  std::FILE* record_;
  std::mt19937_64 random_;
  int handle_ = -1;
  std::deque<Us> sentUs_;  // of the requests that are not answered
  std::string unread_;
  Us nextUs_ = 0;
};
}  // namespace

KeepAliveCounts callKeepingAlive(const KeepAlivePlan& plan) {
  KeepAliveCounts counts;
  std::FILE* record = std::fopen(plan.record.empty() ? "/dev/null" : plan.record.c_str(), "a");
  if (record == nullptr) return counts;
  {
    std::vector<std::unique_ptr<Connection>> connections;
    for (const Address& node : plan.nodes)
      for (int i = 0; i < plan.connections; ++i)
        connections.push_back(std::make_unique<Connection>(node, counts, record, plan.seed + connections.size()));
    const Us untilUs = nowUs() + plan.lengthUs;
    bool open = true;
    while (nowUs() < untilUs || (open && nowUs() < untilUs + kAnswersUs)) {
      std::vector<pollfd> polls;
      std::vector<Connection*> polled;
      open = false;
      for (const auto& connection : connections) {
        connection->step(nowUs() < untilUs);
        open |= !connection->idle();
        if (connection->handle() < 0) continue;
        polls.push_back({connection->handle(), POLLIN, 0});
        polled.push_back(connection.get());
      }
      poll(polls.data(), polls.size(), kPollMs);
      for (std::size_t i = 0; i < polls.size(); ++i)
        if (polls[i].revents != 0 && polled[i]->handle() == polls[i].fd) polled[i]->readable();
    }
  }
  std::fclose(record);
  return counts;
}

}  // namespace stonemount
