// A gateway in the simulated world: real board and dialect, scripted workers, callers that write down all
// they get (design.md 9.6, 13). Times are the world's.
#pragma once

#include "platform/words.h"
#include "platform/workers.h"
#include "proxy/gateway.h"
#include "simulator/world.h"
#include "stand_ins/pass_worker.h"

namespace stonemount {

// What one caller got, and when.
class Answer : public HttpReply {
 public:
  enum class State : std::uint8_t { kOpen, kBegun, kWhole, kAborted };
  explicit Answer(const World& world) : world_(world) {}
  void begin(int given, const HeaderMap& givenHeaders) override {
    STONEMOUNT_INVARIANT(state == State::kOpen);
    state = State::kBegun;
    status = given;
    headers = givenHeaders;
  }
  void chunk(const Bytes& bytes) override {
    STONEMOUNT_INVARIANT(state == State::kBegun);
    body += bytes;
  }
  void end() override { settle(State::kWhole); }
  void abort() override { settle(State::kAborted); }
  void whole(int given, const HeaderMap& givenHeaders, const Bytes& bytes) override {
    begin(given, givenHeaders);
    chunk(bytes);
    end();
  }
  std::size_t backlogBytes() const override { return readsNothing ? body.size() << 30 : 0; }
  bool settled() const { return state == State::kWhole || state == State::kAborted; }
  State state = State::kOpen;
  int status = 0;
  HeaderMap headers;
  Bytes body;
  Us overUs = -1;
  bool readsNothing = false;

 private:
  void settle(State given) {
    STONEMOUNT_INVARIANT(state == State::kBegun);
    state = given;
    overUs = world_.nowUs();
  }
  const World& world_;
};

// Until simulated channels check it themselves: the port breaks a channel whose answer is another's
// (HttpVia, design.md 3.2).
class EchoFlow : public HttpFlow, public sigc::trackable {
 public:
  EchoFlow(std::unique_ptr<HttpFlow> inner, HttpVia via) : inner_(std::move(inner)), via_(std::move(via)) {
    inner_->piece.connect(sigc::mem_fun(*this, &EchoFlow::put));
  }

 private:
  void put(HttpPiece given) {
    if (broken_) return;
    auto* head = std::get_if<HttpHead>(&given);
    if (head != nullptr && !via_.echoName.empty()) {
      auto echo = head->headers.find(via_.echoName);
      broken_ = echo == head->headers.end() || echo->second != via_.echoValue;
    }
    if (broken_) given = HttpBroken{};
    piece.emit(std::move(given));
  }
  std::unique_ptr<HttpFlow> inner_;
  HttpVia via_;
  bool broken_ = false;
};
class EchoOut : public HttpOut {
 public:
  EchoOut(const World& world, SimHost& host) : world_(world), host_(host) {}
  std::unique_ptr<HttpFlow> open(const Address& server, const HttpAsk& ask) override { return host_.open(server, ask); }
  std::unique_ptr<HttpFlow> open(const Address& server, const HttpAsk& ask, const HttpVia& via) override {
    opened[via.echoValue].push_back(world_.nowUs());
    return std::make_unique<EchoFlow>(host_.open(server, ask), via);
  }
  std::map<std::string, std::vector<Us>> opened;  // by exchange: when

 private:
  const World& world_;
  SimHost& host_;
};

// One item of a lot, as the lots' side hands it in.
struct ItemSink : public PassSink {
  void event(PassEvent&& event) override { raw += event.raw; }
  void bytes(const Bytes& bytes) override { body += bytes; }
  bool left() const override { return leaves; }
  Event& event() override { return knock; }
  Bytes raw;
  Bytes body;  // of an answer that is no series of events
  bool leaves = false;
  Event knock;
};

// A caller's try, or an item, and what became of it.
struct Asked {
  LiveRequest request;  // of an item: as if it were a stream that may be resumed
  Us atUs = 0;
  Us limitUs = 0;
  Us leftUs = -1;
  std::shared_ptr<Answer> answer;
  std::unique_ptr<ItemSink> item;
  std::optional<PassEnding> itemEnding;
  Us itemOverUs = -1;
  bool settled() const { return item ? itemEnding.has_value() : answer->settled(); }
  Us overUs() const { return item ? itemOverUs : answer->overUs; }
};

struct GatewayRig {
  GatewayRig(std::uint64_t seed, GatewayPlan plan)
      : world(seed),
        plan(plan),
        node(rise(world.addHost("node", "a", {1, 1}, {1, 2}))),
        echoing(world, node),
        ports{node, node, node, node, echoing, nullptr, node.chance},
        board(node, control, boardPlan()),
        gateway(ports, room, board, control, dialect, plan) {}
  ~GatewayRig() {
    room.clear();
    workers.clear();
  }
  static PassWords words() {
    using namespace platform;
    return {kAttempt, kInstance, kLastEvent, kSeal, kNotExecuted, kLoad};
  }
  static SimHost& rise(SimHost& host) {
    host.rise();
    return host;
  }
  static PoolLoadTablePlan boardPlan() {
    PoolLoadTablePlan plan;
    plan.zone = "a";
    return plan;
  }
  SimHost& hostOf(const Address& address, const std::string& zone) {
    SimHost* host = world.hostByHttp(address);
    return host != nullptr ? *host
                           : world.addHost("worker" + std::to_string(address.ip), zone, {address.ip, 1}, address);
  }
  // A process starts at that address; the list is told apart.
  void startWorker(const Address& address, const std::string& zone, PassWorkerPlan workerPlan) {
    SimHost& host = hostOf(address, zone);
    stopWorker(address);
    host.rise();
    workerPlan.words = words();
    workerPorts.push_back(std::make_unique<Ports>(host.ports()));
    workers[address] = std::make_unique<PassWorker>(*workerPorts.back(), address, std::move(workerPlan), ledger);
  }
  void stopWorker(const Address& address) {
    workers.erase(address);
    if (world.hostByHttp(address)->up()) world.hostByHttp(address)->fall();
  }
  void list(ListedWorker worker) {
    control.bump();
    control.putWorker(std::move(worker));
    board.relist();
  }
  Us worldUs(const PassAsk& ask, Us hostUs) { return world.hostByHttp(ask.worker)->worldUs(hostUs); }
  Asked& enter(LiveRequest request) {
    Asked& fresh = *asked.emplace_back(std::make_unique<Asked>());
    fresh.request = std::move(request);
    fresh.atUs = world.nowUs();
    const Us own = fresh.request.limitUs;
    fresh.limitUs = own > 0 ? std::min(own, fresh.request.route.limitUs) : fresh.request.route.limitUs;
    fresh.answer = std::make_shared<Answer>(world);
    gateway.enter(fresh.request, fresh.answer);
    return fresh;
  }
  Asked& enterItem(LiveRequest request) {
    Asked& fresh = *asked.emplace_back(std::make_unique<Asked>());
    fresh.request = std::move(request);
    fresh.atUs = world.nowUs();
    fresh.limitUs = fresh.request.limitUs;
    fresh.item = std::make_unique<ItemSink>();
    room.start(runItem(fresh));
    return fresh;
  }
  void leave(Asked& caller) {
    if (caller.settled()) return;
    caller.leftUs = world.nowUs();
    if (caller.item) {
      caller.item->leaves = true;
      caller.item->knock.notify();
    } else {
      caller.answer->gone.emit();
    }
  }
  bool quiet() const { return room.size() == 0 && gateway.holding() == 0 && gateway.relaying() == 0; }

  Task runItem(Asked& caller) {
    PassOrder order;
    order.exchange = caller.request.exchange;
    order.pool = caller.request.route.pool;
    order.ask = caller.request.ask;
    order.lastEvent = caller.request.lastEvent;
    order.limitUs = caller.limitUs;
    Job<PassEnding> passing = gateway.passItem(std::move(order), *caller.item);
    caller.itemEnding = co_await passing;
    caller.itemOverUs = world.nowUs();
  }
  World world;
  GatewayPlan plan;
  SimHost& node;
  EchoOut echoing;
  ControlState control;
  platform::Workers dialect;
  Ports ports;
  TaskRoom room;
  PoolLoadTable board;
  Gateway gateway;
  PassLedger ledger;
  std::vector<std::unique_ptr<Asked>> asked;
  std::vector<std::unique_ptr<Ports>> workerPorts;
  std::map<Address, std::unique_ptr<PassWorker>> workers;
};

}  // namespace stonemount
