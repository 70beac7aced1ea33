// Nodes that face callers with keys, in whole: cores that take the operator's configurations, stores, nodes behind the
// platform's front, and workers that write down what reaches them. All of it is simulated.
#pragma once

#include "platform/front.h"
#include "platform/workers.h"
#include "platform_rig.h"
#include "store/store.h"
#include "tenant_texts.h"

namespace stonemount {

class CallerReply : public HttpReply {
 public:
  void begin(int given, const HeaderMap& head) override { status = given, headers = head; }
  void chunk(const Bytes& bytes) override { body += bytes; }
  void end() override { done = true; }
  void whole(int given, const HeaderMap& head, const Bytes& bytes) override { begin(given, head), chunk(bytes), end(); }
  std::size_t backlogBytes() const override { return 0; }
  int status = 0;
  HeaderMap headers;
  Bytes body;
  bool done = false;
};
using CallerReplyPtr = std::shared_ptr<CallerReply>;

// What reached a worker.
struct ArrivedRequest {
  std::string service;
  HttpAsk ask;
  std::string header(const std::string& name) const {
    const auto found = ask.headers.find(name);
    return found == ask.headers.end() ? "(none)" : found->second;
  }
};

// Answers at once, or when it is let to.
class TenantWorker : public sigc::trackable {
 public:
  TenantWorker(SimHost& host, std::string service, std::vector<ArrivedRequest>& sights)
      : host_(host), service_(std::move(service)), sights_(sights) {
    host.rise();
    asked_ = host.asked.connect(sigc::mem_fun(*this, &TenantWorker::onAsked));
  }
  ~TenantWorker() { asked_.disconnect(); }
  SimHost& host() { return host_; }
  void release() {
    for (auto& [ask, reply] : held_) answer(ask, *reply);
    held_.clear();
  }
  bool holds = false;           // what comes
  std::uint64_t turnsAway = 0;  // so many of those to come

 private:
  void onAsked(const HttpAsk& ask, ReplyPtr reply) {
    if (ask.method == "GET" && ask.path == "/health") return reply->whole(200, {}, "");
    sights_.push_back({service_, ask});
    const bool full = turnsAway > 0;
    if (full) --turnsAway;
    if (full) return reply->whole(503, {{"attempt-id", idOf(ask)}, {"not-executed", "1"}}, "");
    if (!holds) return answer(ask, *reply);
    held_.emplace_back(ask, std::move(reply));
  }
  static std::string idOf(const HttpAsk& ask) {
    const auto found = ask.headers.find("attempt-id");
    return found == ask.headers.end() ? "" : found->second;
  }
  // An item of a lot gets events.
  static void answer(const HttpAsk& ask, HttpReply& reply) {
    const bool events = ask.path.rfind("/lots/", 0) == 0;
    const char* type = events ? "text/event-stream" : "text/plain";
    const HeaderMap head{{"attempt-id", idOf(ask)}, {"server-seal", "seal"}, {"content-type", type}};
    reply.whole(200, head, events ? "id: 1\ndata: one\n\nid: 2\ndata: two\n\n" : "ok");
  }
  SimHost& host_;
  std::string service_;
  std::vector<ArrivedRequest>& sights_;
  std::vector<std::pair<HttpAsk, ReplyPtr>> held_;
  sigc::connection asked_;
};

class TenantRig : public PlatformRig {
 public:
  struct EdgeIn : public HttpIn {};
  struct EdgeNode {
    SimHost* host = nullptr;
    std::unique_ptr<Ports> ports;
    std::unique_ptr<Node> node;
    std::unique_ptr<EdgeIn> in = std::make_unique<EdgeIn>();
    std::unique_ptr<platform::Front> front;
  };
  struct StoreProcess {
    SimHost* host = nullptr;
    std::unique_ptr<Ports> ports;
    std::unique_ptr<Store> store;
  };
  explicit TenantRig(std::uint64_t seed, bool withStores = false) : PlatformRig(seed) {
    for (std::uint32_t i = 0; i < kWorkers; ++i) addWorker(i);
    for (std::uint32_t i = 0; withStores && i < 3; ++i) addStore(i);
    for (std::uint32_t i = 0; i < kNodes; ++i) addNode(i);
    run((withStores ? 8 : 3) * kSecondUs);
  }
  ~TenantRig() {
    for (EdgeNode& one : edges) {
      one.front.reset();
      one.node.reset();
      one.host->fall();
    }
    for (StoreProcess& one : stores_) {
      one.store.reset();
      one.host->fall();
    }
  }
  // The operator's call at one core, on top of what stands.
  int push(const std::string& method, std::uint64_t revision, const std::string& body) {
    const Heard heard = ask(0, method, "/api/configuration", body, std::to_string(standing));
    if (heard.status == 200) standing = revision;
    return heard.status;
  }
  // The same, and every node that hears control has the news.
  void configure(const std::string& method, std::uint64_t revision, const std::string& body) {
    const int status = push(method, revision, body);
    expect(status == 200, absl::StrCat("SHORT: a valid ", method, " of revision ", revision, " gave ", status));
    for (int i = 0; i < 1000 && !heardEverywhere(); ++i) run(5 * kMilliUs);
    expect(heardEverywhere(), absl::StrCat("every node has revision ", standing));
  }
  bool heardEverywhere() const {
    for (const EdgeNode& one : edges)
      if (revisionOf(one) != standing) return false;
    return true;
  }
  static Revision revisionOf(const EdgeNode& one) { return one.node->configCache().state().configRevision(); }
  HttpAsk request(const std::string& path, HeaderMap headers = {}, Bytes body = "") {
    HttpAsk wish;
    wish.method = "POST";
    wish.path = wish.target = path;
    wish.headers = std::move(headers);
    wish.headers["host"] = "a.example";
    wish.headers["deadline-ms"] = "3000";
    if (!wish.headers.contains("attempt-id")) wish.headers["attempt-id"] = absl::StrCat("x", ++lastId_);
    wish.body = std::move(body);
    return wish;
  }
  CallerReplyPtr begin(std::size_t edge, const HttpAsk& wish) {
    auto reply = std::make_shared<CallerReply>();
    edges[edge].in->asked.emit(wish, reply);
    return reply;
  }
  CallerReplyPtr call(std::size_t edge, const HttpAsk& wish) {
    CallerReplyPtr reply = begin(edge, wish);
    for (int i = 0; i < 4000 && !reply->done; ++i) run(kMilliUs);
    return reply;
  }
  CallerReplyPtr call(const std::string& path, HeaderMap headers = {}) {
    return call(0, request(path, std::move(headers)));
  }
  // All tries of that id that a worker has seen.
  std::vector<const ArrivedRequest*> sightsOf(const std::string& id) const {
    std::vector<const ArrivedRequest*> found;
    for (const ArrivedRequest& sight : sights)
      if (sight.header("attempt-id") == id) found.push_back(&sight);
    return found;
  }
  std::uint64_t standing = 0;  // the revision that was acknowledged last
  std::vector<ArrivedRequest> sights;
  std::deque<TenantWorker> workers;
  std::deque<EdgeNode> edges;
  static constexpr std::uint32_t kWorkers = 4, kNodes = 2;

 private:
  SimHost& addMachine(const std::string& name, std::uint32_t number, std::uint32_t zone) {
    return world.addHost(name, absl::StrCat("z", zone % 3 + 1), {kNet + number, 7000}, {kNet + number, 8000});
  }
  void addWorker(std::uint32_t i) {
    const std::string service = i % 2 == 0 ? "s0" : "s1";
    SimHost& host = addMachine(absl::StrCat("worker-", i), 50 + i, i / 2);
    workers.emplace_back(host, service, sights);
    instances->instances.push_back({absl::StrCat("i-", i), service, host.zone(), "ready", host.http(), 0});
  }
  GossipPlan gossipPlan() const {
    GossipPlan plan;
    for (const CoreProcess& core : cores) plan.seeds.push_back(core.settings.wire);
    return plan;
  }
  void addStore(std::uint32_t i) {
    StoreProcess& one = stores_.emplace_back();
    one.host = &addMachine(absl::StrCat("store-", i), 21 + i, i);
    one.host->disk = std::make_unique<SimDisk>(*one.host, 8, 1 << 20);
    one.host->rise();
    one.ports = std::make_unique<Ports>(one.host->ports());
    Settings settings = settingsOf(*one.host);
    for (std::uint32_t j = 0; j < 3; ++j) settings.founders.push_back({kNet + 21 + j, 7000});
    one.store = std::make_unique<Store>(*one.ports, settings, gossipPlan(), StorePlan());
    one.store->begin();
  }
  void addNode(std::uint32_t i) {
    EdgeNode& one = edges.emplace_back();
    one.host = &addMachine(absl::StrCat("edge-", i), 41 + i, i);
    one.host->rise();
    one.ports = std::make_unique<Ports>(one.host->ports());
    Settings settings = settingsOf(*one.host);
    for (const CoreProcess& core : cores) settings.seeds.push_back(core.settings.wire);
    NodePlan plan;
    plan.gossip = gossipPlan();
    plan.dialect = &dialect_;
    one.node = std::make_unique<Node>(*one.ports, settings, plan);
    one.front = std::make_unique<platform::Front>(*one.node, *one.in, nullptr);
    one.node->begin();
  }
  static Settings settingsOf(const SimHost& host) {
    Settings settings;
    settings.wire = host.wire();
    settings.http = host.http();
    settings.zone = host.zone();
    settings.name = host.name();
    return settings;
  }
  platform::Workers dialect_;
  std::deque<StoreProcess> stores_;
  std::uint64_t lastId_ = 0;
};

}  // namespace stonemount
