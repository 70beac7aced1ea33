#include "node/node.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "control/operator_service.h"

namespace stonemount {

namespace {
constexpr std::size_t kHeaderBytes = 16 << 10;
constexpr std::size_t kBodyBytes = 4 << 20;
constexpr Us kOrderUs = 4 * kSecondUs;  // an order's answer comes by then, its fate known or not
constexpr Us kSureUs = 2 * kSecondUs;   // ... or by then, if it was surely not taken
constexpr Us kLoopTickUs = 200 * kMilliUs;
constexpr std::uint32_t kTellTicks = 5;  // between two tellings of late answers
}  // namespace

Node::Node(Ports& ports, Settings settings, NodePlan plan)
    : ports_(ports),
      settings_(std::move(settings)),
      rpc_(ports.timers, ports.wire, ports.chance),
      gossip_(ports, rpc_, room_, plan.gossip),
      core_(ports, rpc_, plan.dialect != nullptr ? settings_.seeds : std::vector<Address>()),
      store_(ports, rpc_, {}),
      configCache_(ports, rpc_, room_, core_, gossip_),
      board_(ports.clock, configCache_.state(), {settings_.zone, settings_.wire}),
      health_(ports, room_, board_),
      proxy_(ports, room_, board_, configCache_.state(), plan.proxy, hexText(ports.chance.next())),
      quotaLimits_(configCache_.state()),
      scheduler_(ports, rpc_, room_, store_, board_, configCache_.state(), gossip_, settings_.zone,
                 plan.dialect != nullptr ? passingPlan(plan.scheduler, settings_.bounds) : plan.scheduler),
      ownList_(ports, settings_.platform),
      list_(plan.list) {
  if (list_ == nullptr && settings_.platform.set()) list_ = &ownList_;
  if (list_ != nullptr)
    relay_ = std::make_unique<PlatformRelay>(ports, rpc_, gossip_, *list_, sigc::mem_fun(*this, &Node::wantsPlatform));
  if (plan.dialect == nullptr) return;
  PoolLoadTablePlan board;
  board.zone = settings_.zone;
  board.self = settings_.wire;
  pools_ = std::make_unique<PoolLoadTable>(ports.clock, configCache_.state(), board);
  sharing_ = std::make_unique<WorkerSharing>(ports.clock, *pools_, settings_.bounds.listLagUs);
  configCache_.contact.connect(sigc::mem_fun(*sharing_, &WorkerSharing::onContact));
  configCache_.contact.connect(sigc::mem_fun(*this, &Node::onContact));
  pools_->gone.connect(sigc::mem_fun(*this, &Node::onWorkerGone));
  warmthProbe_ = std::make_unique<WarmthProbe>(ports, room_, *pools_, configCache_.state(), *plan.dialect);
  gateway_ = std::make_unique<Gateway>(ports, room_, *pools_, configCache_.state(), *plan.dialect, plan.gateway);
  scheduler_.passThrough(*gateway_);
  plan.lotService.keepUs = std::max(plan.lotService.keepUs, settings_.bounds.statusUs + settings_.bounds.statusUs / 4);
  lotService_ = std::make_unique<LotService>(ports, rpc_, store_, scheduler_, configCache_.state(), plan.lotService);
}

Node::~Node() {
  asked_.disconnect();
  room_.clear();
}

void Node::begin() {
  PeerRecord record;
  record.http = settings_.http;
  record.role = Role::kNode;
  record.zone = settings_.zone;
  gossip_.met.connect(sigc::mem_fun(*this, &Node::onMet));
  configCache_.news.connect(sigc::mem_fun(*this, &Node::onNews));
  gossip_.begin(record);
  configCache_.begin();
  proxy_.begin();
  scheduler_.begin();
  room_.start(keepNodes());
  begunUs_ = ports_.clock.monoUs();
  if (relay_ != nullptr) {
    relay_->heard.connect(sigc::mem_fun(*this, &Node::takePlatformMarks));
    relay_->begin(room_);
    room_.start(keepMarks());
  }
  if (gateway_ != nullptr) room_.start(watchLatency());
  if (gateway_ != nullptr) countQuotas();
  asked_ = ports_.httpIn.asked.connect(sigc::mem_fun(*this, &Node::onAsked));
}

void Node::drain() {
  draining_ = true;
  gossip_.self().draining = true;
  proxy_.drain();
  scheduler_.drain();
  if (gateway_ != nullptr) gateway_->drain();
}

void Node::refuseNew() {
  if (gateway_ != nullptr) gateway_->refuseNew();
}

bool Node::idle() const {
  const bool passing = gateway_ != nullptr && (gateway_->holding() > 0 || gateway_->relaying() > 0);
  const bool taking = lotService_ != nullptr && !lotService_->idle();
  return !passing && !taking && proxy_.waiting() == 0 && proxy_.relaying() == 0 && scheduler_.idle();
}

void Node::onMet(const PeerRecord& record) {
  if (record.role == Role::kCore) core_.learnMember(record.wire);
  if (record.role == Role::kStandby) core_.forgetMember(record.wire);
  if (record.role == Role::kStore) store_.learnMember(record.wire);
}

void Node::onNews() {
  board_.relist();
  if (pools_ != nullptr)
    pools_->relist();
  else
    health_.relist();
}

// Also those that have gone silent and are not forgotten yet.
std::vector<Address> Node::knownNodes() const {
  std::vector<Address> known;
  for (const auto& [address, sight] : gossip_.sights())
    if (sight.record.role == Role::kNode) known.push_back(address);
  return known;
}

Task Node::keepNodes() {
  while (true) {
    std::vector<Address> nodes;
    for (const PeerRecord& record : gossip_.alive(Role::kNode)) nodes.push_back(record.wire);
    if (sharing_ != nullptr) sharing_->shareOut(knownNodes(), gossip_.settled());
    board_.setNodes(std::move(nodes));
    board_.tick();
    board_.controlHeard(configCache_.freshUs());
    Pause pause(ports_.timers, 200 * kMilliUs);
    co_await pause;
  }
}

// By how much this process is late with what it set itself, and which answers were late.
Task Node::watchLatency() {
  for (std::uint32_t tick = 1;; ++tick) {
    const Us dueUs = ports_.clock.monoUs() + kLoopTickUs;
    Pause pause(ports_.timers, kLoopTickUs);
    co_await pause;
    gateway_->noteLoopDelay(std::max<Us>(0, ports_.clock.monoUs() - dueUs));
    if (tick % kTellTicks != 0) continue;
    gateway_->tellLateAnswers();
    scheduler_.tellItemTimes();
  }
}

void Node::methodRefused(HttpReply& reply, const char* allowed) {
  HeaderMap headers{{"allow", allowed}};
  JsonOut out;
  out.object().field("verdict", "wrong_method").field("allowed", allowed).closeObject();
  reply.whole(405, headers, out.take() + "\n");
}

void Node::onAsked(const HttpAsk& ask, ReplyPtr reply) {
  std::size_t headerBytes = ask.path.size();
  for (const auto& [name, value] : ask.headers) headerBytes += name.size() + value.size();
  if (headerBytes > kHeaderBytes) return sendVerdict(*reply, 431, "headers_too_long");
  if (ask.body.size() > kBodyBytes) return sendVerdict(*reply, 413, "body_too_long");
  const Parts parts = absl::StrSplit(ask.path, '/', absl::SkipEmpty());
  if (!parts.empty() && parts[0] == "v1") return frontCaller(ask, parts, reply);
  if (!parts.empty() && parts[0] == "op") return frontOperator(ask, parts, reply);
  if (ask.path == "/metrics") return showMetrics(reply);
  if (ask.path == "/metrics/latency") return showLatency(reply);
  if (ask.path == "/metrics/prometheus") return showHistograms(reply);
  sendVerdict(*reply, 404, "unknown_path", {{"path", ask.path}});
}

Job<ChainAnswer> Node::askCore(ControlQuery query) {
  Job<ChainAnswer> asking = core_.read(pack(query), 0, 3 * kSecondUs);
  ChainAnswer answer = co_await asking;
  co_return answer;
}

void Node::chainFailed(HttpReply& reply, const ChainFailure& failure, bool command) {
  // A command whose fate is not known may be sent again: it is applied once (design.md 6.8).
  if (failure.trouble == ChainError::kTooLong) return sendVerdict(reply, 413, "too_long_to_keep", {{"taken", "no"}});
  const bool unsure = command && failure.unsure;
  sendVerdict(reply, 503, "control_unreachable",
              {{"why", troubleText(failure.trouble)}, {"taken", unsure ? "unknown" : "no"}}, 1);
}

Job<std::optional<ControlVerdict>> Node::commandCore(ControlCommand command, ReplyPtr reply) {
  Job<ChainAnswer> sending = submitWhenHeard(ports_, core_, pack(command), kOrderUs, kSureUs);
  ChainAnswer answer = co_await sending;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) {
    chainFailed(*reply, *failure, true);
    co_return std::nullopt;
  }
  auto read = unpack<ControlVerdict>(std::get<Bytes>(answer));
  if (std::holds_alternative<BadBytes>(read)) {
    sendVerdict(*reply, 503, "control_unreadable", {}, 1);
    co_return std::nullopt;
  }
  co_return std::get<ControlVerdict>(read);
}

Job<std::optional<StoreVerdict>> Node::commandStore(StoreCommand command, ReplyPtr reply) {
  Job<ChainAnswer> sending = submitWhenHeard(ports_, store_, pack(command), kOrderUs, kSureUs);
  ChainAnswer answer = co_await sending;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) {
    chainFailed(*reply, *failure, true);
    co_return std::nullopt;
  }
  auto read = unpack<StoreVerdict>(std::get<Bytes>(answer));
  if (std::holds_alternative<BadBytes>(read)) {
    sendVerdict(*reply, 503, "store_unreadable", {}, 1);
    co_return std::nullopt;
  }
  co_return std::get<StoreVerdict>(read);
}

}  // namespace stonemount
