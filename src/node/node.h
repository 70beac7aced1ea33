// A data-plane node: the HTTP front, live traffic, the scheduler of lots, the operators' rpc
// (design.md 9).
#pragma once

#include "config/config_cache.h"
#include "config/platform_list.h"
#include "config/rule.h"
#include "config/settings.h"
#include "node/lot_desk.h"
#include "node/platform_relay.h"
#include "node/worker_sharing.h"
#include "proxy/gateway.h"
#include "proxy/health_watch.h"
#include "proxy/proxy.h"
#include "proxy/warmth_probe.h"
#include "quota/configured_limits.h"
#include "quota/quota_client.h"

namespace stonemount {

struct NodePlan {
  GossipPlan gossip;
  ProxyPlan proxy;
  SchedulerPlan scheduler;
  GatewayPlan gateway;
  LotServicePlan lotService;
  const WorkerDialect* dialect = nullptr;  // set: requests are passed through to workers that are spoken to in it
  WorkerListSource* list = nullptr;        // none: the settings' platform, if there is one
};

class Node {
 public:
  Node(Ports& ports, Settings settings, NodePlan plan);
  ~Node();
  void begin();
  void drain();
  // Draining, it takes no more requests of callers either; those it has go on to their end.
  void refuseNew();
  bool admits() const { return gateway_ == nullptr || gateway_->admits(); }
  bool idle() const;
  // Takes requests: it knows a configuration, is not leaving, and does not go by news from before a freeze.
  bool ready() const { return configCache_.ready() && !draining_ && board_.awake(); }
  Gateway* gateway() { return gateway_.get(); }           // none: nothing is passed through here
  LotService* lotService() { return lotService_.get(); }  // none: no standing lots are taken here
  sigc::signal<void()>& almanacNews() { return configCache_.news; }
  const ConfigCache& configCache() const { return configCache_; }
  const Proxy& proxy() const { return proxy_; }
  const Scheduler& scheduler() const { return scheduler_; }
  const WorkerLoadTable& board() const { return board_; }
  Gossip& gossip() { return gossip_; }

 private:
  using Parts = std::vector<std::string>;
  // front.cc: callers
  void onAsked(const HttpAsk& ask, ReplyPtr reply);
  void frontCaller(const HttpAsk& ask, const Parts& parts, ReplyPtr reply);
  const Route* chooseRoute(const Route& asked, const HttpAsk& ask, std::size_t bytes);
  void enterLive(const HttpAsk& ask, RouteKind kind, const std::string& route, ReplyPtr reply);
  // lots.cc
  void frontLots(const HttpAsk& ask, const Parts& parts, ReplyPtr reply);
  Task submitLot(HttpAsk ask, std::string event, ReplyPtr reply);
  Task showLot(HttpAsk ask, std::string lot, std::string part, ReplyPtr reply);
  Task endLot(std::string lot, ReplyPtr reply);
  // operators.cc
  void frontOperator(const HttpAsk& ask, const Parts& parts, ReplyPtr reply);
  Task putConfig(HttpAsk ask, bool whole, ReplyPtr reply);
  Task showConfig(ReplyPtr reply);
  Task showHistory(ReplyPtr reply);
  Task returnConfig(HttpAsk ask, ReplyPtr reply);
  Job<std::optional<Revision>> zoneOrdered(std::string zone, ReplyPtr reply);
  Task setZone(std::string zone, bool evacuated, ReplyPtr reply);
  Task createEvent(HttpAsk ask, ReplyPtr reply);
  Task closeEvent(std::string name, ReplyPtr reply);
  Task showEvents(std::string name, ReplyPtr reply);
  Task showWorkers(ReplyPtr reply);
  Task changeVoters(HttpAsk ask, bool core, std::string verb, ReplyPtr reply);
  // inspect.cc
  Task showClock(ReplyPtr reply);
  Task showStatus(ReplyPtr reply);
  Task showStore(ReplyPtr reply);
  Task doctor(ReplyPtr reply);
  void showMetrics(ReplyPtr reply);
  void showPassed(JsonOut& out) const;
  void showItemTimes(JsonOut& out) const;
  void showLatency(ReplyPtr reply) const;
  void showHistograms(ReplyPtr reply) const;

  Job<ChainAnswer> askCore(ControlQuery query);
  Job<std::optional<ControlVerdict>> commandCore(ControlCommand command, ReplyPtr reply);
  Job<std::optional<StoreVerdict>> commandStore(StoreCommand command, ReplyPtr reply);
  void chainFailed(HttpReply& reply, const ChainFailure& failure, bool command);
  void onMet(const PeerRecord& record);
  void onNews();
  void onContact(const ControlContact& contact) { scheduler_.setPlace(contact.place); }
  void onWorkerGone(const Address& worker) { ports_.httpOut.closeKept(worker); }
  std::vector<Address> knownCores() const;
  void countQuotas();
  void showQuotas(JsonOut& out) const;
  Task keepNodes();
  std::vector<Address> knownNodes() const;
  Task keepMarks();
  Task watchLatency();
  void takePlatformMarks(const std::vector<ListedWorker>& marked, Us askedUs);
  bool controlSilent() const;
  bool wantsPlatform() const;
  void methodRefused(HttpReply& reply, const char* allowed);

  Ports& ports_;
  Settings settings_;
  TaskRoom room_;
  RpcEndpoint rpc_;
  Gossip gossip_;
  ChainClient core_;
  ChainClient store_;
  ConfigCache configCache_;
  WorkerLoadTable board_;
  HealthWatch health_;
  Proxy proxy_;
  std::unique_ptr<PoolLoadTable> pools_;  // only where requests are passed through
  std::unique_ptr<WorkerSharing> sharing_;
  std::unique_ptr<WarmthProbe> warmthProbe_;
  ConfiguredLimits quotaLimits_;
  std::unique_ptr<QuotaClient> quotas_;
  std::unique_ptr<Gateway> gateway_;
  std::unique_ptr<LotService> lotService_;
  Scheduler scheduler_;
  RuleBook rules_;
  PlatformListSource ownList_;
  WorkerListSource* list_;
  std::unique_ptr<PlatformRelay> relay_;  // only where there is a platform
  Us begunUs_ = 0;
  bool marked_ = false;  // leaving marks of the platform's are held
  sigc::connection asked_;
  bool draining_ = false;
};

}  // namespace stonemount
