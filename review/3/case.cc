// A lot is taken, the configuration changes, and the same lot comes again while its 202 is only seconds old.
#include <memory>

#include "rig.h"

using namespace rig;

namespace {
constexpr int kItems = 10;
bool runStream(Worker& worker, const Message& request, const std::string&, Stream& stream) {
  const int from = atoi(request.header("last-event-id").c_str()) + 1;
  bool sent = stream.write(answerHead(worker, request, "text/event-stream", "Transfer-Encoding: chunked\r\n"));
  for (int id = from; sent && id <= 10; ++id) {
    sleepS(0.03);
    sent = stream.write(chunkText(eventText(id, eventData(request, id))));
  }
  return sent && stream.write("0\r\n\r\n");
}
std::string routes(bool affinity) {
  return route(
      "lot", "/lots/", "bulk", "llm",
      text("\"GuardMs\":20000,\"MaxAttempts\":3,\"Affinity\":%s,\"CompletionTargetMs\":12000,\"RetentionS\":90",
           affinity ? "true" : "false")
          .c_str());
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
    worker.run = runStream;
    startWorker(worker);
    platform.add(&worker);
  }
  platform.start(fleet.platformAddress);
  fleet.start();
  if (!fleet.configure(configuration(1, routes(false), service("llm")), 0) || !fleet.allReady())
    finish(fleet, 2, "the fleet did not start");
  sleepS(6);
  // Another client sends the lot once more while its 202 is only seconds old (or the first one did not hear the 202).
  const std::string lot = lotText("cc", kItems);
  if (submitLot(fleet.front(0), "lot-c", lot).status != 202) finish(fleet, 2, "the lot was not taken");
  if (trouble()) {
    if (!fleet.configure(configuration(3, routes(true), service("llm")), 1))
      finish(fleet, 2, "the change was not taken");
    record.line("configuration 3 is acknowledged: the lot's route has Affinity now");
  }
  sleepS(4);  // ApplyMs and more
  int turnedAway = 0, taken = 0;
  for (int i = 0; i < 3; ++i) {
    const Message answer = submitLot(fleet.front((i + 1) % 3), "lot-c", lot);
    turnedAway += answer.status == 429 || (answer.status >= 400 && answer.status < 500);
    taken += answer.status == 202;
    sleepS(0.5);
  }
  int done = 0;
  for (int i = 0; i < 60 && done < kItems; ++i) {
    sleepS(0.25);
    done = countOf(readLot(fleet.front(1), "lot-c").body, "\"complete\"");
  }
  record.line(text("sent again three times: %d turned away with 4xx, %d taken; items done all the same: %d", turnedAway,
                   taken, done));
  if (turnedAway >= 3) finish(fleet, 1, "LOST: an accepted lot is turned away three times as it comes again");
  if (taken == 3) finish(fleet, 0, "the lot is acknowledged again");
  finish(fleet, 2, "neither");
}
