// A lot is under way as the configuration changes: its route is removed, and one of another name is added at the same
// host and prefix, with the same service and all else alike.
#include <memory>

#include "rig.h"

using namespace rig;

namespace {
constexpr int kItems = 150;
constexpr int kEvents = 20;
std::atomic<int> atWorkers{0};
std::atomic<double> lastFinished{0};

bool runStream(Worker& worker, const Message& request, const std::string&, Stream& stream) {
  ++atWorkers;
  const int from = atoi(request.header("last-event-id").c_str()) + 1;
  bool sent = stream.write(answerHead(worker, request, "text/event-stream", "Transfer-Encoding: chunked\r\n"));
  for (int id = from; sent && id <= kEvents; ++id) {
    sleepS(0.05);
    sent = stream.write(chunkText(eventText(id, eventData(request, id))));
  }
  sent = sent && stream.write("0\r\n\r\n");
  if (sent) lastFinished = now();
  --atWorkers;
  return sent;
}
std::string bulkRoute(const char* name) {
  return route(name, "/lots/", "bulk", "llm",
               "\"GuardMs\":20000,\"MaxAttempts\":3,\"Affinity\":true,\"CompletionTargetMs\":12000,\"RetentionS\":40");
}
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
    worker.capacity = 12;
    worker.run = runStream;
    startWorker(worker);
    platform.add(&worker);
  }
  platform.start(fleet.platformAddress);
  fleet.start();
  if (!fleet.configure(configuration(1, bulkRoute("r-first"), service("llm")), 0) || !fleet.allReady())
    finish(fleet, 2, "the fleet did not start");
  sleepS(6);
  if (submitLot(fleet.front(0), "lot-d", lotText("dd", kItems)).status != 202)
    finish(fleet, 2, "the lot was not taken");
  const double takenAt = now();
  sleepS(1.5);
  if (trouble()) {
    if (!fleet.configure(configuration(3, bulkRoute("r-second"), service("llm")), 1))
      finish(fleet, 2, "the change was not taken");
    record.line("configuration 3 is acknowledged: r-second stands where r-first stood");
  }
  bool worked = false;            // in the last 5 s
  while (now() < takenAt + 24) {  // due after 12 s, and FinishS and 2 s on top; RetentionS is 40 s
    sleepS(0.1);
    if (now() > takenAt + 19) worked = worked || atWorkers > 0;
  }
  // A new lot at the same place is taken and done: the configuration allows it, and the workers are well.
  if (submitLot(fleet.front(1), "lot-e", lotText("ee", 5)).status != 202) finish(fleet, 2, "a new lot was not taken");
  const double idleS = now() - lastFinished;
  const Message read = readLot(fleet.front(2), "lot-d");
  const int listed = countOf(read.body, "\"complete\"") + countOf(read.body, "\"abandoned\"");
  record.line(text("lot-d after 24 s: status %d, %d of %d listed, %d of them complete; last item finished %.1f s ago",
                   read.status, listed, kItems, countOf(read.body, "\"complete\""), idleS));
  if (read.status != 200) finish(fleet, 2, "the lot could not be read");
  int done = 0;
  for (int i = 0; i < 40 && done < 5; ++i) {
    sleepS(0.25);
    done = countOf(readLot(fleet.front(0), "lot-e").body, "\"complete\"");
  }
  record.line(text("the new lot: %d of 5 complete", done));
  while (trouble() && now() < takenAt + 43) sleepS(0.1);
  const Message last = readLot(fleet.front(0), "lot-d");
  record.line(text("lot-d after RetentionS: %d complete, %d abandoned", countOf(last.body, "\"complete\""),
                   countOf(last.body, "\"abandoned\"")));
  const bool idle = !worked && idleS > 3;
  if (listed < kItems && idle)
    finish(fleet, 1, text("LOST: %d items of an accepted lot are not listed and no worker has them", kItems - listed));
  if (listed < kItems) finish(fleet, 2, "the lot was still at work");
  finish(fleet, 0, "all items of the lot were listed");
}
