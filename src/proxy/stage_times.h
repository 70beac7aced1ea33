// Where the time of live requests goes: histograms by route and by stage (docs/operators/metrics.md, "Latency by
// stage").
#pragma once

#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "stonemount.h"

namespace stonemount {

enum class RequestStage : std::uint8_t {
  kHold,     // from its arrival, or from the end of a try, until a worker was chosen
  kConnect,  // until the connection to that worker was open; 0 on one that was kept
  kFirst,    // until the first event, or the head of an answer that is no series of events
  kPause,    // longest between two events of one answer
  kWhole,    // from arrival to the end of a whole answer
};
constexpr std::size_t kStages = 5;
const char* stageText(RequestStage stage);

// What one try at a worker took.
struct AttemptTimes {
  Us connectUs = 0;
  Us firstUs = -1;  // -1: nothing came
  Us pauseUs = 0;
};

// Quantiles are the upper bounds of the buckets in which they lie; -1: above the last bound.
struct StageSummary {
  std::string route;
  RequestStage stage = RequestStage::kHold;
  std::uint64_t count = 0;
  Us meanUs = 0, p50Us = 0, p95Us = 0, p99Us = 0;
};

// The histograms of one node. Runs on the loop's thread.
class StageTimes {
 public:
  StageTimes();
  void note(const std::string& route, RequestStage stage, Us lengthUs);
  void noteAttempt(const std::string& route, const AttemptTimes& times);
  // By how much a timer of this process fired too late: its processor's time went to something else.
  void noteLoopDelay(Us lengthUs) { loopDelay_.Observe(seconds(lengthUs)); }
  // Prometheus' text format, version 0.0.4.
  std::string text() const;
  // For people: of each histogram that has anything, by route and stage.
  std::vector<StageSummary> summaries() const;

 private:
  using Histograms = std::array<prometheus::Histogram*, kStages>;
  static double seconds(Us lengthUs);
  Histograms& histogramsOf(const std::string& route);
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>& stages_;
  prometheus::Histogram& loopDelay_;
  absl::btree_map<std::string, Histograms> byRoute_;
};

}  // namespace stonemount
