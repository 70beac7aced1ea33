#include "stand_ins/worker.h"

#include <algorithm>

#include "config/json.h"
#include "proxy/sealed_reader.h"

namespace stonemount {

namespace {
constexpr std::size_t kPrefixBytes = 64;
constexpr Us kMomentUs = 100 * kMilliUs;

struct Departure : public sigc::trackable {
  void onGone() { gone = true; }
  bool gone = false;
};
}  // namespace

Bytes rehearsedPart(const Bytes& prompt, const std::string& salt, std::uint32_t number) {
  return (number == 0 ? salt + " " : "") + hexText(spread(prompt + salt, number + 1)) + " ";
}

bool rehearsedWell(const Bytes& prompt, const Bytes& answer, std::uint32_t parts) {
  const std::string salt = answer.substr(0, answer.find(' '));
  Bytes expected;
  for (std::uint32_t i = 0; i < parts; ++i) expected += rehearsedPart(prompt, salt, i);
  return answer == expected;
}

RehearseWorker::RehearseWorker(Ports& ports, Address self, WorkerPlan plan, WorkerLedger& ledger)
    : ports_(ports), self_(self), plan_(std::move(plan)), ledger_(ledger) {}

RehearseWorker::~RehearseWorker() {
  asked_.disconnect();
  room_.clear();
}

void RehearseWorker::begin() {
  asked_ = ports_.httpIn.asked.connect(sigc::mem_fun(*this, &RehearseWorker::onAsked));
  if (plan_.platform.set()) room_.start(enlist());
}

std::uint32_t RehearseWorker::bear() const {
  if (answered_ >= plan_.warmAfter) return plan_.slots;
  const std::uint32_t grown = plan_.coldBear + static_cast<std::uint32_t>(answered_ / 4);
  return std::min(plan_.slots, grown);
}

// The list is the platform's; a worker only sees to it that it is on it.
Task RehearseWorker::enlist() {
  while (true) {
    HttpAsk ask;
    ask.method = "POST";
    ask.path = "/platform/put";
    JsonOut out;
    out.object().field("address", addressText(self_)).field("pool", plan_.pool).field("zone", plan_.zone);
    out.field("slots", plan_.slots).field("leaving", leaving_).closeObject();
    ask.body = out.take();
    HttpCall call(ports_, plan_.platform, ask, kSecondUs);
    co_await call;
    Pause pause(ports_.timers, kSecondUs);
    co_await pause;
  }
}

void RehearseWorker::sendHealth(HttpReply& reply) const {
  JsonOut out;
  out.object().field("load", load_).field("slots", plan_.slots).field("bear", bear()).field("leaving", leaving_);
  out.key("adapters").array();
  for (const std::string& adapter : plan_.adapters) out.text(adapter);
  out.closeArray().closeObject();
  reply.whole(200, {}, out.take() + "\n");
}

// For scripts/measure: how long ago it last started anything, and a lot's item; -1: never.
void RehearseWorker::sendMetrics(HttpReply& reply) const {
  Us liveAgoUs = -1, lotAgoUs = -1;
  for (const WorkerLedger::Start& start : ledger_.starts)
    (start.lot ? lotAgoUs : liveAgoUs) = ports_.clock.monoUs() - start.atUs;
  JsonOut out;
  out.object().field("started", ledger_.started).field("finished", ledger_.finished).field("refused", ledger_.refused);
  out.field("coldRefused", ledger_.coldRefused).field("liveAgoUs", liveAgoUs).field("lotAgoUs", lotAgoUs).closeObject();
  reply.whole(200, {}, out.take() + "\n");
}

void RehearseWorker::onAsked(const HttpAsk& ask, ReplyPtr reply) {
  if (ask.path == "/fitness") return sendHealth(*reply);
  if (ask.path == "/metrics") return sendMetrics(*reply);
  if (ask.path == "/leave") {
    leaving_ = true;
    return reply->whole(200, {}, "{\"leaving\":true}\n");
  }
  const bool lookup = ask.path == "/lookup";
  const std::string exchange = ask.headers.contains("x-exchange") ? ask.headers.at("x-exchange") : "";
  Bytes prompt;
  bool lot = false;
  if (lookup) {
    prompt = ask.query.contains("key") ? ask.query.at("key") : "";
  } else {
    JsonVerdict read = parseJson(ask.body);
    if (auto* document = std::get_if<JsonDocument>(&read)) {
      prompt = jsonString(*document, "prompt");
      lot = jsonFlag(*document, "lot");
    }
  }
  if (prompt.empty() || exchange.empty()) return reply->whole(400, {}, "{\"verdict\":\"bad_request\"}\n");
  if (refusing_ || load_ >= bear()) {
    ++ledger_.refused;
    const Us nowUs = ports_.clock.monoUs();
    turnedAwayUs_.push_back(nowUs);
    while (nowUs - turnedAwayUs_.front() > kMomentUs) turnedAwayUs_.pop_front();
    if (bear() < plan_.slots && !refusing_) {
      ++ledger_.coldRefused;
      ledger_.worstExcess = std::max<std::uint64_t>(ledger_.worstExcess, turnedAwayUs_.size());
    }
    return reply->whole(429, {{"x-exchange", exchange}}, "{\"verdict\":\"no_slot\"}\n");
  }
  room_.start(work(exchange, prompt, lookup, lot, reply));
}

bool RehearseWorker::cached(const Bytes& prompt) {
  const std::uint64_t prefix = spread(prompt.substr(0, kPrefixBytes));
  const bool hit = std::find(cache_.begin(), cache_.end(), prefix) != cache_.end();
  std::erase(cache_, prefix);
  cache_.push_back(prefix);
  if (cache_.size() > plan_.cachePrefixes) cache_.pop_front();
  ++(hit ? ledger_.cacheHits : ledger_.cacheMisses);
  return hit;
}

Task RehearseWorker::work(std::string exchange, Bytes prompt, bool lookup, bool lot, ReplyPtr reply) {
  Departure departure;
  reply->gone.connect(sigc::mem_fun(departure, &Departure::onGone));
  ++load_;
  ++ledger_.started;
  ledger_.starts.push_back({ports_.clock.monoUs(), prompt, lookup, lot});
  started.emit(ledger_.starts.back());
  Us waitUs = lookup ? 2 * kMilliUs : plan_.partUs + (cached(prompt) ? 0 : plan_.missUs);
  if (plan_.oddsSilent != 0 && ports_.chance.oneIn(plan_.oddsSilent)) waitUs += plan_.silentUs;
  const std::uint32_t parts = lookup ? 1 : plan_.parts;
  const bool wholeAtEnd = plan_.oddsWholeAtEnd != 0 && ports_.chance.oneIn(plan_.oddsWholeAtEnd);
  const bool truncate = plan_.oddsTruncate != 0 && ports_.chance.oneIn(plan_.oddsTruncate);
  const bool swap = plan_.oddsSwap != 0 && ports_.chance.oneIn(plan_.oddsSwap);
  const std::string spoken = swap ? exchange + "9" : exchange;
  std::uint32_t digest = 0;
  Bytes gathered;
  bool begun = false;
  for (std::uint32_t i = 0; i < parts && !departure.gone; ++i) {
    Pause pause(ports_.timers, waitUs);
    co_await pause;
    if (departure.gone) break;
    waitUs = plan_.partUs;
    const Bytes data = rehearsedPart(prompt, exchange, i) + Bytes(plan_.padBytes, 'p');
    digest = checksum(data, digest);
    gathered += partLine(spoken, i, data);
    if (truncate && i + 1 == parts) break;
    if (wholeAtEnd && i + 1 < parts) continue;
    if (!std::exchange(begun, true)) reply->begin(200, {{"x-exchange", exchange}});
    reply->chunk(std::exchange(gathered, Bytes()));
  }
  --load_;
  if (departure.gone) co_return;
  if (!begun) reply->begin(200, {{"x-exchange", exchange}});
  if (!truncate) {
    reply->chunk(gathered + sealLine(spoken, parts, digest));
    ++answered_;
    ++ledger_.finished;
  }
  reply->end();
}

}  // namespace stonemount
