// The stand-ins on the real ports: workers, the platform, callers.
#include <absl/flags/flag.h>
#include <absl/strings/str_cat.h>

#include <random>

#include "adapters/http.h"
#include "adapters/log.h"
#include "adapters/tcp_transport.h"
#include "cli/flags.h"
#include "cli/keep_alive_caller.h"
#include "cli/record_file.h"
#include "stand_ins/caller.h"
#include "stand_ins/platform.h"
#include "stand_ins/worker.h"

ABSL_FLAG(std::string, pool, "models", "rehearse worker: its pool");
ABSL_FLAG(int, slots, 4, "rehearse worker: exchanges at once when warm");
ABSL_FLAG(int, oddsTruncate, 0, "rehearse worker: one answer in so many lacks its end");
ABSL_FLAG(int, oddsSwap, 0, "rehearse worker: one answer in so many names another exchange");
ABSL_FLAG(int, oddsSilent, 0, "rehearse worker: one answer in so many is silent for long first");
ABSL_FLAG(int, seconds, 10, "rehearse caller: how long to call");
ABSL_FLAG(int, lookupEveryUs, 20000, "rehearse caller: mean time between lookups");
ABSL_FLAG(int, streamEveryUs, 100000, "rehearse caller: mean time between streams");
ABSL_FLAG(int, wholeEveryUs, 100000, "rehearse caller: mean time between whole answers");
ABSL_FLAG(std::string, event, "", "rehearse caller: hand in lots under this event");
ABSL_FLAG(int, lots, 0, "rehearse caller: how many lots");
ABSL_FLAG(int, lotReadsSeconds, 125, "rehearse caller: for so long a lot is read again after it was handed in");
ABSL_FLAG(int, connections, 2, "rehearse keepalive: connections to each node");
ABSL_FLAG(std::string, record, "",
          "rehearse keepalive, worker, caller: file to which it writes what it saw, as it happens");
ABSL_FLAG(std::uint64_t, seed, 1, "rehearse keepalive: of its choices");
ABSL_FLAG(int, lotItems, 40, "rehearse caller: items in a lot");

namespace stonemount {

namespace {
// A rehearsal needs no wire to other processes.
class NoWire : public Wire {
 public:
  Address self() const override { return {}; }
  void post(const Address&, Bytes) override {}
};

struct Stage {
  Loop loop;
  NoWire wire;
  HttpOutEv httpOut{loop};
  Chance chance{std::random_device()()};
};

int report(const CallerLedger& ledger) {
  std::size_t complete = 0;
  for (const auto& [key, lot] : ledger.lots) complete += lot.complete ? 1 : 0;
  JsonOut out;
  out.object().field("asked", ledger.asked).field("served", ledger.served).field("turnedAway", ledger.turnedAway);
  out.field("notWhole", ledger.notWhole).field("silent", ledger.silent).field("lotsOffered", ledger.lotsOffered);
  out.field("lotsAccepted", ledger.lots.size()).field("lotsComplete", complete).key("faults").array();
  for (const std::string& fault : ledger.faults) out.text(fault);
  out.closeArray().closeObject();
  return say(ledger.faults.empty() ? Exit::kDone : Exit::kFindings, out.take());
}

// What ran, and what was told never to run, for the judge of a soak. Requests are named by a hash of their prompt.
class RunRecord : public sigc::trackable {
 public:
  explicit RunRecord(const std::string& path) : file_(path) {}
  void onStarted(const WorkerLedger::Start& start) {
    file_.write(absl::StrCat("started ",
                             start.lot      ? "lot "
                             : start.lookup ? "lookup "
                                            : "live ",
                             nameOf(start.prompt)));
  }
  void onToldNeverRuns(const Bytes& prompt) { file_.write("never " + nameOf(prompt)); }

 private:
  static std::string nameOf(const Bytes& prompt) { return hexText(spread(prompt)); }
  RecordFile file_;
};

class Ending : public Continuation {
 public:
  Ending(Loop& loop, RehearseCaller& caller, Us callingUs) : loop_(loop), caller_(caller) {
    loop_.arm(callingUs, *this);
  }
  ~Ending() override { loop_.disarm(*this); }
  void proceed() override {
    caller_.stop();
    if (caller_.open() == 0)
      loop_.stop();
    else
      loop_.arm(100 * kMilliUs, *this);
  }

 private:
  Loop& loop_;
  RehearseCaller& caller_;
};

int rehearseCaller(Stage& stage, Ports& ports) {
  CallerPlan plan;
  plan.name = absl::StrCat("caller", stage.chance.below(1000000));
  NodesVerdict nodes = nodesGiven();
  if (auto* bad = std::get_if<BadNodes>(&nodes)) return say(Exit::kUsage, bad->why);
  plan.nodes = std::get<std::vector<Address>>(std::move(nodes));
  plan.lookupEveryUs = absl::GetFlag(FLAGS_lookupEveryUs);
  plan.streamEveryUs = absl::GetFlag(FLAGS_streamEveryUs);
  plan.wholeEveryUs = absl::GetFlag(FLAGS_wholeEveryUs);
  plan.event = absl::GetFlag(FLAGS_event);
  plan.lots = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_lots));
  plan.lotItems = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_lotItems));
  plan.lotEveryUs = 300 * kMilliUs;
  plan.lotReadsUs = absl::GetFlag(FLAGS_lotReadsSeconds) * kSecondUs;
  CallerLedger ledger;
  RunRecord record(absl::GetFlag(FLAGS_record));
  RehearseCaller caller(ports, plan, ledger);
  caller.toldNeverRuns.connect(sigc::mem_fun(record, &RunRecord::onToldNeverRuns));
  Ending ending(stage.loop, caller, absl::GetFlag(FLAGS_seconds) * kSecondUs);
  caller.begin();
  stage.loop.run();
  return report(ledger);
}

int rehearseKeepAlive() {
  KeepAlivePlan plan;
  NodesVerdict nodes = nodesGiven();
  if (auto* bad = std::get_if<BadNodes>(&nodes)) return say(Exit::kUsage, bad->why);
  plan.nodes = std::get<std::vector<Address>>(std::move(nodes));
  plan.connections = absl::GetFlag(FLAGS_connections);
  plan.lengthUs = absl::GetFlag(FLAGS_seconds) * kSecondUs;
  plan.record = absl::GetFlag(FLAGS_record);
  plan.seed = absl::GetFlag(FLAGS_seed);
  const KeepAliveCounts counts = callKeepingAlive(plan);
  JsonOut out;
  out.object().field("sent", counts.sent).field("connects", counts.connects);
  out.field("closesAnnounced", counts.closesAnnounced).field("crossed", counts.crossed).field("cut", counts.cut);
  out.field("malformed", counts.malformed).field("left", counts.left).key("byStatus").object();
  for (const auto& [status, count] : counts.byStatus) out.field(absl::StrCat(status), count);
  out.closeObject().closeObject();
  return say(Exit::kDone, out.take());
}
}  // namespace

int runRehearsal(const std::vector<std::string>& words) {
  const std::string what = words.size() > 1 ? words[1] : "";
  if (what == "keepalive") return rehearseKeepAlive();
  Log4cxxSink log("rehearse-" + what);
  setLogSink(&log);
  Stage stage;
  auto self = parseAddress(absl::GetFlag(FLAGS_http));
  const bool serves = what == "worker" || what == "platform";
  if (!serves && what != "caller") return say(Exit::kUsage, "rehearse worker|platform|caller|keepalive");
  if (serves && !std::holds_alternative<Address>(self)) return say(Exit::kUsage, "http: is not IP:PORT");
  HttpInEv httpIn(stage.loop, serves ? std::get<Address>(self) : Address());
  Ports ports{stage.loop, stage.loop, stage.wire, httpIn, stage.httpOut, nullptr, stage.chance};
  if (!serves) return rehearseCaller(stage, ports);
  if (!httpIn.listen()) return say(Exit::kUsage, "http: cannot listen there");
  if (what == "platform") {
    RehearsePlatform platform(ports);
    platform.begin();
    stage.loop.run();
    return 0;
  }
  WorkerPlan plan;
  plan.pool = absl::GetFlag(FLAGS_pool);
  plan.zone = absl::GetFlag(FLAGS_zone);
  plan.slots = static_cast<std::uint32_t>(std::max(1, absl::GetFlag(FLAGS_slots)));
  plan.oddsTruncate = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_oddsTruncate));
  plan.oddsSwap = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_oddsSwap));
  plan.oddsSilent = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_oddsSilent));
  auto platform = parseAddress(absl::GetFlag(FLAGS_platform));
  if (auto* address = std::get_if<Address>(&platform)) plan.platform = *address;
  WorkerLedger ledger;
  RunRecord record(absl::GetFlag(FLAGS_record));
  RehearseWorker worker(ports, std::get<Address>(self), plan, ledger);
  worker.started.connect(sigc::mem_fun(record, &RunRecord::onStarted));
  worker.begin();
  stage.loop.run();
  return 0;
}

}  // namespace stonemount
