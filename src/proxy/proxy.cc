#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "proxy/proxy_caller.h"

namespace stonemount {

Proxy::Proxy(Ports& ports, TaskRoom& room, WorkerLoadTable& board, const ControlState& control, ProxyPlan plan,
             std::string exchangePrefix)
    : ports_(ports),
      room_(room),
      board_(board),
      control_(control),
      plan_(plan),
      exchangePrefix_(std::move(exchangePrefix)) {
  roomMade_ = board_.roomMade.connect(sigc::mem_fun(waitingEvent_, &Event::notify));
}

Proxy::~Proxy() { roomMade_.disconnect(); }

std::string Proxy::freshExchange() { return absl::StrCat(exchangePrefix_, "-", ++lastExchange_); }

void Proxy::enter(const Route& route, const HttpAsk& ask, Bytes prompt, ReplyPtr reply) {
  auto caller = std::make_shared<Caller>(*this);
  caller->order.exchange = freshExchange();
  caller->order.route = route;
  caller->order.prompt = std::move(prompt);
  caller->reply = std::move(reply);
  caller->wish.pool = route.pool;
  caller->wish.adapter = route.adapter;
  if (route.kind == RouteKind::kLookup) {
    caller->order.lookupKey = ask.query.contains("key") ? ask.query.at("key") : "";
    caller->wish.spot = spread(caller->order.lookupKey);
  } else {
    caller->wish.spot = spread(caller->order.prompt.substr(0, route.prefixBytes));
  }
  Us limitUs = route.limitUs;
  std::int64_t wished = 0;
  if (ask.headers.contains("x-limit-us") && absl::SimpleAtoi(ask.headers.at("x-limit-us"), &wished) && wished > 0)
    limitUs = std::min<Us>(limitUs, wished);
  const Us nowUs = ports_.clock.monoUs();
  caller->limitAtUs = nowUs + limitUs;
  caller->waitUntilUs = nowUs + std::min(limitUs, plan_.waitUs);
  if (draining_) return turnAway(*caller, 503, "draining", "no");
  if (waiting_.size() >= plan_.waitingBound || relaying_ >= plan_.relayBound)
    return turnAway(*caller, 429, "full", "no");
  caller->reply->gone.connect(sigc::mem_fun(*caller, &Caller::onGone));
  ++counts_.taken;
  room_.start(serve(std::move(caller)));
}

Job<bool> Proxy::waitForWorker(std::shared_ptr<Caller> caller) {
  caller->worker.reset();
  caller->waiting = true;
  waiting_.push_back(caller);
  waitingEvent_.notify();
  while (caller->waiting && !caller->gone && ports_.clock.monoUs() < caller->waitUntilUs) {
    EventWait hear(ports_.timers, caller->knock, caller->waitUntilUs - ports_.clock.monoUs());
    co_await hear;
  }
  if (caller->waiting) {
    caller->waiting = false;
    std::erase(waiting_, caller);
  } else if (caller->gone) {
    board_.giveBack(*caller->worker, false, WorkerLoadTable::Ending::kLeft);
    caller->worker.reset();
  }
  co_return caller->worker.has_value();
}

Task Proxy::selectForWaiting() {
  while (true) {
    EventWait hear(ports_.timers, waitingEvent_, 100 * kMilliUs);
    co_await hear;
    absl::flat_hash_set<std::string> fullPools;  // do not ask the same full pool for each
    std::deque<std::shared_ptr<Caller>> still;
    for (std::shared_ptr<Caller>& caller : waiting_) {
      const bool plain = caller->wish.passedOver.empty();
      std::optional<Address> chosenWorker;
      if (!plain || !fullPools.contains(caller->wish.pool)) chosenWorker = board_.selectWorker(caller->wish);
      if (!chosenWorker) {
        if (plain) fullPools.insert(caller->wish.pool);
        still.push_back(std::move(caller));
        continue;
      }
      board_.take(*chosenWorker, false);
      caller->worker = chosenWorker;
      caller->waiting = false;
      caller->knock.notify();
    }
    waiting_ = std::move(still);
    board_.setLiveWaiting(!waiting_.empty());
  }
}

Task Proxy::serve(std::shared_ptr<Caller> caller) {
  int unsent = 0;
  int broken = 0;
  while (true) {
    Job<bool> waiting = waitForWorker(caller);
    const bool selected = co_await waiting;
    if (caller->gone) {
      ++counts_.left;
      co_return;
    }
    if (!selected) {
      turnAway(*caller, 503, "no_capacity", caller->mayHaveRun ? "maybe" : "no");
      co_return;
    }
    const Address worker = *caller->worker;
    ++relaying_;
    Exchange exchange(ports_, board_);
    Job<WorkEnding> running = exchange.run(caller->order, worker, caller->limitAtUs, *caller);
    const WorkEnding ending = co_await running;
    --relaying_;
    board_.giveBack(worker, false, boardEnding(ending));
    const bool unrun = std::holds_alternative<WorkUnsent>(ending) || std::holds_alternative<WorkRefused>(ending);
    caller->mayHaveRun |= !unrun;
    const bool lookup = caller->order.route.kind == RouteKind::kLookup;
    const bool inTime = ports_.clock.monoUs() < caller->waitUntilUs;
    const bool again = (unrun && ++unsent < plan_.triesUnsent) ||
                       (lookup && std::holds_alternative<WorkBroken>(ending) && ++broken < plan_.triesLookup);
    if (!again || !inTime || caller->gone) {
      finish(*caller, ending);
      co_return;
    }
    ++counts_.retried;
    caller->wish.passedOver.insert(worker);
    caller->gathered.clear();
    caller->parts = 0;
    caller->order.exchange = freshExchange();
  }
}

}  // namespace stonemount
