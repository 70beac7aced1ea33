// The one common header: units, addresses, continuations and the ports that every package uses.
// design.md 2 (layout), 3 (ports).
#pragma once

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <sigc++/sigc++.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace stonemount {

using Us = std::int64_t;  // whole microseconds, everywhere (design.md 1)
using Bytes = std::string;
using Revision = std::uint64_t;

constexpr Us kMilliUs = 1000;
constexpr Us kSecondUs = 1000 * kMilliUs;

template <class... Kinds>
struct Visitor : Kinds... {
  using Kinds::operator()...;
};

// An IP number and a port. Names are never resolved (design.md 3.2).
struct Address {
  std::uint32_t ip = 0;
  std::uint16_t port = 0;
  bool set() const { return port != 0; }
  friend bool operator==(const Address&, const Address&) = default;
  friend auto operator<=>(const Address&, const Address&) = default;
  template <class H>
  friend H AbslHashValue(H hash, const Address& address) {
    return H::combine(std::move(hash), address.ip, address.port);
  }
  template <class Archive>
  void serialize(Archive& archive) {
    archive(ip, port);
  }
};
std::string addressText(const Address& address);
struct BadAddress {};
std::variant<Address, BadAddress> parseAddress(std::string_view text);

// A named continuation: what happens next, owned by whoever waits (design.md 3.1).
class Continuation {
 public:
  Continuation() = default;
  Continuation(const Continuation&) = delete;
  Continuation& operator=(const Continuation&) = delete;
  virtual ~Continuation() = default;
  virtual void proceed() = 0;
  std::uint64_t timerKey = 0;  // kept by the alarm port while armed
  Us timerDueUs = 0;
};

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Us monoUs() const = 0;  // since some fixed point; never steps
  virtual Us wallUs() const = 0;  // may step; nothing expires by it (design.md 8)
};

class Timers {
 public:
  virtual ~Timers() = default;
  virtual void arm(Us delayUs, Continuation& continuation) = 0;
  virtual void disarm(Continuation& continuation) = 0;
};

// Frames between the system's own processes: ordered per channel, may be lost, never altered.
class Wire {
 public:
  virtual ~Wire() = default;
  virtual Address self() const = 0;
  virtual void post(const Address& peer, Bytes frame) = 0;
  sigc::signal<void(const Address&, const Bytes&)> heard;
  // Its machine says that no process listens there: what was sent and not answered will not be.
  sigc::signal<void(const Address&)> refused;
};

// A ring of preallocated files. Writes last only once a later sync has completed (design.md 5).
struct DiskFailure {};
class SyncDone : public Continuation {
 public:
  bool failed = false;
};
class Disk {
 public:
  virtual ~Disk() = default;
  virtual std::size_t fileCount() const = 0;
  virtual std::size_t fileBytes() const = 0;
  virtual std::variant<Bytes, DiskFailure> read(std::size_t file) = 0;
  // The first bytes of a file; a disk that can do no better reads all of it.
  virtual std::variant<Bytes, DiskFailure> readHead(std::size_t file, std::size_t bytes) {
    std::variant<Bytes, DiskFailure> whole = read(file);
    if (auto* all = std::get_if<Bytes>(&whole)) all->resize(std::min(all->size(), bytes));
    return whole;
  }
  virtual void write(std::size_t file, std::size_t offset, Bytes bytes) = 0;
  // One at a time. A sync that failed has made nothing last, and the disk keeps all that was handed to it: the
  // next sync writes it again (design.md 5.3).
  virtual void sync(SyncDone& done) = 0;
  virtual void forget(SyncDone& done) = 0;
};

using HeaderMap = absl::btree_map<std::string, std::string>;  // lower-case names
struct HttpAsk {
  std::string method;
  std::string path;
  HeaderMap query;
  HeaderMap headers;  // of one that came more than once, the values are joined by ", "
  Bytes body;
  std::string target;  // path and query as they came, byte for byte; when sent and not empty, it stands over both
};

// What a server lets its callers do (design.md 3.2).
struct HttpLimits {
  std::size_t headerBytes = 256 << 10;
  std::size_t bodyBytes = 64 << 20;
  Us idleUs = 120 * kSecondUs;  // of a channel with no request on it
};

// The way back to a caller. `gone` fires once if the caller goes away first.
class HttpReply {
 public:
  virtual ~HttpReply() = default;
  virtual void begin(int status, const HeaderMap& headers) = 0;
  virtual void chunk(const Bytes& bytes) = 0;
  virtual void end() = 0;
  virtual void whole(int status, const HeaderMap& headers, const Bytes& body) = 0;
  virtual std::size_t backlogBytes() const = 0;
  // Closes the channel at once: what was begun must not look complete.
  virtual void abort() { end(); }
  sigc::signal<void()> gone;
};
using ReplyPtr = std::shared_ptr<HttpReply>;

class HttpIn {
 public:
  virtual ~HttpIn() = default;
  virtual void setLimits(const HttpLimits&) {}
  virtual void setClosing() {}  // from now on every answer closes its channel
  sigc::signal<void(const HttpAsk&, ReplyPtr)> asked;
};

struct HttpHead {
  int status = 0;
  HeaderMap headers;
};
struct HttpData {
  Bytes bytes;
};
struct HttpEnd {};
struct HttpBroken {
  bool provenUnsent = false;  // not one byte of the ask left this process
  bool reused = false;        // the channel had served another request before
};
using HttpPiece = std::variant<HttpHead, HttpData, HttpEnd, HttpBroken>;

// One exchange with a server. Destroying it closes its channel.
class HttpFlow {
 public:
  virtual ~HttpFlow() = default;
  sigc::signal<void(HttpPiece)> piece;
  sigc::signal<void()> connected;  // its new channel is open; a kept one does not say so
};
// How a channel to a server is come by. Kept ones wait for the next request until the server's own
// Keep-Alive time, less a margin, or until it says that it closes.
struct HttpVia {
  bool keep = false;     // may ride on a kept channel, and leaves its own behind
  bool fresh = false;    // must not ride on one that was used before
  std::size_t most = 0;  // channels to that server, kept ones too; 0: as the port is set
  Us mostIdleUs = 0;     // a kept channel waits no longer for its next request; 0: as long as the server allows
  std::string echoName;  // the answer must repeat this header with this value, or it is another request's
  std::string echoValue;
};
class HttpOut {
 public:
  virtual ~HttpOut() = default;
  virtual std::unique_ptr<HttpFlow> open(const Address& server, const HttpAsk& ask) = 0;
  virtual std::unique_ptr<HttpFlow> open(const Address& server, const HttpAsk& ask, const HttpVia&) {
    return open(server, ask);
  }
  virtual void closeKept(const Address&) {}  // the server is gone, or another has its address
};

class Chance {
 public:
  explicit Chance(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next();
  std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }
  bool oneIn(std::uint64_t odds) { return below(odds) == 0; }

 private:
  std::uint64_t state_;
};

// Everything a process touches outside itself.
struct Ports {
  Clock& clock;
  Timers& timers;
  Wire& wire;
  HttpIn& httpIn;
  HttpOut& httpOut;
  Disk* disk;  // absent on machines without one
  Chance& chance;
};

// One key=value line per event (design.md 12).
struct LogPair {
  std::string_view key;
  std::string value;
};
void logEvent(std::string_view event, std::initializer_list<LogPair> pairs);
void logDoubt(std::string_view event, std::initializer_list<LogPair> pairs);

class LogSink {
 public:
  virtual ~LogSink() = default;
  virtual void line(bool doubt, const std::string& text) = 0;
};
void setLogSink(LogSink* sink);

std::uint32_t checksum(std::string_view bytes, std::uint32_t start = 0);
std::uint64_t spread(std::string_view bytes, std::uint64_t seed = 0);  // stable 64-bit hash
std::string hexText(std::uint64_t value);

// Invariants live in the code and stop the process (or fail the run) when broken.
[[noreturn]] void invariantBroken(const char* what, const char* file, int line);
#define STONEMOUNT_INVARIANT(condition)                                              \
  do {                                                                               \
    if (!(condition)) ::stonemount::invariantBroken(#condition, __FILE__, __LINE__); \
  } while (false)

}  // namespace stonemount
