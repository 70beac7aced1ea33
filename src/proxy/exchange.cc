#include "proxy/exchange.h"

#include "config/json.h"

namespace stonemount {

namespace {
// Collects the flow's pieces for the task that reads them.
class PieceBox : public sigc::trackable {
 public:
  PieceBox(HttpFlow& flow, Event& event) : event_(event) { flow.piece.connect(sigc::mem_fun(*this, &PieceBox::put)); }
  std::deque<HttpPiece> pieces;

 private:
  void put(HttpPiece piece) {
    pieces.push_back(std::move(piece));
    event_.notify();
  }
  Event& event_;
};

HttpAsk workAsk(const WorkOrder& order) {
  HttpAsk ask;
  ask.headers["x-exchange"] = order.exchange;
  if (order.route.kind == RouteKind::kLookup) {
    ask.method = "GET";
    ask.path = "/lookup";
    ask.query["route"] = order.route.name;
    ask.query["key"] = order.lookupKey;
    return ask;
  }
  ask.method = "POST";
  ask.path = "/work";
  JsonOut out;
  out.object().field("exchange", order.exchange).field("route", order.route.name);
  if (!order.route.adapter.empty()) out.field("adapter", order.route.adapter);
  out.field("lot", order.lot).field("prompt", order.prompt).closeObject();
  ask.body = out.take();
  ask.headers["content-type"] = "application/json";
  return ask;
}
}  // namespace

// Silence is no ground to end an answer: only the caller's leaving, its own limit, a broken channel
// or an answer that is not ours ends it.
Job<WorkEnding> Exchange::run(WorkOrder order, Address worker, Us untilUs, PartSink& sink) {
  std::unique_ptr<HttpFlow> flow = ports_.httpOut.open(worker, workAsk(order));
  PieceBox box(*flow, sink.event());
  SealedReader reader(order.exchange);
  int status = 0;
  bool echoed = false;
  Bytes refusal;
  while (true) {
    while (!box.pieces.empty()) {
      HttpPiece piece = std::move(box.pieces.front());
      box.pieces.pop_front();
      sink.alive();
      if (auto* head = std::get_if<HttpHead>(&piece)) {
        status = head->status;
        auto echo = head->headers.find("x-exchange");
        echoed = echo != head->headers.end() && echo->second == order.exchange;
      } else if (auto* data = std::get_if<HttpData>(&piece)) {
        if (status != 200) {
          if (refusal.size() < 4096) refusal += data->bytes;
          continue;
        }
        std::vector<Bytes> parts;
        const bool sound = reader.feed(data->bytes, parts);
        if (!sound) co_return WorkBroken{reader.fault()};
        for (const Bytes& part : parts) sink.part(part);
        if (reader.sealed()) co_return WorkSealed{reader.count(), reader.digest()};
      } else if (auto* broken = std::get_if<HttpBroken>(&piece)) {
        if (broken->provenUnsent) co_return WorkUnsent{};
        co_return WorkBroken{};
      } else {
        if (status == 429 && echoed) co_return WorkRefused{};
        if (status == 422 && echoed) co_return WorkDeclined{refusal};
        co_return WorkBroken{SealFault::kNone, status != 429};
      }
    }
    if (sink.left()) co_return WorkLeft{};
    const Us leftUs = untilUs - ports_.clock.monoUs();
    if (leftUs <= 0) co_return WorkLapsed{status != 0};
    EventWait hear(ports_.timers, sink.event(), leftUs);
    co_await hear;
  }
}

WorkerLoadTable::Ending boardEnding(const WorkEnding& ending) {
  if (std::holds_alternative<WorkSealed>(ending)) return WorkerLoadTable::Ending::kSealed;
  if (std::holds_alternative<WorkDeclined>(ending)) return WorkerLoadTable::Ending::kSealed;
  if (std::holds_alternative<WorkRefused>(ending)) return WorkerLoadTable::Ending::kRefused;
  if (std::holds_alternative<WorkUnsent>(ending)) return WorkerLoadTable::Ending::kUnsent;
  if (std::holds_alternative<WorkBroken>(ending)) return WorkerLoadTable::Ending::kBroken;
  return WorkerLoadTable::Ending::kLeft;
}

}  // namespace stonemount
