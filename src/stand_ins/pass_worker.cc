#include "stand_ins/pass_worker.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

namespace stonemount {

namespace {
constexpr std::size_t kBigBytes = (1 << 20) + 300'000;
constexpr std::size_t kBodyPieces = 5;  // all but the last are more than a gateway may keep back
constexpr char kRunMark[] = "run=";

enum class ScriptEnd : std::uint8_t { kEnd, kBreak, kHang };

bool wantsEvents(const HttpAsk& ask) { return ask.path.rfind("/stream", 0) == 0; }

struct Departure : public sigc::trackable {
  Departure(const Clock& clock, PassAsk& record) : clock_(clock), record_(record) {}
  ~Departure() { note(); }  // also where the whole process ends
  void onGone() {
    gone = true;
    note();
  }
  bool gone = false;

 private:
  void note() {
    if (record_.overUs < 0) record_.overUs = clock_.monoUs();
  }
  const Clock& clock_;
  PassAsk& record_;
};
}  // namespace

struct PassWorker::Script {
  int status = 0;  // 0: not even a head
  HeaderMap headers;
  std::vector<Bytes> pieces;
  ScriptEnd end = ScriptEnd::kEnd;
};

Bytes passBody(std::size_t number, bool big) {
  Bytes body = absl::StrCat(kRunMark, number, " ", hexText(spread(std::to_string(number))), "\n");
  if (big) body.resize(kBigBytes, static_cast<char>('a' + number % 26));
  return body;
}

Bytes passEvent(std::size_t number, std::uint64_t id) {
  const std::string second =
      id % 3 == 0 ? absl::StrCat("data: ", hexText(spread(std::to_string(number), id)), "\n") : "";
  return absl::StrCat("id: ", id, "\ndata: ", kRunMark, number, " event=", id, "\n", second, "\n");
}

std::string passSeal(std::size_t number) { return absl::StrCat("seal-", hexText(spread(std::to_string(number), 7))); }

std::optional<std::size_t> passRunOf(std::string_view bytes) {
  const std::size_t at = bytes.find(kRunMark);
  if (at == std::string_view::npos) return std::nullopt;
  const std::string_view rest = bytes.substr(at + sizeof kRunMark - 1);
  std::size_t number = 0;
  const std::size_t end = rest.find(' ');
  if (end == std::string_view::npos || !absl::SimpleAtoi(absl::string_view(rest.data(), end), &number))
    return std::nullopt;
  return number;
}

PassWorker::PassWorker(Ports& ports, Address self, PassWorkerPlan plan, PassLedger& ledger)
    : ports_(ports), self_(self), plan_(std::move(plan)), ledger_(ledger) {
  asked_ = ports_.httpIn.asked.connect(sigc::mem_fun(*this, &PassWorker::onAsked));
}

PassWorker::~PassWorker() {
  asked_.disconnect();
  room_.clear();
}

PassDeed PassWorker::pickDeed() {
  std::uint64_t sum = 0;
  for (const auto& [deed, weight] : plan_.deeds) sum += weight;
  std::uint64_t point = ports_.chance.below(sum);
  for (const auto& [deed, weight] : plan_.deeds) {
    if (point < weight) return deed;
    point -= weight;
  }
  return PassDeed::kWhole;
}

void PassWorker::onAsked(const HttpAsk& ask, ReplyPtr reply) {
  const std::size_t number = ledger_.size();
  PassAsk& record = ledger_.emplace_back();
  record.worker = self_;
  record.pool = plan_.pool;
  record.ask = ask;
  record.atUs = ports_.clock.monoUs();
  record.deed = plan_.slots > 0 && load_ >= plan_.slots ? PassDeed::kRefuse : pickDeed();
  auto last = ask.headers.find(plan_.words.lastEvent);
  std::uint64_t lastEvent = 0;
  if (last != ask.headers.end() && absl::SimpleAtoi(last->second, &lastEvent)) record.lastEvent = lastEvent;
  auto life = ask.headers.find(plan_.words.life);
  record.otherLife = life != ask.headers.end() && life->second != plan_.life;
  if (!record.otherLife && record.deed != PassDeed::kRefuse) return room_.start(work(number, std::move(reply)));
  HeaderMap headers{{plan_.words.exchange, ask.headers.at(plan_.words.exchange)}, {plan_.words.unrun, "1"}};
  reply->whole(record.otherLife ? 421 : 503, headers, "not here\n");
  record.overUs = record.atUs;
}

HeaderMap PassWorker::headersFor(const PassAsk& record, std::size_t number) const {
  const std::string& exchange = record.ask.headers.at(plan_.words.exchange);
  HeaderMap headers{{"x-own", absl::StrCat("of run ", number)}, {"connection", "keep-alive"}};
  headers[plan_.words.exchange] = record.deed == PassDeed::kForeign ? exchange + "0" : exchange;
  if (record.deed != PassDeed::kUnsealed) headers[plan_.words.seal] = passSeal(number);
  if (plan_.tellsLoad) headers[plan_.words.load] = absl::StrCat(load_, ",0,", std::max<std::uint32_t>(1, plan_.slots));
  return headers;
}

void PassWorker::addEvents(Script& script, const PassAsk& record, std::size_t number) const {
  script.headers["content-type"] = "text/event-stream";
  const PassDeed deed = record.deed;
  std::uint64_t id = record.lastEvent && deed != PassDeed::kDeaf ? *record.lastEvent + 1 : 1;
  const std::uint64_t halfway = (id + plan_.events) / 2;
  // A stream without its last event ends as well as any: nobody could tell.
  if (deed == PassDeed::kGap && record.lastEvent && id < plan_.events) ++id;
  for (; id <= plan_.events; ++id) {
    if (deed == PassDeed::kGap && id == halfway && id < plan_.events) continue;
    const Bytes event = passEvent(number, id);
    const std::size_t cut = number * 7 % (event.size() - 4);  // pieces do not end where events do
    script.pieces.push_back(event.substr(0, cut));
    if (id >= halfway && (deed == PassDeed::kBreakInside || deed == PassDeed::kEndInside)) {
      script.pieces.push_back(event.substr(cut, 3));
      script.end = deed == PassDeed::kEndInside ? ScriptEnd::kEnd : ScriptEnd::kBreak;
      return;
    }
    script.pieces.push_back(event.substr(cut));
    if (id < halfway) continue;
    if (deed == PassDeed::kRepeat && id == halfway) script.pieces.push_back(event);
    if (deed == PassDeed::kBreakBetween) script.end = ScriptEnd::kBreak;
    if (deed == PassDeed::kSilentInside) script.end = ScriptEnd::kHang;
    if (script.end != ScriptEnd::kEnd) return;
  }
}

PassWorker::Script PassWorker::scriptFor(const PassAsk& record, std::size_t number) const {
  Script script;
  const PassDeed deed = record.deed;
  if (deed == PassDeed::kSilent) script.end = ScriptEnd::kHang;
  if (deed == PassDeed::kBreakBeforeHead || deed == PassDeed::kBreakAfterHead) script.end = ScriptEnd::kBreak;
  if (deed == PassDeed::kSilent || deed == PassDeed::kBreakBeforeHead) return script;
  script.status = deed == PassDeed::kFail || deed == PassDeed::kBigFail ? 500
                  : deed == PassDeed::kDecline                          ? 422
                  : deed == PassDeed::kBareRefusal                      ? 503
                                                                        : 200;
  script.headers = headersFor(record, number);
  if (deed == PassDeed::kBreakAfterHead) return script;
  const bool body = deed == PassDeed::kBodyForEvents || deed == PassDeed::kBigForEvents || script.status != 200;
  if (wantsEvents(record.ask) && !body) {
    addEvents(script, record, number);
    return script;
  }
  const bool big = deed == PassDeed::kBig || deed == PassDeed::kBigForEvents || deed == PassDeed::kBreakBetween ||
                   deed == PassDeed::kBigFail;
  const Bytes whole = passBody(number, big);
  if (number % 2 == 0) script.headers["content-length"] = std::to_string(whole.size());
  const std::size_t step = whole.size() / kBodyPieces + 1;
  for (std::size_t at = 0; at < whole.size(); at += step) script.pieces.push_back(whole.substr(at, step));
  const bool breaks = deed == PassDeed::kBreakInside || deed == PassDeed::kBreakBetween || deed == PassDeed::kEndInside;
  if (!breaks && deed != PassDeed::kSilentInside) return script;
  script.pieces.pop_back();
  script.end = breaks ? ScriptEnd::kBreak : ScriptEnd::kHang;
  return script;
}

Task PassWorker::work(std::size_t number, ReplyPtr reply) {
  PassAsk& record = ledger_[number];
  Departure departure(ports_.clock, record);
  reply->gone.connect(sigc::mem_fun(departure, &Departure::onGone));
  const bool goesOn = plan_.oddsGoesOn > 0 && ports_.chance.oneIn(plan_.oddsGoesOn);
  ++load_;
  Pause queued(ports_.timers, static_cast<Us>(ports_.chance.below(static_cast<std::uint64_t>(plan_.queueUs) + 1)));
  co_await queued;
  if (!departure.gone || goesOn) {
    record.ran = true;
    const Script script = scriptFor(record, number);
    Pause thinking(ports_.timers, plan_.stepUs);
    co_await thinking;
    if (script.status != 0) reply->begin(script.status, script.headers);
    for (const Bytes& piece : script.pieces) {
      Pause pause(ports_.timers, plan_.stepUs);
      co_await pause;
      if (departure.gone && !goesOn) break;
      reply->chunk(piece);
    }
    while (script.end == ScriptEnd::kHang && !departure.gone) {
      Pause pause(ports_.timers, plan_.stepUs);
      co_await pause;
    }
    if (!departure.gone && script.end == ScriptEnd::kEnd) {
      record.whole = record.deed != PassDeed::kEndInside;
      reply->end();
    }
  }
  --load_;
}

}  // namespace stonemount
