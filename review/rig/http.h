// HTTP/1.1 over plain sockets, one thread for each connection, and the record of a case.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();
inline double now() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void sleepS(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

inline std::string text(const char* format, ...) {
  char buffer[4096];
  va_list list;
  va_start(list, format);
  vsnprintf(buffer, sizeof buffer, format, list);
  va_end(list);
  return buffer;
}

// What was sent, answered and run, one line each.
class Record {
 public:
  void open(const std::string& path) { file_ = fopen(path.c_str(), "w"); }
  void line(const std::string& what) {
    std::lock_guard<std::mutex> lock(mutex_);
    if (file_ == nullptr) return;
    fprintf(file_, "%8.3f %s\n", now(), what.c_str());
    fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};
inline Record record;

struct Message {  // a request or an answer
  std::string first;
  std::map<std::string, std::string> headers;  // lower-case names
  std::string body;
  int status = 0;         // of an answer
  bool complete = false;  // an answer that came to its proper end
  std::string header(const std::string& name) const {
    auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

class Stream {
 public:
  explicit Stream(int socket) : socket_(socket) {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Stream() { close(socket_); }
  Stream(const Stream&) = delete;
  void setUntil(double until) { until_ = until; }
  bool write(const std::string& bytes) {
    for (std::size_t at = 0; at < bytes.size();) {
      const ssize_t sent = send(socket_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (sent <= 0) return false;
      at += static_cast<std::size_t>(sent);
    }
    return true;
  }
  bool fill() {
    pollfd wait{socket_, POLLIN, 0};
    const double left = until_ - now();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
    char buffer[65536];
    const ssize_t got = recv(socket_, buffer, sizeof buffer, 0);
    if (got <= 0) return false;
    held_.append(buffer, static_cast<std::size_t>(got));
    return true;
  }
  bool line(std::string& out) {
    std::size_t end;
    while ((end = held_.find("\r\n")) == std::string::npos)
      if (!fill()) return false;
    out = held_.substr(0, end);
    held_.erase(0, end + 2);
    return true;
  }
  bool bytes(std::size_t count, std::string& out) {
    while (held_.size() < count) {
      if (!fill()) {
        out += held_;
        held_.clear();
        return false;
      }
    }
    out += held_.substr(0, count);
    held_.erase(0, count);
    return true;
  }
  bool head(Message& message) {
    if (!line(message.first)) return false;
    std::string one;
    while (line(one) && !one.empty()) {
      const std::size_t colon = one.find(':');
      if (colon == std::string::npos) continue;
      std::string name = one.substr(0, colon), value = one.substr(colon + 1);
      for (char& letter : name) letter = static_cast<char>(tolower(letter));
      while (!value.empty() && value.front() == ' ') value.erase(0, 1);
      message.headers[name] = value;
    }
    return one.empty();
  }
  // By length or in chunks. False: it broke off.
  bool body(Message& message) {
    if (message.header("transfer-encoding") == "chunked") {
      while (true) {
        std::string size, rest;
        if (!line(size) || size.empty() || !isxdigit(static_cast<unsigned char>(size[0]))) return false;
        const std::size_t count = strtoul(size.c_str(), nullptr, 16);
        if (!bytes(count, message.body) || !line(rest)) return false;
        if (count == 0) return true;
      }
    }
    return bytes(strtoul(message.header("content-length").c_str(), nullptr, 10), message.body);
  }

 private:
  int socket_;
  double until_ = 1e9;
  std::string held_;
};

inline sockaddr_in where(const std::string& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  const std::size_t colon = address.find(':');
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port = htons(static_cast<uint16_t>(atoi(address.c_str() + colon + 1)));
  return out;
}

using Headers = std::map<std::string, std::string>;
// One call on a connection of its own. Status 0: no answer.
inline Message call(const std::string& address, const std::string& method, const std::string& path,
                    const Headers& headers, const std::string& body, double timeout) {
  Message answer;
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  Stream stream(socket);
  stream.setUntil(now() + timeout);
  const sockaddr_in to = where(address);
  if (connect(socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) return answer;
  std::string out = method + " " + path + " HTTP/1.1\r\n";
  if (!headers.contains("Host")) out += "Host: a.example\r\n";
  for (const auto& [name, value] : headers) out += name + ": " + value + "\r\n";
  if (method != "GET" || !body.empty()) out += text("Content-Length: %zu\r\n", body.size());
  if (!stream.write(out + "\r\n" + body) || !stream.head(answer)) return answer;
  answer.status = answer.first.size() > 9 ? atoi(answer.first.c_str() + 9) : 0;
  answer.complete = stream.body(answer);
  return answer;
}

// Listens for the life of the process; `serve` has one connection.
inline void listenOn(const std::string& address, std::function<void(Stream&)> serve) {
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in at = where(address);
  if (bind(socket, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(socket, 512) != 0) {
    fprintf(stderr, "cannot listen on %s\n", address.c_str());
    exit(2);
  }
  std::thread([socket, serve] {
    while (true) {
      const int one = accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (one < 0) continue;
      std::thread([one, serve] {
        Stream stream(one);
        serve(stream);
      }).detach();
    }
  }).detach();
}

}  // namespace rig
