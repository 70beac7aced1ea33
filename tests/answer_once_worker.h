// A raw worker that does by seed whatever a worker in trouble may do on its connections: it closes, resets, half
// closes, cuts bytes anywhere, answers late, twice, in another's name, too little, with garbage, forgets what it
// keeps, and has its address given to another. It writes down what it ran and what it said (design.md 9.4, 9.6).
#pragma once

#include <absl/strings/str_cat.h>
#include <sys/socket.h>
#include <unistd.h>

#include "adapters/socket_address.h"

namespace stonemount {

// One end of a connection, polled: whatever came, and what waits to be sent in slices.
class PolledEnd {
 public:
  explicit PolledEnd(int socket) : socket_(socket) {}
  ~PolledEnd() { close(); }
  PolledEnd(const PolledEnd&) = delete;
  PolledEnd& operator=(const PolledEnd&) = delete;
  void close() {
    if (socket_ >= 0) ::close(std::exchange(socket_, -1));
  }
  void reset() {
    const linger hard{1, 0};
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    close();
  }
  void halfClose() { shutdown(socket_, SHUT_WR); }
  bool open() const { return socket_ >= 0; }
  void hear() {
    char buffer[16384];
    while (open() && !gone) {
      const ssize_t got = recv(socket_, buffer, sizeof(buffer), MSG_DONTWAIT);
      if (got > 0) heard.append(buffer, static_cast<std::size_t>(got));
      if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) return;
      if (got <= 0) gone = true;
    }
  }
  // Some of what waits: up to a random place.
  void speak(Chance& chance) {
    if (!open() || toSay.empty()) return;
    const std::size_t most = chance.oneIn(3) ? 1 + chance.below(9) : toSay.size();
    const ssize_t put = send(socket_, toSay.data(), std::min(most, toSay.size()), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (put > 0) toSay.erase(0, static_cast<std::size_t>(put));
    if (put < 0 && errno != EAGAIN && errno != EWOULDBLOCK) toSay.clear();
  }
  std::string heard, toSay;
  bool gone = false;

 private:
  int socket_;
};

// A request that a worker got, whole or in part.
struct WorkerRun {
  std::string id, seal, body;
  std::vector<std::string> data;  // of its events
  std::uint64_t after = 0;        // the event that it was asked to go on after
  int status = 0;                 // that it gave, if it did
  bool mayHaveRun = true;
  bool named = false;  // it was told whom the request is for
};

enum class WorkerDeed : std::uint8_t {
  kWhole,
  kFail,
  kDecline,
  kBareRefusal,
  kRefuse,
  kOtherName,
  kGarbage,
  kCutShort,
  kEndEarly,
  kSilent,
  kBreakUnanswered,
  kGap,
  kEndInside,
  kCount
};

class RawWorker {
 public:
  RawWorker(Chance& chance, std::vector<WorkerRun>& runs);
  ~RawWorker() { ::close(listener_); }
  void step();
  void changeLife() { life = absl::StrCat(life, "+"); }  // another has the address; what was open may stay
  Address address;
  std::string life = "life";
  std::vector<std::string> said;  // whole answers, to be sent once more

 private:
  enum class After : std::uint8_t { kKeep, kClose, kReset, kHalfClose };
  struct Line {
    explicit Line(int socket) : end(socket) {}
    PolledEnd end;
    std::string before;  // said ahead of the next answer
    std::size_t waits = 0;
    After after = After::kKeep;
    bool forgotten = false, busy = false;
  };
  void take(Line& line);
  void answer(Line& line, WorkerRun& run, WorkerDeed deed, bool events);
  std::string bodyOf(WorkerRun& run, std::size_t number, bool events, WorkerDeed deed);
  std::string framed(const std::string& head, const std::string& body, WorkerDeed deed);
  std::string surplus();
  Chance& chance_;
  std::vector<WorkerRun>& runs_;
  int listener_;
  bool full_ = false;  // lets nobody in
  std::vector<std::unique_ptr<Line>> lines_;
};

inline std::string headerIn(const std::string& text, const std::string& name) {
  const std::size_t at = text.find("\r\n" + name + ": ");
  if (at == std::string::npos) return "";
  const std::size_t from = at + name.size() + 4;
  return text.substr(from, text.find("\r\n", from) - from);
}

}  // namespace stonemount
