// A node that is told to stop while callers go on coming, as they do where too few of a zone are ready: whatever it
// takes it finishes, and it does not live on for those who come late (design.md 9.9, incident 22).
#include "node/graceful_stop.h"

#include <absl/strings/str_cat.h>

#include "expect.h"
#include "gateway_rig.h"

using namespace stonemount;

namespace {
constexpr std::uint64_t kSeeds = 300;
constexpr Us kNoticeUs = 2800 * kMilliUs;
constexpr std::size_t kWorkers = 4;
constexpr std::uint64_t kEvents = 12;

// The gateway of the rig as that which drains. What is still open as it stops is cut off.
class RigServer : public DrainingServer {
 public:
  explicit RigServer(GatewayRig& rig) : rig_(rig) {}
  void drain() override {
    draining_ = true;
    rig_.gateway.drain();
  }
  void refuseNew() override { rig_.gateway.refuseNew(); }
  bool idle() const override { return openRequests() == 0; }
  std::size_t openRequests() const override {
    std::size_t open = 0;
    for (const auto& asked : rig_.asked) open += asked->settled() ? 0 : 1;
    return open;
  }
  std::uint64_t takenWhileDraining() const override { return taken_; }
  void noteTaken() { taken_ += draining_ ? 1 : 0; }
  void stop() override { stoppedUs = rig_.world.nowUs(); }
  Us stoppedUs = -1;

 private:
  GatewayRig& rig_;
  bool draining_ = false;
  std::uint64_t taken_ = 0;
};

struct StopDay {
  std::uint64_t seed = 0;
  Us graceUs = 0;
  Us gapUs = 0;       // between two callers, on the mean
  Us longestUs = 0;   // that a run lasts
  bool mute = false;  // some workers take a request and say nothing more
};

StopDay drawDay(std::uint64_t seed) {
  constexpr Us kGracesUs[] = {3 * kSecondUs, 5 * kSecondUs, 8 * kSecondUs, 20 * kSecondUs};
  Chance chance(seed * 9176 + 5);
  StopDay day;
  day.seed = seed;
  day.graceUs = kGracesUs[chance.below(4)];
  day.gapUs = static_cast<Us>(8 + chance.below(60)) * kMilliUs;
  day.longestUs = static_cast<Us>(100 + chance.below(900)) * kMilliUs;
  day.mute = chance.oneIn(3);
  return day;
}

LiveRequest requestOf(Chance& chance, std::uint64_t number) {
  LiveRequest request;
  request.route.name = "r";
  request.route.kind = RouteKind::kStream;
  request.route.pool = "p";
  request.route.limitUs = static_cast<Us>(1500 + chance.below(4500)) * kMilliUs;
  request.exchange = absl::StrCat("x", number);
  request.ask.method = "POST";
  request.ask.path = request.ask.target = "/stream/r";
  request.ask.headers = {{platform::kAttempt, request.exchange}, {"host", "h.example"}, {"model", "m"}};
  return request;
}

void startWorkers(GatewayRig& rig, const StopDay& day) {
  Pool pool;
  pool.name = "p";
  rig.control.putPool(pool);
  PassWorkerPlan plan;
  plan.pool = "p";
  plan.events = kEvents;
  plan.stepUs = day.longestUs / static_cast<Us>(kEvents + 2);
  plan.deeds = {{PassDeed::kWhole, 30}};
  if (day.mute) plan.deeds.emplace_back(PassDeed::kSilentInside, 1);
  for (std::size_t i = 0; i < kWorkers; ++i) {
    const Address address{0x0a000001u + static_cast<std::uint32_t>(i), 8080};
    plan.life = absl::StrCat("i-", i);
    rig.startWorker(address, "a", plan);
    rig.list({address, "p", "a", 64, false, plan.life});
  }
}

// The signal comes at second 1; callers come until the node has gone.
void play(const StopDay& day) {
  const std::string name = absl::StrCat("seed ", day.seed, ": ");
  GatewayRig rig(day.seed, GatewayPlan());
  startWorkers(rig, day);
  RigServer server(rig);
  GracefulStop stopping(rig.node, rig.node, server, {day.graceUs, kNoticeUs});
  Chance chance(day.seed * 31 + 7);
  const Us signalUs = kSecondUs;
  std::uint64_t number = 0;
  for (Us atUs = 0; atUs < signalUs + day.graceUs && server.stoppedUs < 0;
       atUs += day.gapUs / 2 + static_cast<Us>(chance.below(static_cast<std::uint64_t>(day.gapUs)))) {
    if (atUs >= signalUs && !stopping.begun()) {
      rig.world.runUntil(signalUs);
      stopping.proceed();
    }
    rig.world.runUntil(atUs);
    if (server.stoppedUs >= 0) break;
    rig.enter(requestOf(chance, ++number));
    server.noteTaken();
  }
  rig.world.runUntil(signalUs + day.graceUs);
  expect(server.stoppedUs >= 0, name + "still there when it is killed");
  const Us noticeUs = std::min(kNoticeUs, day.graceUs / 2);
  Us longestUs = 0;  // of what it had or took while it still took requests
  for (const auto& asked : rig.asked) {
    const Us overUs = asked->answer->overUs;
    const bool cut = overUs < 0 || overUs > server.stoppedUs;
    const bool late = asked->atUs > signalUs + noticeUs;
    if (!late) longestUs = std::max(longestUs, asked->limitUs);
    expect(!cut || !late, name + "a request that came " + std::to_string((asked->atUs - signalUs) / kMilliUs) +
                              " ms after the signal was cut " +
                              std::to_string((server.stoppedUs - signalUs) / kMilliUs) + " ms after it");
    expect(!cut || server.stoppedUs - signalUs >= day.graceUs * 5 / 6, name + "cut before the last sixth of the grace");
    if (late && overUs >= 0 && asked->answer->status == 503)
      expect(overUs - asked->atUs < 10 * kMilliUs && asked->answer->headers.contains("retry-after"),
             name + "a refusal was held back, or does not tell when to come back");
  }
  const Us mostUs = noticeUs + (day.mute ? longestUs : day.longestUs + kSecondUs) + 200 * kMilliUs;
  expect(server.stoppedUs - signalUs <= mostUs, name + "kept alive by callers that came late");
}
}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) play(drawDay(seed));
  return expectationsVerdict();
}
