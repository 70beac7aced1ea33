// The long-lived roles on the real ports (design.md 2).
#include <absl/flags/flag.h>
#include <absl/strings/str_cat.h>

#include <cstdlib>
#include <random>

#include "adapters/disk_file.h"
#include "adapters/http.h"
#include "adapters/log.h"
#include "adapters/tcp_transport.h"
#include "cli/data_folder.h"
#include "cli/flags.h"
#include "cli/settings_watch.h"
#include "control/core.h"
#include "control/standby_core.h"
#include "node/graceful_stop.h"
#include "node/node.h"
#include "platform/front.h"
#include "platform/operator.h"
#include "platform/settings.h"
#include "platform/worker_list.h"
#include "platform/workers.h"
#include "store/store.h"

ABSL_FLAG(std::string, wire, "", "own address between processes, as 127.0.0.1:7001");
ABSL_FLAG(std::string, http, "", "own HTTP address");
ABSL_FLAG(std::string, zone, "", "the zone of this machine");
ABSL_FLAG(std::string, seeds, "", "three addresses of other processes, with commas");
ABSL_FLAG(std::string, founders, "", "core, store: the members that found the chain, with commas");
ABSL_FLAG(std::string, data, "", "core, store: the folder on the disk; a core without one stands by");
ABSL_FLAG(std::string, platform, "", "core, rehearse worker: HTTP address of the platform");
ABSL_FLAG(std::string, ringFiles, "", "core, store: files in the ring");
ABSL_FLAG(std::string, ringFileBytes, "", "core, store: bytes of each file in the ring");
ABSL_FLAG(std::string, memoryBytes, "", "core, store: what the process may take; bounds the state that it keeps");

namespace stonemount {

namespace {
HeaderMap givenFlags() {
  HeaderMap given;
  const std::pair<const char*, std::string> all[] = {{"wire", absl::GetFlag(FLAGS_wire)},
                                                     {"http", absl::GetFlag(FLAGS_http)},
                                                     {"zone", absl::GetFlag(FLAGS_zone)},
                                                     {"seeds", absl::GetFlag(FLAGS_seeds)},
                                                     {"founders", absl::GetFlag(FLAGS_founders)},
                                                     {"data", absl::GetFlag(FLAGS_data)},
                                                     {"platform", absl::GetFlag(FLAGS_platform)},
                                                     {"ringFiles", absl::GetFlag(FLAGS_ringFiles)},
                                                     {"ringFileBytes", absl::GetFlag(FLAGS_ringFileBytes)},
                                                     {"memoryBytes", absl::GetFlag(FLAGS_memoryBytes)}};
  for (const auto& [key, value] : all)
    if (!value.empty()) given[key] = value;
  return given;
}

std::uint64_t freshSeed() {
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32) ^ device();
}

constexpr Us kNoticeUs = 2800 * kMilliUs;  // until those who send callers have seen that a node leaves

// A node as that which drains. `front`, `frontIn`: none where no platform sends callers.
class NodeServer : public DrainingServer {
 public:
  NodeServer(Loop& loop, Node& node, platform::Front* front, const HttpInEv* frontIn)
      : loop_(loop), node_(node), front_(front), frontIn_(frontIn) {}
  void drain() override {
    node_.drain();
    if (front_ != nullptr) front_->drain();
  }
  void refuseNew() override { node_.refuseNew(); }
  // It is done once every answer has left.
  bool idle() const override { return node_.idle() && openRequests() == 0; }
  std::size_t openRequests() const override { return frontIn_ == nullptr ? 0 : frontIn_->openRequests(); }
  std::uint64_t takenWhileDraining() const override { return front_ == nullptr ? 0 : front_->takenWhileDraining(); }
  void stop() override { loop_.stop(); }

 private:
  Loop& loop_;
  Node& node_;
  platform::Front* front_;
  const HttpInEv* frontIn_;
};

// `watch`: none where no file tells the settings.
template <class Running>
void serve(Loop& loop, Running& running, SettingsWatch* watch) {
  if (watch != nullptr) watch->seedsChanged.connect(sigc::mem_fun(running.gossip(), &Gossip::setSeeds));
  running.begin();
  loop.run();
  logEvent("stopped", {});
}
}  // namespace

namespace {
// Where a process learns its place: the platform's file, if its variable is set and no other file is named;
// else the product's own settings, whose flags stand over the file.
struct Place {
  explicit Place(SettingsFor given) : kind(given), path(absl::GetFlag(FLAGS_settings)) {
    const char* bootFile = std::getenv(platform::kBootFileVariable);
    onPlatform = path.empty() && bootFile != nullptr;
    if (onPlatform) path = bootFile;
  }
  SettingsVerdict read(const std::string& text) const {
    return onPlatform ? platform::readBootFile(text, kind) : readSettings(text, givenFlags(), kind);
  }
  SettingsVerdict read() const {
    if (path.empty()) return read(std::string());
    std::optional<std::string> text = readWholeFile(path);
    if (!text) return SettingsFault{"(file)", "cannot be read"};
    return read(*text);
  }
  SettingsFor kind;
  std::string path;  // empty: flags alone
  bool onPlatform = false;
};

// The node role: its own interface, and the platform's callers where it has some.
int runNode(Loop& loop, Ports& ports, const Settings& settings, const GossipPlan& gossip, SettingsWatch* watch) {
  platform::Workers dialect;
  PlatformWorkerList list(ports, settings.platform);
  NodePlan plan;
  plan.gossip = gossip;
  if (settings.front.set()) {
    plan.dialect = &dialect;
    plan.list = &list;
  }
  HttpInEv frontIn(loop, settings.front);
  HttpInEv readinessIn(loop, settings.readiness);
  if (settings.front.set() && !frontIn.listen())
    return say(Exit::kUsage, "settings: cannot listen on " + addressText(settings.front));
  if (settings.readiness.set() && !readinessIn.listen())
    return say(Exit::kUsage, "settings: cannot listen on " + addressText(settings.readiness));
  Node node(ports, settings, plan);
  std::unique_ptr<platform::Front> front;
  if (settings.front.set())
    front = std::make_unique<platform::Front>(node, frontIn, settings.readiness.set() ? &readinessIn : nullptr);
  NodeServer server(loop, node, front.get(), front != nullptr ? &frontIn : nullptr);
  GracefulStop stopping(loop, loop, server, {settings.bounds.graceUs, front != nullptr ? kNoticeUs : 0});
  loop.farewell = &stopping;
  serve(loop, node, watch);
  loop.farewell = nullptr;
  return 0;
}

// A control process, with the platform's operator where that is served here.
template <class Control>
int serveControl(Loop& loop, Control& control, const Settings& settings, SettingsWatch* watch) {
  HttpInEv controlIn(loop, settings.control);
  if (settings.control.set() && !controlIn.listen())
    return say(Exit::kUsage, "settings: cannot listen on " + addressText(settings.control));
  PlatformOperator operators(control.operators(), &control.retireService(),
                             {settings.zones.begin(), settings.zones.end()});
  if (settings.control.set()) operators.begin(controlIn);
  serve(loop, control, watch);
  return 0;
}

// The core role; without a disk it stands by.
int runCore(Loop& loop, Ports& ports, const Settings& settings, const GossipPlan& gossip, bool onPlatform,
            SettingsWatch* watch) {
  if (settings.data.empty()) {
    StandbyCore standby(ports, settings, gossip);
    return serveControl(loop, standby, settings, watch);
  }
  PlatformWorkerList list(ports, settings.platform);
  CorePlan plan;
  plan.gossip = gossip;
  if (onPlatform) plan.list = &list;
  Core core(ports, settings, plan);
  return serveControl(loop, core, settings, watch);
}
}  // namespace

int runProcess(const std::string& role) {
  const SettingsFor kind = role == "core"    ? SettingsFor::kCore
                           : role == "store" ? SettingsFor::kStore
                                             : SettingsFor::kNode;
  const Place place(kind);
  SettingsVerdict read = place.read();
  if (auto* fault = std::get_if<SettingsFault>(&read))
    return say(Exit::kUsage, "settings: key " + fault->key + " " + fault->why);
  const Settings settings = std::get<Settings>(read);

  Log4cxxSink log(role + "@" + addressText(settings.wire));
  setLogSink(&log);
  Loop loop;
  TcpTransport wire(loop, settings.wire);
  HttpInEv httpIn(loop, settings.http);
  HttpOutEv httpOut(loop);
  Chance chance(freshSeed());
  std::unique_ptr<DiskFile> disk;
  if (kind != SettingsFor::kNode && !settings.data.empty()) {
    if (!lockFolder(settings.data))
      return say(Exit::kUsage, "settings: key data: another process uses " + settings.data);
    disk = std::make_unique<DiskFile>(loop, settings.data, static_cast<std::size_t>(settings.ringFiles),
                                      static_cast<std::size_t>(settings.ringFileBytes));
    if (!disk->open()) return say(Exit::kUsage, "settings: key data: cannot preallocate the ring in " + settings.data);
  }
  if (!wire.listen()) return say(Exit::kUsage, "settings: key wire: cannot listen on " + addressText(settings.wire));
  if (!httpIn.listen()) return say(Exit::kUsage, "settings: key http: cannot listen on " + addressText(settings.http));
  Ports ports{loop, loop, wire, httpIn, httpOut, disk.get(), chance};
  logEvent("starting", {{"role", role}, {"zone", settings.zone}, {"http", addressText(settings.http)}});
  std::optional<SettingsWatch> watched;
  if (!place.path.empty())
    watched.emplace(
        loop, place.path, [&place](const std::string& text) { return place.read(text); }, settings.seeds);
  SettingsWatch* watch = watched ? &*watched : nullptr;
  int result = 0;
  GossipPlan gossip;
  gossip.seeds = settings.seeds;
  for (const Address& founder : settings.founders)
    if (founder != settings.wire) gossip.seeds.push_back(founder);
  if (kind == SettingsFor::kCore) {
    result = runCore(loop, ports, settings, gossip, place.onPlatform, watch);
  } else if (kind == SettingsFor::kStore) {
    Store store(ports, settings, gossip, StorePlan());
    serve(loop, store, watch);
  } else {
    result = runNode(loop, ports, settings, gossip, watch);
  }
  setLogSink(nullptr);
  return result;
}

}  // namespace stonemount
