#include "proxy/attempt.h"

#include <algorithm>

namespace stonemount {

namespace {
constexpr std::size_t kFailureBytes = 256 << 10;

bool isSeries(const HttpHead& head) {
  auto type = head.headers.find("content-type");
  return type != head.headers.end() && type->second.rfind("text/event-stream", 0) == 0;
}
}  // namespace

// Silence is no ground to end an answer: only its own limit, the caller's leaving, a broken channel or an
// answer that is not this request's ends it (design.md 9.4).
Job<PassEnding> Attempt::run(PassOrder order, Address worker, PassSink& sink) {
  sink_ = &sink;
  worker_ = worker;
  lastEvent_ = order.lastEvent;
  const Us untilUs = ports_.clock.monoUs() + order.limitUs;
  life_ = board_.lifeOf(worker);
  dialect_.direct(order.ask, life_, order.limitUs, order.lastEvent);
  HttpVia via = dialect_.via(order.exchange);
  board_.boundChannels(worker, via);
  beganUs_ = ports_.clock.monoUs();
  std::unique_ptr<HttpFlow> flow = ports_.httpOut.open(worker, order.ask, via);
  order.ask = HttpAsk();
  flow->piece.connect(sigc::mem_fun(*this, &Attempt::put));
  flow->connected.connect(sigc::mem_fun(*this, &Attempt::onConnected));
  while (!ending_) {
    if (sink.left()) {
      ending_ = PassBroken{headSeen_};
      break;
    }
    const Us leftUs = untilUs - ports_.clock.monoUs();
    if (leftUs <= 0) {
      ending_ = PassLapsed{true};
      if (!headSeen_) told_ = PoolLoadTable::Ending::kBroken;  // for the choice of workers only
      break;
    }
    EventWait hear(ports_.timers, sink.event(), leftUs);
    co_await hear;
  }
  flow.reset();
  if (board_.lifeOf(worker) != life_)
    told_ = PoolLoadTable::Ending::kLeft;  // of its former life; says nothing of this one
  board_.giveBack(worker, order.lot, told_);
  co_return std::move(*ending_);
}

void Attempt::end(PassEnding ending, PoolLoadTable::Ending told) {
  if (ending_) return;
  ending_ = std::move(ending);
  told_ = told;
  sink_->event().notify();
}

void Attempt::onConnected() { times_.connectUs = ports_.clock.monoUs() - beganUs_; }

// Something came that its caller waits for.
void Attempt::noteProgress() {
  const Us nowUs = ports_.clock.monoUs();
  if (times_.firstUs < 0)
    times_.firstUs = nowUs - beganUs_ - times_.connectUs;
  else
    times_.pauseUs = std::max(times_.pauseUs, nowUs - progressUs_);
  progressUs_ = nowUs;
}

void Attempt::put(HttpPiece piece) {
  if (ending_) return;
  if (!std::holds_alternative<HttpBroken>(piece)) board_.contact(worker_, life_);
  if (auto* head = std::get_if<HttpHead>(&piece)) return takeHead(*head);
  if (auto* data = std::get_if<HttpData>(&piece)) return takeData(data->bytes);
  if (auto* broken = std::get_if<HttpBroken>(&piece)) {
    if (broken->provenUnsent) return end(PassNotRun{}, PoolLoadTable::Ending::kUnsent);
    return end(PassBroken{headSeen_}, PoolLoadTable::Ending::kBroken);
  }
  finish();
}

void Attempt::takeHead(const HttpHead& head) {
  headSeen_ = true;
  head_ = head;
  word_ = dialect_.read(head);
  if (word_.load) board_.heard(worker_, *word_.load);
  if (word_.word == WorkerWord::kForeign) return end(PassBroken{true}, PoolLoadTable::Ending::kBroken);
  if (word_.word != WorkerWord::kSealed) return;
  series_ = isSeries(head);
  // Where it goes on after an event, only events can follow.
  if (lastEvent_ && !series_) return end(PassBroken{true}, PoolLoadTable::Ending::kBroken);
  if (!series_) noteProgress();
  sink_->head(head);
}

void Attempt::takeData(const Bytes& bytes) {
  if (word_.word != WorkerWord::kSealed) {
    failure_ += bytes;
    if (failure_.size() > kFailureBytes)
      end(PassBroken{true}, PoolLoadTable::Ending::kWhole);  // ran; too long to be kept
    return;
  }
  if (!series_) {
    noteProgress();
    return sink_->bytes(bytes);
  }
  std::vector<PassEvent> events;
  if (!events_.feed(bytes, events)) return end(PassBroken{true}, PoolLoadTable::Ending::kBroken);
  for (PassEvent& event : events) {
    // Where it goes on for another, not one event may be missing or come twice.
    if (lastEvent_ && event.id != *lastEvent_ + 1) return end(PassBroken{true}, PoolLoadTable::Ending::kBroken);
    lastEvent_ = event.id;
    noteProgress();
    sink_->event(std::move(event));
  }
}

void Attempt::finish() {
  switch (word_.word) {
    case WorkerWord::kSealed:
      if (series_ && !events_.between()) return end(PassBroken{true}, PoolLoadTable::Ending::kBroken);
      return end(PassWhole{head_.status}, PoolLoadTable::Ending::kWhole);
    case WorkerWord::kNotRun:
      return end(PassNotRun{}, PoolLoadTable::Ending::kRefused);
    case WorkerWord::kOtherLife:
      return end(PassNotRun{}, PoolLoadTable::Ending::kOtherLife);
    case WorkerWord::kDeclined:
      return end(PassDeclined{head_, std::move(failure_)}, PoolLoadTable::Ending::kWhole);
    case WorkerWord::kFailed:
      return end(PassFailed{head_.status, head_, std::move(failure_)}, PoolLoadTable::Ending::kWhole);
    case WorkerWord::kForeign:
      return end(PassBroken{true}, PoolLoadTable::Ending::kBroken);
  }
}

}  // namespace stonemount
