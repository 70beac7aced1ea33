// Where the time of live requests is said to have gone, against workers whose pace is known: by stage in the
// histograms, and which answers count as late (docs/operators/metrics.md, "Latency by stage").
#include "proxy/stage_times.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>

#include "expect.h"
#include "gateway_rig.h"

using namespace stonemount;

namespace {
constexpr Us kStepUs = 40 * kMilliUs;  // before each piece of an answer
constexpr Us kEventUs = 2 * kStepUs;   // each event comes in two pieces
constexpr std::uint64_t kEvents = 5;
const Address kWorker{0x0a000001, 8080};

PassWorkerPlan steadyWorker() {
  PassWorkerPlan plan;
  plan.pool = "p";
  plan.life = "i-1";
  plan.events = kEvents;
  plan.stepUs = kStepUs;
  plan.deeds = {{PassDeed::kWhole, 1}};
  return plan;
}

LiveRequest streamRequest(std::size_t number) {
  LiveRequest request;
  request.route.name = "chat";
  request.route.kind = RouteKind::kStream;
  request.route.pool = "p";
  request.route.limitUs = 10 * kSecondUs;
  request.exchange = absl::StrCat("x", number);
  request.ask.method = "POST";
  request.ask.path = "/stream";
  request.ask.headers = {{platform::kAttempt, request.exchange}};
  return request;
}

std::optional<StageSummary> summaryOf(const StageTimes& times, const std::string& route, RequestStage stage) {
  for (const StageSummary& summary : times.summaries())
    if (summary.route == route && summary.stage == stage) return summary;
  return std::nullopt;
}

// Two streams at a worker that runs one at a time: the second one waits for the first.
void stagesOfStreams() {
  GatewayPlan plan;
  plan.holdUs = 5 * kSecondUs;
  GatewayRig rig(1, plan);
  Pool pool;
  pool.name = "p";
  pool.mostChannels = 1;
  rig.control.putPool(pool);
  rig.startWorker(kWorker, "a", steadyWorker());
  rig.list({kWorker, "p", "a", 1, false, "i-1", 0});
  rig.enter(streamRequest(0));
  rig.world.runUntil(kMilliUs);
  rig.enter(streamRequest(1));
  rig.world.runUntil(10 * kSecondUs);
  const StageTimes& times = rig.gateway.stageTimes();
  const auto hold = summaryOf(times, "chat", RequestStage::kHold),
             first = summaryOf(times, "chat", RequestStage::kFirst);
  const auto pause = summaryOf(times, "chat", RequestStage::kPause),
             whole = summaryOf(times, "chat", RequestStage::kWhole);
  expect(hold && first && pause && whole, "every stage has a histogram");
  if (!hold || !first || !pause || !whole) return;
  expect(hold->count == 2 && first->count == 2 && pause->count == 2 && whole->count == 2, "each request counts once");
  expect(hold->meanUs >= kStepUs * 2, absl::StrCat("the second waits for the first: ", hold->meanUs));
  expect(first->meanUs >= kStepUs, absl::StrCat("the first event comes after a step: ", first->meanUs));
  expect(pause->meanUs >= kEventUs && pause->meanUs < kEventUs + kStepUs,
         absl::StrCat("between two events lies what the worker takes for one: ", pause->meanUs));
  const Us partsUs = hold->meanUs + first->meanUs + static_cast<Us>(kEvents - 1) * pause->meanUs;
  expect(whole->meanUs >= partsUs - 2 * kStepUs && whole->meanUs <= partsUs + 2 * kStepUs,
         absl::StrCat("the parts add up: ", partsUs, " of ", whole->meanUs));
  expect(absl::StrContains(times.text(), "stonemount_request_stage_seconds_bucket{route=\"chat\",stage=\"first\""),
         "the text names route and stage");
}

void quantiles() {
  StageTimes times;
  for (int i = 0; i < 90; ++i) times.note("r", RequestStage::kFirst, 3 * kMilliUs);
  for (int i = 0; i < 9; ++i) times.note("r", RequestStage::kFirst, 150 * kMilliUs);
  times.note("r", RequestStage::kFirst, 40 * kSecondUs);
  const auto summary = summaryOf(times, "r", RequestStage::kFirst);
  expect(summary && summary->count == 100, "all are counted");
  expect(summary && summary->p50Us == 5 * kMilliUs && summary->p95Us == 200 * kMilliUs, "bounds of their buckets");
  expect(summary && summary->p99Us == 200 * kMilliUs, "the hundredth lies beyond");
  times.note("r", RequestStage::kFirst, 40 * kSecondUs);
  expect(summaryOf(times, "r", RequestStage::kFirst)->p99Us == -1, "above the last bound is told as such");
}

// However many routes a configuration names, a node keeps histograms of a bounded number.
void manyRoutes() {
  StageTimes times;
  for (int i = 0; i < 500; ++i) times.note(absl::StrCat("r", i), RequestStage::kWhole, kMilliUs);
  std::uint64_t count = 0;
  std::size_t routes = 0;
  for (const StageSummary& summary : times.summaries()) {
    count += summary.count;
    ++routes;
  }
  expect(count == 500, "none is lost");
  expect(routes == 65, absl::StrCat("64 of their own and one for the others: ", routes));
}

void lateness() {
  Route route;
  route.kind = RouteKind::kStream;
  AnswerTimes times;
  times.holdUs = 300 * kMilliUs;
  times.firstUs = 400 * kMilliUs;
  expect(!answeredLate(route, times, kSecondUs), "without a target nothing is late");
  route.targetUs = 800 * kMilliUs;
  route.gapTargetUs = 100 * kMilliUs;
  expect(!answeredLate(route, times, 5 * kSecondUs), "a stream may be long");
  times.connectUs = 200 * kMilliUs;
  expect(answeredLate(route, times, 5 * kSecondUs), "all stages before the first event count");
  times.connectUs = 0;
  times.pauseUs = 101 * kMilliUs;
  expect(answeredLate(route, times, 5 * kSecondUs), "a pause that is too long counts");
  route.kind = RouteKind::kWhole;
  expect(!answeredLate(route, times, 700 * kMilliUs) && answeredLate(route, times, 900 * kMilliUs),
         "what is no stream is judged by its end");
}

// What was told is not told again, and the tries of one request add up.
void sumsOfTries() {
  AnswerTimes times;
  times.addAttempt({10 * kMilliUs, -1, 0});
  times.addAttempt({20 * kMilliUs, 30 * kMilliUs, 70 * kMilliUs});
  times.addAttempt({0, 5 * kMilliUs, 60 * kMilliUs});
  expect(times.tries == 3 && times.connectUs == 30 * kMilliUs, "tries and connects add up");
  expect(times.firstUs == 35 * kMilliUs && times.pauseUs == 70 * kMilliUs, "of pauses the longest counts");
}
}  // namespace

int main() {
  stagesOfStreams();
  quantiles();
  manyRoutes();
  lateness();
  sumsOfTries();
  return expectationsVerdict();
}
