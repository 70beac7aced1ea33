#include "lathe/gateway.h"

#include <absl/strings/str_format.h>

#include <algorithm>

#include "jig/json.h"

namespace stonemount {

namespace {
constexpr std::size_t kBacklogBound = 4 << 20;  // a caller that does not read is as good as gone
constexpr std::size_t kWholeBound = 1 << 20;    // an answer up to here is given only once it is whole
constexpr std::size_t kFirst = 4;               // of a queue, that may look for a worker at once
constexpr Us kLeastLeftUs = 5 * kMilliUs;       // no try is begun with less

// Headers that concern one connection only.
bool concernsChannel(const std::string& name) {
  return name == "connection" || name == "keep-alive" || name == "transfer-encoding" || name == "te" || name == "trailer" ||
         name == "upgrade" || name == "proxy-connection" || name == "proxy-authenticate" || name == "content-length" ||
         name == "date";
}
HeaderMap passedOn(const HeaderMap& given) {
  HeaderMap kept;
  for (const auto& [name, value] : given)
    if (!concernsChannel(name)) kept.emplace(name, value);
  return kept;
}
}  // namespace

struct Gateway::Caller : public PassSink, public sigc::trackable {
  void head(const HttpHead& given) override {
    if (begun) return;  // where it goes on at another worker, the first one's head stands
    head_ = given;
    gathered.clear();
  }
  void bytes(const Bytes& data) override {
    if (begun) return reply->chunk(data);
    gathered += data;
    if (gathered.size() <= kWholeBound) return;
    begin();
    reply->chunk(gathered);
    gathered.clear();
  }
  void event(PassEvent&& event) override {
    begin();
    lastEvent = event.id;
    reply->chunk(event.raw);
  }
  bool left() const override { return gone || (begun && reply->backlogBytes() > kBacklogBound); }
  Bell& bell() override { return knock; }
  void onGone() {
    gone = true;
    knock.ring();
  }
  void begin() {
    if (std::exchange(begun, true)) return;
    HeaderMap headers = passedOn(head_.headers);
    auto length = head_.headers.find("content-length");
    if (length != head_.headers.end()) headers["content-length"] = length->second;
    reply->begin(head_.status, headers);
  }
  LiveRequest request;
  ReplyPtr reply;
  HttpHead head_;
  Bytes gathered;
  Bell knock;
  PoolWish wish;
  std::optional<std::uint64_t> lastEvent;
  std::optional<Address> worker;
  Us enteredUs = 0, limitAtUs = 0, holdUntilUs = 0;
  std::uint32_t sends = 0;
  std::uint64_t number = 0;
  bool gone = false, begun = false, mayHaveRun = false;
};

void sendRefusal(HttpReply& reply, int status, const char* why, Us againUs) {
  HeaderMap headers{{"content-type", "application/json"}};
  if (againUs > 0) headers["retry-after"] = absl::StrFormat("%.3f", static_cast<double>(againUs) / kSecondUs);
  JsonOut out;
  out.object().field("verdict", why).closeObject();
  reply.whole(status, headers, out.take() + "\n");
}

Gateway::Gateway(Ports& ports, TaskRoom& room, PoolBoard& board, const ControlState& control, const WorkerDialect& dialect,
                 GatewayPlan plan)
    : ports_(ports), room_(room), board_(board), control_(control), dialect_(dialect), plan_(plan) {
  roomMade_ = board_.roomMade.connect(sigc::mem_fun(*this, &Gateway::onRoom));
}

Gateway::~Gateway() { roomMade_.disconnect(); }

void Gateway::onRoom() {
  for (auto& [pool, queue] : queues_) {
    std::size_t woken = 0;
    for (const auto& [place, caller] : queue) {
      caller->knock.ring();
      if (++woken >= kFirst) break;
    }
  }
}

// The first few may look: the very first may have passed over the worker that has room.
bool Gateway::mayChoose(const std::string& pool, const std::pair<std::uint32_t, std::uint64_t>& place) const {
  auto queue = queues_.find(pool);
  if (queue == queues_.end()) return true;
  std::size_t ahead = 0;
  for (const auto& [other, caller] : queue->second) {
    if (other >= place) return true;
    if (++ahead >= kFirst) return false;
  }
  return true;
}

std::string Gateway::poolOf(const Route& route, const std::string& exchange) const {
  std::uint64_t sum = 0;
  for (const PoolShare& share : route.shares) sum += share.weight;
  if (sum == 0) return route.pool;
  std::uint64_t point = spread(exchange) % sum;
  for (const PoolShare& share : route.shares) {
    if (point < share.weight) return share.pool;
    point -= share.weight;
  }
  return route.pool;
}

void Gateway::enter(LiveRequest request, ReplyPtr reply) {
  if (relaying_ >= plan_.relayBound || held_ >= plan_.holdBound) {
    ++counts_.refused;
    return sendRefusal(*reply, 503, "full", 4 * paceUs_ * static_cast<Us>(1 + held_));
  }
  auto caller = std::make_shared<Caller>();
  caller->request = std::move(request);
  caller->reply = std::move(reply);
  caller->enteredUs = ports_.clock.monoUs();
  const Route& route = caller->request.route;
  Us limitUs = route.limitUs;
  if (caller->request.limitUs > 0) limitUs = std::min(limitUs, caller->request.limitUs);
  caller->limitAtUs = caller->enteredUs + limitUs;
  const Us holdUs = route.targetUs > 0 ? std::min(plan_.holdUs, route.targetUs / 5) : plan_.holdUs;
  caller->holdUntilUs = caller->enteredUs + std::min(holdUs, limitUs / 3);
  caller->lastEvent = caller->request.lastEvent;
  caller->number = ++lastEntered_;
  caller->wish.spot = caller->request.spot;
  caller->reply->gone.connect(sigc::mem_fun(*caller, &Caller::onGone));
  ++counts_.taken;
  room_.start(serve(std::move(caller)));
}

// Until a worker has room, for as long as an answer could still be early. True: one was charged for it.
Job<bool> Gateway::hold(std::shared_ptr<Caller> caller, std::string pool) {
  caller->wish.pool = std::move(pool);
  const std::pair<std::uint32_t, std::uint64_t> place(caller->request.route.precedence, caller->number);
  while (true) {
    caller->worker = mayChoose(caller->wish.pool, place) ? board_.choose(caller->wish) : std::nullopt;
    const Us leftUs = caller->holdUntilUs - ports_.clock.monoUs();
    if (caller->worker || leftUs <= 0 || caller->gone) break;
    if (!board_.serves(caller->wish.pool) && !caller->wish.passedOver.empty()) break;
    queues_[caller->wish.pool].emplace(place, caller.get());
    ++held_;
    Hear hear(ports_.alarms, caller->knock, leftUs);
    co_await hear;
    --held_;
    auto queue = queues_.find(caller->wish.pool);
    queue->second.erase(place);
    if (queue->second.empty()) queues_.erase(queue);
  }
  if (caller->worker) {
    board_.take(*caller->worker, false);
    onRoom();  // the next may find room too
  }
  co_return caller->worker.has_value();
}

Task Gateway::serve(std::shared_ptr<Caller> caller) {
  while (true) {
    Job<bool> holding = hold(caller, poolOf(caller->request.route, caller->request.exchange));
    const bool chosen = co_await holding;
    if (caller->gone) {
      if (chosen) board_.giveBack(*caller->worker, false, PoolBoard::Ending::kLeft);
      ++counts_.left;
      co_return;
    }
    const Us leftUs = caller->limitAtUs - ports_.clock.monoUs();
    if (!chosen) {
      if (caller->mayHaveRun) fail(*caller, 502, "not_whole");
      else refuse(*caller, "no_capacity");
      co_return;
    }
    if (leftUs < kLeastLeftUs) {
      board_.giveBack(*caller->worker, false, PoolBoard::Ending::kLeft);
      if (caller->mayHaveRun) fail(*caller, 504, "limit_passed");
      else refuse(*caller, "limit_passed");
      co_return;
    }
    PassOrder order;
    order.exchange = caller->request.exchange;
    order.pool = caller->wish.pool;
    order.ask = caller->request.ask;
    order.tokens = caller->request.tokens;
    order.lastEvent = caller->lastEvent;
    order.limitUs = leftUs;
    ++relaying_;
    ++caller->sends;
    Passage passage(ports_, board_, dialect_);
    Job<PassEnding> passing = passage.run(std::move(order), *caller->worker, *caller);
    const PassEnding ending = co_await passing;
    --relaying_;
    if (!handleEnding(*caller, ending)) co_return;
    ++counts_.retried;
    caller->wish.passedOver.insert(*caller->worker);
    // What is known not to have run may look for another worker as long as its answer could be early.
    caller->holdUntilUs = std::max(caller->holdUntilUs, ports_.clock.monoUs() + plan_.holdUs / 4);
  }
}

bool Gateway::mayTryAgain(const Caller& caller) const {
  const std::uint32_t tries = caller.request.route.attempts > 0 ? caller.request.route.attempts : plan_.tries;
  return caller.sends < tries && !caller.gone && ports_.clock.monoUs() + kLeastLeftUs < caller.limitAtUs;
}

// What became of a try, and what of the request for it. Only what is proven unrun, or may be repeated, is
// tried again; a stream that may be resumed goes on inside the same answer.
bool Gateway::handleEnding(Caller& caller, const PassEnding& ending) {
  const Route& route = caller.request.route;
  const bool stream = route.kind == RouteKind::kStream;
  const bool repeats = route.kind == RouteKind::kLookup || (stream && route.resumable);
  if (std::holds_alternative<PassWhole>(ending)) {
    ++counts_.whole;
    const Us nowUs = ports_.clock.monoUs();
    paceUs_ = (paceUs_ * 7 + std::min<Us>(nowUs - lastWholeUs_, kSecondUs)) / 8;
    lastWholeUs_ = nowUs;
    if (caller.begun) caller.reply->end();
    else caller.reply->whole(caller.head_.status, passedOn(caller.head_.headers), caller.gathered);
    return false;
  }
  if (caller.gone) {
    ++counts_.left;
    return false;
  }
  if (std::holds_alternative<PassNotRun>(ending)) {
    if (mayTryAgain(caller)) return true;
    if (caller.begun || caller.mayHaveRun) fail(caller, 502, "not_whole");
    else refuse(caller, "no_capacity");
    return false;
  }
  caller.mayHaveRun = true;
  if (auto* failed = std::get_if<PassFailed>(&ending)) {
    if (caller.begun) fail(caller, 502, "not_whole");
    else if (repeats && failed->status >= 500 && mayTryAgain(caller)) return true;
    else caller.reply->whole(failed->status, passedOn(failed->head.headers), failed->body);
    return false;
  }
  if (std::holds_alternative<PassDeclined>(ending)) {
    fail(caller, 422, "declined");
    return false;
  }
  if (std::holds_alternative<PassLapsed>(ending)) {
    ++counts_.lapsed;
    fail(caller, 504, "limit_passed");
    return false;
  }
  const bool goesOn = repeats && (!caller.begun || stream) && mayTryAgain(caller);
  if (goesOn && caller.begun) ++counts_.resumed;
  if (goesOn) return true;
  ++counts_.broken;
  fail(caller, 502, "not_whole");
  return false;
}

void Gateway::refuse(Caller& caller, const char* why) {
  ++counts_.refused;
  const Us againUs = draining_ ? 20 * kMilliUs : std::clamp<Us>(paceUs_ * static_cast<Us>(2 + held_), 50 * kMilliUs, 400 * kMilliUs);
  sendRefusal(*caller.reply, 503, why, againUs);
}

// It may have run: nothing is promised. What was begun must not look complete.
void Gateway::fail(Caller& caller, int status, const char* why) {
  if (caller.begun) caller.reply->abort();
  else sendRefusal(*caller.reply, status, why, 0);
}

Job<PassEnding> Gateway::passItem(PassOrder order, PassSink& sink) {
  PoolWish wish;
  wish.pool = order.pool;
  wish.spot = order.spot;
  wish.lot = true;
  const std::optional<Address> chosenWorker = board_.choose(wish);
  if (!chosenWorker || order.limitUs < kLeastLeftUs) co_return PassNotRun{50 * kMilliUs};
  board_.take(*chosenWorker, true);
  order.lot = true;
  Passage passage(ports_, board_, dialect_);
  Job<PassEnding> passing = passage.run(std::move(order), *chosenWorker, sink);
  PassEnding ending = co_await passing;
  co_return ending;
}

}  // namespace stonemount
