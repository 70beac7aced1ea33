// Stand-ins for workers and for the platform, as the users' PROTOCOL.md describes them.
#pragma once

#include "http.h"

namespace rig {

struct Worker {
  std::string id, service, address, zone;
  std::string state = "ready";
  int capacity = 32;
  std::atomic<int> active{0};
  std::atomic<int> runs{0};
  std::atomic<bool> gone{false};  // its process has ended
  // Answers one request that it runs. False: the connection ends with this answer.
  std::function<bool(Worker&, const Message&, const std::string& path, Stream&)> run;
};

inline std::string answerHead(const Worker& worker, const Message& request, const char* type, const std::string& more) {
  return text(
      "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: seal.%s.%d\r\nServer-Load: %d,0,%d\r\n"
      "Content-Type: %s\r\n%s\r\n",
      request.header("attempt-id").c_str(), worker.id.c_str(), worker.runs.load(), worker.active.load(),
      worker.capacity, type, more.c_str());
}
inline std::string eventText(int id, const std::string& data) { return text("id: %d\ndata: %s\n\n", id, data.c_str()); }
inline std::string chunkText(const std::string& bytes) { return text("%zx\r\n", bytes.size()) + bytes + "\r\n"; }
inline std::string eventData(const Message& request, int id) {
  return text("%s.%d", request.header("attempt-id").c_str(), id);
}

inline void startWorker(Worker& worker) {
  listenOn(worker.address, [&worker](Stream& stream) {
    while (!worker.gone) {
      Message request;
      if (!stream.head(request) || !stream.body(request) || worker.gone) return;
      const std::size_t space = request.first.find(' ');
      const std::string path = request.first.substr(space + 1, request.first.rfind(' ') - space - 1);
      if (path == "/health") {
        stream.write(text("HTTP/1.1 200 OK\r\nServing-Instance: %s\r\nContent-Length: 0\r\n\r\n", worker.id.c_str()));
        continue;
      }
      const std::string expected = request.header("expected-instance");
      if (!expected.empty() && expected != worker.id) {
        stream.write(
            text("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
                 "Content-Length: 0\r\n\r\n",
                 request.header("attempt-id").c_str()));
        continue;
      }
      ++worker.runs;
      ++worker.active;
      record.line("worker " + worker.id + " runs " + request.header("attempt-id") +
                  " last-event-id=" + request.header("last-event-id"));
      const bool goesOn = worker.run(worker, request, path, stream);
      --worker.active;
      if (!goesOn) return;
    }
  });
}

// The platform's list of workers.
class Platform {
 public:
  void start(const std::string& address) {
    address_ = address;
    listenOn(address, [this](Stream& stream) {
      while (!down) {
        Message request;
        if (!stream.head(request) || down) return;
        const std::string body = list();
        if (!stream.write(
                text("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n", body.size()) +
                body))
          return;
      }
    });
  }
  void add(Worker* worker) {
    std::lock_guard<std::mutex> lock(mutex_);
    workers_.push_back(worker);
  }
  void remove(Worker* worker) {
    std::lock_guard<std::mutex> lock(mutex_);
    std::erase(workers_, worker);
  }
  void setState(Worker* worker, const std::string& state) {
    std::lock_guard<std::mutex> lock(mutex_);
    worker->state = state;
  }
  std::atomic<bool> down{false};

 private:
  std::string list() {
    std::lock_guard<std::mutex> lock(mutex_);
    std::string out = "{\"Instances\":[";
    for (const Worker* worker : workers_) {
      if (out.back() == '}') out += ',';
      out += text(
          "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\",\"Revision\":\"v1\",\"Capacity\":%d,"
          "\"State\":\"%s\",\"WarmupLeftMs\":0,\"Id\":\"%s\"}",
          worker->service.c_str(), worker->address.c_str(), worker->zone.c_str(), worker->capacity,
          worker->state.c_str(), worker->id.c_str());
    }
    return out + "],\"NextToken\":null}";
  }
  std::string address_;
  std::mutex mutex_;
  std::vector<Worker*> workers_;
};

}  // namespace rig
