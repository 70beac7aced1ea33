#include "proxy/stage_times.h"

#include <prometheus/text_serializer.h>

#include <cmath>

namespace stonemount {

namespace {
constexpr std::size_t kMostRoutes = 64;  // that have histograms of their own
constexpr char kOtherRoutes[] = "other";

// Seconds. From what a kept connection takes to the longest limit of a route.
prometheus::Histogram::BucketBoundaries bounds() {
  return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30};
}

prometheus::Family<prometheus::Histogram>& family(prometheus::Registry& registry, const char* name, const char* help) {
  return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}
// The bound below which that share of all lies; -1: above the last.
Us quantileUs(const prometheus::ClientMetric::Histogram& histogram, double share) {
  const double wanted = share * static_cast<double>(histogram.sample_count);
  for (const prometheus::ClientMetric::Bucket& bucket : histogram.bucket)
    if (static_cast<double>(bucket.cumulative_count) >= wanted)
      return std::isfinite(bucket.upper_bound) ? static_cast<Us>(bucket.upper_bound * kSecondUs) : -1;
  return -1;
}
}  // namespace

const char* stageText(RequestStage stage) {
  switch (stage) {
    case RequestStage::kHold:
      return "hold";
    case RequestStage::kConnect:
      return "connect";
    case RequestStage::kFirst:
      return "first";
    case RequestStage::kPause:
      return "pause";
    case RequestStage::kWhole:
      return "whole";
  }
  return "unknown";
}

StageTimes::StageTimes()
    : registry_(std::make_shared<prometheus::Registry>()),
      stages_(family(*registry_, "stonemount_request_stage_seconds", "Time of live requests by route and stage")),
      loopDelay_(
          family(*registry_, "stonemount_loop_delay_seconds", "By how much a timer fired too late").Add({}, bounds())) {
}

double StageTimes::seconds(Us lengthUs) { return static_cast<double>(lengthUs) / kSecondUs; }

StageTimes::Histograms& StageTimes::histogramsOf(const std::string& route) {
  const bool own = byRoute_.size() < kMostRoutes || byRoute_.contains(route);
  const std::string name = own ? route : kOtherRoutes;
  auto [found, made] = byRoute_.try_emplace(name);
  if (!made) return found->second;
  for (std::size_t i = 0; i < kStages; ++i)
    found->second[i] = &stages_.Add({{"route", name}, {"stage", stageText(static_cast<RequestStage>(i))}}, bounds());
  return found->second;
}

void StageTimes::note(const std::string& route, RequestStage stage, Us lengthUs) {
  histogramsOf(route)[static_cast<std::size_t>(stage)]->Observe(seconds(lengthUs));
}

void StageTimes::noteAttempt(const std::string& route, const AttemptTimes& times) {
  note(route, RequestStage::kConnect, times.connectUs);
  if (times.firstUs < 0) return;
  note(route, RequestStage::kFirst, times.firstUs);
  note(route, RequestStage::kPause, times.pauseUs);
}

std::vector<StageSummary> StageTimes::summaries() const {
  std::vector<StageSummary> found;
  for (const auto& [route, histograms] : byRoute_) {
    for (std::size_t i = 0; i < kStages; ++i) {
      const prometheus::ClientMetric::Histogram histogram = histograms[i]->Collect().histogram;
      if (histogram.sample_count == 0) continue;
      StageSummary summary{route, static_cast<RequestStage>(i), histogram.sample_count};
      summary.meanUs = static_cast<Us>(histogram.sample_sum * kSecondUs / static_cast<double>(histogram.sample_count));
      summary.p50Us = quantileUs(histogram, 0.5);
      summary.p95Us = quantileUs(histogram, 0.95);
      summary.p99Us = quantileUs(histogram, 0.99);
      found.push_back(std::move(summary));
    }
  }
  return found;
}

std::string StageTimes::text() const { return prometheus::TextSerializer().Serialize(registry_->Collect()); }

}  // namespace stonemount
