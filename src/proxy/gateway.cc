#include "proxy/gateway.h"

#include <algorithm>

#include "proxy/gateway_caller.h"
#include "proxy/pool_choice.h"

namespace stonemount {

namespace {
constexpr std::size_t kFirst = 4;      // of a queue, that may look for a worker at once
constexpr Us kLookUs = 20 * kMilliUs;  // between two looks of the first of a queue
}  // namespace

Gateway::Gateway(Ports& ports, TaskRoom& room, PoolLoadTable& board, const ControlState& control,
                 const WorkerDialect& dialect, GatewayPlan plan)
    : ports_(ports), room_(room), board_(board), control_(control), dialect_(dialect), plan_(plan) {
  roomMade_ = board_.roomMade.connect(sigc::mem_fun(*this, &Gateway::onRoom));
}

Gateway::~Gateway() { roomMade_.disconnect(); }

void Gateway::onRoom() {
  for (auto& [pool, queue] : queues_) {
    std::size_t woken = 0;
    for (const auto& [place, caller] : queue) {
      caller->knock.notify();
      if (++woken >= kFirst) break;
    }
  }
}

// The first few may look: the very first may have passed over the worker that has room.
bool Gateway::mayChoose(const std::string& pool, const QueuePlace& place) const {
  auto queue = queues_.find(pool);
  if (queue == queues_.end()) return true;
  std::size_t ahead = 0;
  for (const auto& [other, caller] : queue->second) {
    if (other >= place) return true;
    if (++ahead >= kFirst) return false;
  }
  return true;
}

void Gateway::enter(LiveRequest request, ReplyPtr reply) {
  if (!admits_) {
    ++counts_.refused;
    return sendRefusal(*reply, 503, "stopping", againUs());
  }
  if (relaying_ >= plan_.relayBound || held_ + admitting_ >= plan_.holdBound) {
    ++counts_.refused;
    return sendRefusal(*reply, 503, "full", againUs());
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
  const QueuePlace place{caller->request.tenantPrecedence, caller->request.route.precedence, caller->number};
  bool givesWay = queues_.contains(caller->wish.pool);  // those who wait look first
  if (givesWay) onRoom();
  while (true) {
    const bool looks = mayChoose(caller->wish.pool, place);
    caller->worker = looks && !givesWay ? board_.choose(caller->wish) : std::nullopt;
    Us leftUs = caller->holdUntilUs - ports_.clock.monoUs();
    if (caller->worker || leftUs <= 0 || caller->gone) break;
    if (!board_.serves(caller->wish.pool) && !caller->wish.passedOver.empty()) break;
    queues_[caller->wish.pool].emplace(place, caller.get());
    ++held_;
    if (looks) leftUs = std::min(leftUs, kLookUs);  // some room is made by time alone
    if (std::exchange(givesWay, false)) leftUs = 0;
    EventWait hear(ports_.timers, caller->knock, leftUs);
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
  const std::string route = caller->request.route.name;
  bool counted = false;  // by its tenant's quota, for the next worker
  while (true) {
    if (!counted) {
      Job<bool> admitting = admitByQuota(caller);
      const bool admitted = co_await admitting;
      if (!admitted) co_return;
      counted = true;
    }
    const Us holdBeganUs = ports_.clock.monoUs();
    Job<bool> holding = hold(caller, poolFor(caller->request.route, caller->request.exchange));
    const bool chosen = co_await holding;
    if (caller->gone) {
      if (chosen) board_.giveBack(*caller->worker, false, PoolLoadTable::Ending::kLeft);
      ++counts_.left;
      co_return;
    }
    const Us leftUs = caller->limitAtUs - ports_.clock.monoUs();
    if (!chosen) {
      if (caller->mayHaveRun)
        fail(*caller, 502, "not_whole");
      else
        refuse(*caller, "no_capacity");
      co_return;
    }
    const Us heldUs = ports_.clock.monoUs() - holdBeganUs;
    caller->times.holdUs += heldUs;
    stageTimes_.note(route, RequestStage::kHold, heldUs);
    if (leftUs < kLeastLeftUs) {
      board_.giveBack(*caller->worker, false, PoolLoadTable::Ending::kLeft);
      if (caller->mayHaveRun)
        fail(*caller, 504, "limit_passed");
      else
        refuse(*caller, "limit_passed");
      co_return;
    }
    PassOrder order;
    order.exchange = caller->request.exchange;
    order.pool = caller->wish.pool;
    order.ask = caller->request.ask;
    order.lastEvent = caller->lastEvent;
    order.limitUs = leftUs;
    ++relaying_;
    ++caller->sends;
    caller->quota.spend();
    Attempt attempt(ports_, board_, dialect_);
    Job<PassEnding> passing = attempt.run(std::move(order), *caller->worker, *caller);
    const PassEnding ending = co_await passing;
    --relaying_;
    caller->times.addAttempt(attempt.times());
    stageTimes_.noteAttempt(route, attempt.times());
    if (!handleEnding(*caller, ending)) co_return;
    ++counts_.retried;
    counted = std::holds_alternative<PassNotRun>(ending);  // where it may have run, the next worker is counted too
    caller->wish.passedOver.insert(*caller->worker);
    // What is known not to have run may look for another worker as long as its answer could be early.
    caller->holdUntilUs =
        std::min(caller->limitAtUs, std::max(caller->holdUntilUs, ports_.clock.monoUs() + plan_.holdUs / 4));
  }
}

void Gateway::noteLoopDelay(Us lengthUs) {
  stageTimes_.noteLoopDelay(lengthUs);
  lateAnswers_.noteLoopDelay(lengthUs);
}

Job<PassEnding> Gateway::passItem(PassOrder order, PassSink& sink) {
  PoolRequest wish;
  wish.pool = order.pool;
  wish.spot = order.spot;
  wish.lot = true;
  wish.urgent = order.urgent;
  const std::optional<Address> chosenWorker = board_.choose(wish);
  if (!chosenWorker || order.limitUs < kLeastLeftUs) co_return PassNotRun{50 * kMilliUs};
  order.lot = true;
  board_.take(*chosenWorker, true);
  Attempt attempt(ports_, board_, dialect_);
  Job<PassEnding> passing = attempt.run(std::move(order), *chosenWorker, sink);
  PassEnding ending = co_await passing;
  co_return ending;
}

}  // namespace stonemount
