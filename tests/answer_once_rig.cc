#include "answer_once_rig.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

namespace stonemount {

namespace {
constexpr std::size_t kWorkers = 4, kCallers = 6, kAsks = 6, kItems = 3;
constexpr std::size_t kGrants = 4;     // of one item, each a run of its own
constexpr Us kDayUs = 20 * kSecondUs;  // no day comes near it

PoolLoadTablePlan boardPlan() {
  PoolLoadTablePlan plan;
  plan.zone = "a";
  plan.suspectUs = plan.mostSuspectUs = kMilliUs;  // workers in trouble are what this is about
  return plan;
}
GatewayPlan gatewayPlan() {
  GatewayPlan plan;
  plan.holdUs = 40 * kMilliUs;
  return plan;
}
LotRunnerPlan itemPlan() {
  LotRunnerPlan plan;
  plan.limitUs = AnswerRig::kLimitUs;
  plan.freshUs = kDayUs;
  return plan;
}
Route routeOf(const std::string& name, RouteKind kind, bool resumable) {
  Route route;
  route.name = name;
  route.kind = kind;
  route.pool = "pool";
  route.limitUs = AnswerRig::kLimitUs;
  route.attempts = AnswerRig::kMostTries;
  route.resumable = resumable;
  return route;
}
}  // namespace

// Strictly what the protocol calls complete: a length that is met, or chunks to their last.
ReadAnswer readAnswer(const std::string& heard) {
  ReadAnswer answer;
  const std::size_t end = heard.find("\r\n\r\n");
  if (end == std::string::npos) return answer;
  answer.head = "\r\n" + absl::AsciiStrToLower(heard.substr(heard.find("\r\n") + 2, end - heard.find("\r\n"))) + "\r\n";
  answer.malformed = heard.rfind("HTTP/1.1 ", 0) != 0;
  answer.status = static_cast<int>(std::strtol(heard.c_str() + 9, nullptr, 10));
  answer.seal = headerIn(answer.head, "server-seal");
  const std::string length = headerIn(answer.head, "content-length");
  if (headerIn(answer.head, "transfer-encoding").empty()) {
    const std::size_t told = std::strtoul(length.c_str(), nullptr, 10);
    answer.malformed = answer.malformed || length.empty();
    answer.body = heard.substr(end + 4, told);
    answer.complete = answer.body.size() == told;
    answer.length = end + 4 + answer.body.size();
    return answer;
  }
  for (std::size_t at = end + 4; at < heard.size();) {
    const std::size_t line = heard.find("\r\n", at);
    if (line == std::string::npos) break;
    const std::size_t size = std::strtoul(heard.c_str() + at, nullptr, 16);
    answer.body += heard.substr(line + 2, size);
    at = line + 2 + size + 2;
    answer.length = at;
    if (size == 0) {
      answer.complete = at <= heard.size();
      break;
    }
  }
  return answer;
}

void RawCaller::ask() {
  CallerTry& fresh = tries_.emplace_back();
  fresh.id = absl::StrCat(name_, "r", asks_--);
  fresh.way = static_cast<Way>(chance_.below(4));
  waitsFor_ = tries_.size() - 1;
  leavesIn_ = chance_.oneIn(5) ? 1 + chance_.below(300) : 0;
  if (end_ == nullptr || !end_->open() || end_->gone) {
    const int made = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in where = socketAddress(front_);
    connect(made, reinterpret_cast<const sockaddr*>(&where), sizeof(where));
    end_ = std::make_unique<PolledEnd>(made);
  }
  const std::string body = "body of " + fresh.id;
  const char* paths[] = {"/o", "/r", "/s", "/sr"};
  end_->toSay = absl::StrCat("POST ", paths[static_cast<std::size_t>(fresh.way)],
                             " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: ", fresh.id,
                             "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
}

void RawCaller::settle() {
  const bool closes = headerIn(readAnswer(tries_[*waitsFor_].heard).head, "connection") == "close";
  waitsFor_.reset();
  restsFor_ = chance_.below(40);
  if (closes || end_->gone || chance_.oneIn(5)) end_->close();
}

void RawCaller::step() {
  if (over_) return;
  if (end_ != nullptr && end_->open()) {
    end_->speak(chance_);
    end_->hear();
    std::string came = std::exchange(end_->heard, {});
    if (!waitsFor_) strayBytes += came.size();
    if (waitsFor_) tries_[*waitsFor_].heard += came;
  }
  if (!waitsFor_) {
    if (restsFor_ > 0) return void(--restsFor_);
    over_ = asks_ == 0;
    return over_ ? void(end_.reset()) : ask();
  }
  CallerTry& now = tries_[*waitsFor_];
  const ReadAnswer answer = readAnswer(now.heard);
  now.complete = answer.complete;
  if (answer.complete) {
    strayBytes += now.heard.size() - answer.length;
    return settle();
  }
  if (leavesIn_ > 0 && --leavesIn_ == 0) {
    now.left = true;
    chance_.oneIn(2) ? end_->reset() : end_->close();
    return settle();
  }
  if (end_->gone) settle();
}

AnswerRig::AnswerRig(std::uint64_t seed)
    : chance(seed),
      board(loop, control, boardPlan()),
      gateway(ports, room, board, control, dialect, gatewayPlan()),
      items(ports, room, gateway, control, itemTimes, itemPlan()) {
  board.gone.connect(sigc::mem_fun(*this, &AnswerRig::onGone));
  in.asked.connect(sigc::mem_fun(*this, &AnswerRig::onAsked));
  control.bump();
  Route lots = routeOf("items", RouteKind::kStream, true);
  lots.host = "h.example";
  lots.prefix = "/s/";
  lots.lots = true;
  control.putRoute(lots);
  for (std::size_t i = 0; i < kWorkers; ++i) {
    workers.push_back(std::make_unique<RawWorker>(chance, runs));
    list(*workers.back());
  }
}

void AnswerRig::list(RawWorker& worker) {
  ListedWorker listed;
  listed.address = worker.address;
  listed.pool = "pool";
  listed.zone = "a";
  listed.slots = 8;
  listed.life = worker.life;
  control.bump();
  control.putWorker(listed);
  board.relist();
}

void AnswerRig::onAsked(const HttpAsk& ask, ReplyPtr reply) {
  LiveRequest request;
  request.exchange = ask.headers.at(platform::kAttempt);
  const bool stream = ask.path.rfind("/s", 0) == 0;
  const RouteKind kind = stream ? RouteKind::kStream : ask.path == "/r" ? RouteKind::kLookup : RouteKind::kWhole;
  request.route = routeOf("live", kind, ask.path == "/sr");
  request.ask = ask;
  gateway.enter(std::move(request), std::move(reply));
}

Task AnswerRig::carry(ItemTrip& trip) {
  for (std::size_t granted = 0; granted < kGrants; ++granted) {
    auto run = std::make_shared<LotRun>();
    run->item.id = trip.id;
    run->item.headers = {{platform::kAttempt, trip.id}};
    run->item.target = "/s/item";
    run->item.body = "body of " + trip.id;
    run->host = "h.example";
    run->takenUs = run->heardUs = loop.monoUs();
    Job<ItemEnding> carrying = items.carry(run);
    ItemEnding ending = co_await carrying;
    const bool again = std::holds_alternative<ItemGivenBack>(ending) && granted + 1 < kGrants;
    if (again) continue;
    trip.ending = std::move(ending);
    co_return;
  }
}

bool AnswerRig::run() {
  if (!in.listen()) return false;
  items.begin();
  for (std::size_t i = 0; i < kCallers; ++i)
    callers.push_back(std::make_unique<RawCaller>(chance, in.self(), tries, kAsks, absl::StrCat("c", i)));
  for (std::size_t i = 0; i < kItems; ++i) {
    trips.push_back(std::make_unique<ItemTrip>());
    trips.back()->id = absl::StrCat("i", i);
    room.start(carry(*trips.back()));
  }
  const Us untilUs = loop.monoUs() + kDayUs;
  while (loop.monoUs() < untilUs) {
    event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    bool over = true;
    for (const auto& worker : workers) {
      worker->step();
      if (chance.oneIn(3000)) worker->changeLife();
      if (control.workers().at(worker->address).life != worker->life && chance.oneIn(200)) list(*worker);
    }
    for (const auto& caller : callers) {
      caller->step();
      over = over && caller->over();
    }
    for (const auto& trip : trips) over = over && trip->ending;
    if (over && gateway.relaying() == 0 && gateway.holding() == 0) return true;
  }
  return false;
}

}  // namespace stonemount
