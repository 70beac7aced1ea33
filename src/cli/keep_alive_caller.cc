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

#include "cli/record_file.h"

namespace stonemount {

namespace {
// Sent so shortly before a close, a request may have crossed it, also on a busy machine. A stream that was begun has
// not.
constexpr Us kCrossingUs = 400 * kMilliUs;
constexpr Us kReconnectUs = 100 * kMilliUs;
constexpr Us kAnswersUs = 15 * kSecondUs;  // that are waited for at the end
constexpr int kPollMs = 5;
constexpr std::size_t kMostPipelined = 3;
constexpr std::uint64_t kOddsSlow = 8;  // one request in so many is read slowly
constexpr std::size_t kSlowBytes = 48;
constexpr Us kSlowEveryUs = 10 * kMilliUs;
constexpr std::uint64_t kOddsLeaves = 16;  // one in so many: its caller leaves
constexpr Us kLeavesWithinUs = 120 * kMilliUs;

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
  Connection(const Address& node, KeepAliveCounts& counts, RecordFile& record, std::uint64_t seed)
      : node_(node), counts_(counts), record_(record), seed_(seed), random_(seed) {}
  Connection(const Connection&) = delete;
  Connection(Connection&&) = delete;
  ~Connection() { drop(); }
  int handle() const { return handle_; }
  bool idle() const { return sentUs_.empty(); }
  // A slow reader lets what has come lie for a while.
  bool reads() const { return handle_ >= 0 && nowUs() >= nextReadUs_; }
  // Leaves if it is to; connects if it is closed; asks if nothing is unanswered.
  void step(bool mayAsk) {
    if (!idle() && leaveAtUs_ > 0 && nowUs() >= leaveAtUs_) leave();
    if (!mayAsk || !idle() || nowUs() < nextUs_) return;
    if (handle_ < 0 && !connectNow()) return;
    ask();
  }
  void readable() {
    char buffer[16384];
    const ssize_t got = recv(handle_, buffer, slow_ ? kSlowBytes : sizeof(buffer), 0);
    nextReadUs_ = slow_ ? nowUs() + kSlowEveryUs : 0;
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
    return absl::StrCat("GET /v1/lookups/card?key=keepalive%20", seed_, "-", ++asked_,
                        " HTTP/1.1\r\nHost: soak\r\nx-limit-us: 4000000\r\n\r\n");
  }
  std::string stream() {
    const std::string body = absl::StrCat(R"({"prompt":"keepalive )", seed_, "-", ++asked_, R"("})");
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
    slow_ = random_() % kOddsSlow == 0;
    leaveAtUs_ = random_() % kOddsLeaves == 0 ? nowUs() + static_cast<Us>(random_() % kLeavesWithinUs) : 0;
    counts_.sent += count;
    nextUs_ = nowUs() + static_cast<Us>(random_() % 20000);
  }
  bool takeAnswer() {
    const ParsedAnswer answer = parseAnswer(unread_);
    if (answer.malformed || (answer.bytes > 0 && sentUs_.empty())) {
      ++counts_.malformed;
      record_.write(absl::StrCat(R"({"malformed":")", addressText(node_), R"(","atUs":)", nowUs(), "}"));
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
      record_.write(absl::StrCat(R"({"cut":")", addressText(node_), R"(","sentUs":)", sentUs, R"(,"atUs":)", atUs,
                                 R"(,"withinAnswer":)", withinAnswer ? "true" : "false", "}"));
    }
    drop();
  }
  void leave() {
    counts_.left += sentUs_.size();
    drop();
  }
  void drop() {
    if (handle_ >= 0) close(handle_);
    handle_ = -1;
    sentUs_.clear();
    unread_.clear();
    nextReadUs_ = 0;
  }
  Address node_;
  KeepAliveCounts& counts_;
  RecordFile& record_;
  std::uint64_t seed_;  // names its requests, with their number
  std::uint64_t asked_ = 0;
  std::mt19937_64 random_;
  int handle_ = -1;
  std::deque<Us> sentUs_;  // of the requests that are not answered
  std::string unread_;
  Us nextUs_ = 0;
  bool slow_ = false;  // reads the answers to what was sent last
  Us nextReadUs_ = 0;
  Us leaveAtUs_ = 0;  // 0: it stays
};
}  // namespace

KeepAliveCounts callKeepingAlive(const KeepAlivePlan& plan) {
  KeepAliveCounts counts;
  RecordFile record(plan.record);
  if (!record.open()) return counts;
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
      if (!connection->reads()) continue;
      polls.push_back({connection->handle(), POLLIN, 0});
      polled.push_back(connection.get());
    }
    poll(polls.data(), polls.size(), kPollMs);
    for (std::size_t i = 0; i < polls.size(); ++i)
      if (polls[i].revents != 0 && polled[i]->handle() == polls[i].fd) polled[i]->readable();
  }
  return counts;
}

}  // namespace stonemount
