// Nodes that take and run standing lots on a real store of simulated machines, with workers that are played:
// what each lot asks for is checked against what comes back (design.md 9.8).
#pragma once

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>

#include <cstdio>

#include "config/json.h"
#include "platform/lots.h"
#include "simulator/fleet.h"

namespace stonemount {

struct ItemLog {
  std::uint32_t sends = 0, wholes = 0, failures = 0, declined = 0;
};
// What went to workers, from all nodes; outlives them.
struct WorkLog {
  std::map<std::string, ItemLog> items;
  std::vector<std::string> wrong;
  std::function<bool(const PassOrder&)> mayGo = [](const PassOrder& order) { return order.pool == "models"; };
};

inline std::string eventText(const std::string& item, std::uint64_t number) {
  return absl::StrCat("\"", item, "\"\t", number);
}
inline std::uint64_t eventsOf(const std::string& item) { return 3 + spread(item) % 9; }

// Plays the workers: whole answers, broken ones, refusals, failures, silence.
class PlayedWorkers : public ItemPasser {
 public:
  PlayedWorkers(Ports& ports, WorkLog& log) : ports_(ports), log_(log) {}
  Job<PassEnding> passItem(PassOrder order, PassSink& sink) override {
    const std::string item = order.exchange;
    ItemLog& log = log_.items[item];
    if (running_ >= places || (oddsNotRun > 0 && ports_.chance.oneIn(oddsNotRun))) co_return PassNotRun{20 * kMilliUs};
    const Place place(running_);
    ++log.sends;
    const bool asHanded = order.ask.method == "POST" && order.ask.target == "/bulk/" + item + "?a=b" &&
                          order.ask.headers["attempt-id"] == item && order.ask.headers["host"] == "h.example" &&
                          order.ask.headers["model"] == "m" && order.ask.body == bodyOf(item) && log_.mayGo(order);
    if (!asHanded) log_.wrong.push_back(item + " was sent otherwise than handed in");
    lastSendUs[item] = ports_.clock.monoUs();
    if (item.find("poison") != std::string::npos) {
      ++log.declined;
      co_return PassDeclined{};
    }
    if (item.find("fails") != std::string::npos || (oddsFailed > 0 && ports_.chance.oneIn(oddsFailed))) {
      ++log.failures;
      co_return PassFailed{500, {}, {}};
    }
    const bool dark = oddsDark > 0 && ports_.chance.oneIn(oddsDark);
    const bool breaks = oddsBroken > 0 && ports_.chance.oneIn(oddsBroken);
    const std::uint64_t last = eventsOf(item);
    const std::uint64_t until = breaks ? ports_.chance.below(last + 1) : last;
    std::uint64_t number = order.lastEvent ? *order.lastEvent + 1 : 1;
    // Now and then one skips what it should have said: it must not be joined on.
    if (order.lastEvent && number < until && oddsSkips > 0 && ports_.chance.oneIn(oddsSkips)) ++number;
    for (; number <= until && !sink.left(); ++number) {
      EventWait hear(ports_.timers, sink.event(), eventUs);
      co_await hear;
      if (sink.left()) break;
      sink.event({number, eventText(item, number), {}});
    }
    while (dark && !sink.left()) {
      EventWait hear(ports_.timers, sink.event(), kSecondUs);
      co_await hear;
    }
    if (sink.left() || breaks) co_return PassBroken{true};
    ++log.wholes;
    co_return PassWhole{200};
  }
  std::size_t roomForLots(const std::string&) const override {
    return room && running_ < places ? places - running_ : 0;
  }
  static Bytes bodyOf(const std::string& item) {
    return Bytes("\0\xff\n", 3) + item + Bytes(spread(item) % 50, '\x80');
  }
  std::uint64_t oddsNotRun = 0, oddsFailed = 0, oddsBroken = 0, oddsDark = 0, oddsSkips = 0;
  Us eventUs = 40 * kMilliUs;
  bool room = true;
  std::size_t places = 1000;  // items that this node may have at workers at once
  std::map<std::string, Us> lastSendUs;

 private:
  class Place {
   public:
    explicit Place(std::size_t& running) : running_(running) { ++running_; }
    Place(const Place&) = delete;
    ~Place() { --running_; }

   private:
    std::size_t& running_;
  };
  Ports& ports_;
  WorkLog& log_;
  std::size_t running_ = 0;
};

class HeardReply : public HttpReply {
 public:
  void begin(int given, const HeaderMap& head) override { status = given, headers = head; }
  void chunk(const Bytes& bytes) override { body += bytes; }
  void end() override { done = true; }
  void whole(int given, const HeaderMap& head, const Bytes& bytes) override {
    status = given, headers = head, body = bytes, done = true;
  }
  std::size_t backlogBytes() const override { return 0; }
  int status = 0;
  HeaderMap headers;
  Bytes body;
  bool done = false;
};

// A node as far as standing lots go.
struct LotNode {
  LotNode(SimHost& given, GossipPlan gossipPlan, const ControlState& control, WorkLog& log)
      : host(given),
        ports(given.ports()),
        rpc(given, given, given.chance),
        gossip(ports, rpc, room, std::move(gossipPlan)),
        store(ports, rpc, {}),
        board(given, control, {given.zone(), given.wire()}),
        workers(ports, log),
        scheduler(ports, rpc, room, store, board, control, gossip, given.zone(), passingPlan({}, Bounds())),
        lotService(ports, rpc, store, scheduler, control, {}),
        lots(lotService) {
    PeerRecord record;
    record.role = Role::kNode;
    record.zone = given.zone();
    gossip.met.connect(sigc::mem_fun(*this, &LotNode::onMet));
    gossip.begin(record);
    scheduler.passThrough(workers);
    scheduler.begin();
  }
  ~LotNode() { room.clear(); }
  void onMet(const PeerRecord& record) {
    if (record.role == Role::kStore) store.learnMember(record.wire);
  }
  SimHost& host;
  Ports ports;
  TaskRoom room;
  RpcEndpoint rpc;
  Gossip gossip;
  ChainClient store;
  WorkerLoadTable board;
  PlayedWorkers workers;
  Scheduler scheduler;
  LotService lotService;
  platform::Lots lots;
};

class LotsRig {
 public:
  explicit LotsRig(std::uint64_t seed, std::size_t nodes = 3, Us retentionUs = 60 * kSecondUs)
      : fleet(seed, shapeOf()) {
    Route route;
    route.name = "nightly";
    route.host = "h.example";
    route.prefix = "/bulk/";
    route.pool = "models";
    route.lots = true;
    route.completionUs = 12 * kSecondUs;
    route.retentionUs = retentionUs;
    route.attempts = 3;
    control.putRoute(route);
    for (Part& part : fleet.parts()) fleet.start(part);
    fleet.runUntilReady(30 * kSecondUs);
    this->nodes.resize(nodes);
    for (std::uint32_t i = 0; i < nodes; ++i) {
      const std::uint32_t ip = (127u << 24) | (1u << 16) | (300 + i);
      hosts.push_back(&fleet.world().addHost(
          absl::StrCat("edge-", i), fleet.shape().zones[i % fleet.shape().zones.size()], {ip, 7000}, {ip, 8000}));
      start(i);
    }
    fleet.run(3 * kSecondUs);
  }
  static FleetShape shapeOf() {
    FleetShape shape = posilkaShape();
    shape.nodes = shape.models = shape.apps = 1;
    return shape;
  }
  void start(std::size_t i) {
    hosts[i]->rise();
    GossipPlan plan;
    for (Part* part : fleet.of(PartKind::kStore)) plan.seeds.push_back(part->host->wire());
    nodes[i] = std::make_unique<LotNode>(*hosts[i], plan, control, log);
    nodes[i]->scheduler.setPlace({static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(nodes.size())});
  }
  void kill(std::size_t i) {
    nodes[i].reset();
    hosts[i]->fall();
  }
  std::shared_ptr<HeardReply> begin(std::size_t node, const std::string& method, const std::string& path,
                                    HeaderMap headers = {}, Bytes body = "") {
    HttpAsk ask;
    ask.method = method;
    ask.target = path;
    ask.path = path.substr(0, path.find('?'));
    if (path.find('?') != std::string::npos) {
      const std::string query = path.substr(path.find('?') + 1);
      ask.query[query.substr(0, query.find('='))] = query.substr(query.find('=') + 1);
    }
    ask.headers = std::move(headers);
    ask.headers["host"] = "h.example";
    ask.body = std::move(body);
    auto reply = std::make_shared<HeardReply>();
    if (!nodes[node]->lots.handle(ask, reply)) reply->status = -1, reply->done = true;
    return reply;
  }
  std::shared_ptr<HeardReply> ask(std::size_t node, const std::string& method, const std::string& path,
                                  HeaderMap headers = {}, Bytes body = "") {
    auto reply = begin(node, method, path, std::move(headers), std::move(body));
    for (int i = 0; i < 8000 && !reply->done; ++i) fleet.run(kMilliUs);
    return reply;
  }
  static Bytes lotOf(const std::vector<std::string>& items) {
    Bytes body = R"({"Entries":[)";
    for (const std::string& item : items)
      absl::StrAppend(&body, body.back() == '[' ? "" : ",", R"({"Id":")", item, R"(","Path":"/bulk/)", item,
                      R"(?a=b","Headers":{"Model":"m"},"Body":")", absl::Base64Escape(PlayedWorkers::bodyOf(item)),
                      R"(","Tokens":9})");
    return body + "]}";
  }
  std::shared_ptr<HeardReply> submit(std::size_t node, const std::string& lot, const std::vector<std::string>& items) {
    return ask(node, "POST", "/bulk/" + lot, {{"attempt-id", lot}}, lotOf(items));
  }
  static Bytes textOf(const std::string& item) {
    Bytes text;
    for (std::uint64_t number = 1; number <= eventsOf(item); ++number)
      text += (number > 1 ? "\n" : "") + eventText(item, number);
    return text;
  }
  static void expect(bool well, const std::string& what) {
    ++(well ? passed : failed);
    if (!well) std::printf("FAILED %s\n", what.c_str());
  }
  static inline int passed = 0, failed = 0;
  WorkLog log;
  ControlState control;
  Fleet fleet;
  std::vector<SimHost*> hosts;
  std::vector<std::unique_ptr<LotNode>> nodes;
};

}  // namespace stonemount
