// Workers whose answers have no length and end with their connection. A node is told to stop (SIGTERM) while it passes
// such streams on.
#include <memory>

#include "rig.h"

using namespace rig;

namespace {
constexpr int kEvents = 20;
std::mutex mutex;
std::map<std::string, bool> workedWhole;  // by request: its worker sent all and ended the connection in order

bool runStream(Worker& worker, const Message& request, const std::string&, Stream& stream) {
  bool sent = stream.write(answerHead(worker, request, "text/event-stream", "Connection: close\r\n"));
  for (int id = 1; sent && id <= kEvents; ++id) {
    sleepS(0.05);
    sent = stream.write(eventText(id, eventData(request, id)));
  }
  std::lock_guard<std::mutex> lock(mutex);
  workedWhole[request.header("attempt-id")] = sent;
  record.line("worker " + worker.id + (sent ? " ends the answer of " : " was cut off from ") + request.header("attempt-id"));
  return false;  // no length: the end of the connection is the end of the answer
}

struct Asked {
  std::string id;
  double sentAt = 0, endedAt = 0;
  int status = 0, events = 0;
  bool complete = false;
};
}  // namespace

int main(int, char** given) {
  record.open(given[1]);
  signal(SIGPIPE, SIG_IGN);
  Fleet fleet;
  Platform platform;
  std::vector<std::unique_ptr<Worker>> workers;
  for (int i = 0; i < 3; ++i) {
    workers.push_back(std::make_unique<Worker>());
    Worker& worker = *workers.back();
    worker.id = text("i-%d", i);
    worker.service = "llm";
    worker.address = text("%s.%d:9000", fleet.net.c_str(), 100 + i);
    worker.zone = Fleet::zone(i);
    worker.run = runStream;
    startWorker(worker);
    platform.add(&worker);
  }
  platform.start(fleet.platformAddress);
  fleet.start();
  const std::string routes =
      route("st", "/st/", "streaming", "llm", "\"GuardMs\":6000,\"MaxAttempts\":1,\"Affinity\":false,\"Resumable\":false,\"GapTargetMs\":300");
  if (!fleet.configure(configuration(1, routes, service("llm")), 0) || !fleet.allReady())
    finish(fleet, 2, "the fleet did not start");
  sleepS(3);
  std::vector<Asked> asked(40);
  std::vector<std::thread> clients;
  double stopAt = 1e9;
  for (std::size_t i = 0; i < asked.size(); ++i) {
    if (i == 20 && trouble()) {
      fleet.signalTo("node-0", SIGTERM);
      stopAt = now();
    }
    clients.emplace_back([&fleet, &one = asked[i], i] {
      one.id = text("s%03zu", i);
      one.sentAt = now();
      const Message answer = call(fleet.front(0), "POST", "/st/x", {{"Attempt-Id", one.id}, {"Deadline-Ms", "5000"}}, "hello", 7);
      one.endedAt = now();
      one.status = answer.status;
      one.complete = answer.complete;
      one.events = countOf(answer.body, "data: ");
      record.line(text("client %s: status %d, %d events, %s", one.id.c_str(), one.status, one.events,
                       one.complete ? "complete" : "the connection ended without the end of the answer"));
    });
    sleepS(0.1);
  }
  for (std::thread& client : clients) client.join();
  sleepS(0.5);
  // Planned work: from the SIGTERM of the machine that took the request until 1 s after GraceS.
  int lost = 0, cut = 0, ran = 0;
  std::lock_guard<std::mutex> lock(mutex);
  for (const Asked& one : asked) {
    auto work = workedWhole.find(one.id);
    if (work == workedWhole.end()) continue;
    ++ran;
    if (one.complete || !work->second) continue;
    ++cut;
    if (one.endedAt >= stopAt && one.endedAt <= stopAt + 9) ++lost;
  }
  record.line(text("%d ran; %d of them cut though their worker had sent all; %d of these around the planned stop", ran, cut, lost));
  if (ran < 20) finish(fleet, 2, "too few requests ran");
  if (lost > 0) finish(fleet, 1, text("LOST: %d requests", lost));
  finish(fleet, 0, "no request was lost around planned work");
}
