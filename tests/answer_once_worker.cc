#include "answer_once_worker.h"

#include <absl/strings/ascii.h>

namespace stonemount {

namespace {
constexpr std::uint64_t kEvents = 5;

std::string lowerHead(const std::string& text) { return absl::AsciiStrToLower(text.substr(0, text.find("\r\n\r\n"))); }
}  // namespace

RawWorker::RawWorker(Chance& chance, std::vector<WorkerRun>& runs)
    : chance_(chance), runs_(runs), listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
  sockaddr_in where = socketAddress({(127u << 24) | 1, 0});
  socklen_t length = sizeof(where);
  bind(listener_, reinterpret_cast<sockaddr*>(&where), length);
  listen(listener_, 64);
  getsockname(listener_, reinterpret_cast<sockaddr*>(&where), &length);
  address = {(127u << 24) | 1, ntohs(where.sin_port)};
}

void RawWorker::step() {
  for (int fresh = accept(listener_, nullptr, nullptr); fresh >= 0; fresh = accept(listener_, nullptr, nullptr))
    lines_.push_back(std::make_unique<Line>(fresh));
  if (chance_.oneIn(full_ ? 200 : 600)) full_ = !full_;
  for (const std::unique_ptr<Line>& held : lines_) {
    Line& line = *held;
    line.end.hear();
    if (line.waits > 0) {
      --line.waits;
      continue;
    }
    line.end.speak(chance_);
    if (!line.end.toSay.empty()) continue;
    if (line.after == After::kClose) line.end.close();
    if (line.after == After::kReset) line.end.reset();
    if (line.after == After::kHalfClose) line.end.halfClose();
    if (line.after != After::kKeep) line.forgotten = true;
    line.after = After::kKeep;
    line.busy = false;
    if (line.end.gone) line.end.close();
    if (line.end.open() && !line.forgotten && !line.end.heard.empty()) take(line);
  }
  std::erase_if(lines_, [](const std::unique_ptr<Line>& line) { return !line->end.open(); });
}

// What was left over from earlier, to be said at a wrong time: a former answer or a part of one, or garbage.
std::string RawWorker::surplus() {
  if (said.empty() || chance_.oneIn(6)) return std::string(1 + chance_.below(40), '#');
  const std::string& former = said[said.size() - 1 - chance_.below(std::min<std::size_t>(said.size(), 4))];
  if (chance_.oneIn(3)) return former;
  return former.substr(0, chance_.below(std::min<std::size_t>(former.size(), chance_.oneIn(2) ? 22 : 120)));
}

void RawWorker::take(Line& line) {
  std::string& heard = line.end.heard;
  const std::size_t headEnd = heard.find("\r\n\r\n");
  const std::string head = lowerHead(heard);
  const std::string id = headerIn(head + "\r\n", "attempt-id");
  const std::size_t length =
      headEnd == std::string::npos ? 0 : std::strtoul(headerIn(head + "\r\n", "content-length").c_str(), nullptr, 10);
  const bool whole = headEnd != std::string::npos && heard.size() >= headEnd + 4 + length;
  if (!whole) {
    if (id.empty() || headEnd == std::string::npos || !chance_.oneIn(8)) return;
  } else if (chance_.oneIn(40)) {
    line.forgotten = true;  // kept, and dropped without a word: nothing of it is run, and nobody hears of that
    return;
  }
  WorkerRun& run = runs_.emplace_back();
  run.id = id;
  run.after = std::strtoul(headerIn(head + "\r\n", "last-event-id").c_str(), nullptr, 10);
  const std::string wanted = headerIn(head + "\r\n", "expected-instance");
  run.named = !wanted.empty();
  const bool events = head.find("/s") < head.find(" http/");
  heard.clear();
  line.busy = true;
  if (!whole) return (chance_.oneIn(2) ? line.end.reset() : line.end.close());
  if (wanted != life) {
    run.mayHaveRun = false;
    line.end.toSay =
        absl::StrCat("HTTP/1.1 421 Other\r\nAttempt-Id: ", id, "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    return;
  }
  const bool sound = chance_.oneIn(2);
  const auto deed = sound ? WorkerDeed::kWhole
                          : static_cast<WorkerDeed>(chance_.below(static_cast<std::uint64_t>(WorkerDeed::kCount)));
  answer(line, run, full_ ? WorkerDeed::kRefuse : deed, events);
}

std::string RawWorker::bodyOf(WorkerRun& run, std::size_t number, bool events, WorkerDeed deed) {
  if (!events || run.status != 200) {
    const std::size_t marks = chance_.oneIn(60) ? 60'000 : chance_.below(12);
    for (std::size_t i = 0; i < marks; ++i) absl::StrAppend(&run.body, "[", run.id, "/", number, "/", i, "]");
    return run.body;
  }
  for (std::uint64_t event = run.after + 1; event <= kEvents; ++event) {
    run.data.push_back(absl::StrCat(run.id, "/", number, "/", event));
    // A series without its last event ends as well as any: nobody could tell.
    if (deed == WorkerDeed::kGap && event == run.after + 2 && event < kEvents) continue;
    absl::StrAppend(&run.body, "id: ", event, "\ndata: ", run.data.back(), "\n\n");
  }
  if (deed == WorkerDeed::kEndInside)
    run.body.resize(run.body.size() - std::min<std::size_t>(run.body.size(), 1 + chance_.below(9)));
  return run.body;
}

std::string RawWorker::framed(const std::string& head, const std::string& body, WorkerDeed deed) {
  std::string sent = body;
  if (deed == WorkerDeed::kCutShort) sent = body.substr(0, chance_.below(body.size() + 1));
  const bool early = deed == WorkerDeed::kEndEarly;
  if (early && chance_.oneIn(3)) return head + "\r\n" + body.substr(0, chance_.below(body.size() + 1));  // no framing
  if (chance_.oneIn(2)) {
    const std::size_t told = early ? body.size() + 1 + chance_.below(30) : body.size();
    return absl::StrCat(head, "Content-Length: ", told, "\r\n\r\n", sent);
  }
  std::string text = head + "Transfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < sent.size();) {
    const std::size_t size = std::min(sent.size() - at, static_cast<std::size_t>(1 + chance_.below(sent.size())));
    absl::StrAppend(&text, absl::Hex(size), "\r\n", sent.substr(at, size), "\r\n");
    at += size;
  }
  if (!early && deed != WorkerDeed::kCutShort) text += "0\r\n\r\n";
  return text;
}

void RawWorker::answer(Line& line, WorkerRun& run, WorkerDeed deed, bool events) {
  const std::size_t number = runs_.size() - 1;
  std::string& toSay = line.end.toSay;
  line.waits = chance_.oneIn(3) ? chance_.below(200) : 0;
  if (deed == WorkerDeed::kSilent) {
    line.forgotten = chance_.oneIn(2);
    if (line.forgotten) return;
    deed = WorkerDeed::kWhole;
    line.waits = 20'000;  // most callers have left by then
  }
  const bool ends =
      deed == WorkerDeed::kBreakUnanswered || deed == WorkerDeed::kCutShort || deed == WorkerDeed::kEndEarly;
  if (ends || chance_.oneIn(8)) line.after = static_cast<After>(1 + chance_.below(3));
  if (deed == WorkerDeed::kBreakUnanswered) return;
  toSay = chance_.oneIn(2) ? std::exchange(line.before, {}) : "";
  if (deed == WorkerDeed::kGarbage) {
    toSay += std::string(1 + chance_.below(200), chance_.oneIn(2) ? '\0' : '#') + "\r\n\r\n";
    return;
  }
  const bool refuses = deed == WorkerDeed::kRefuse;
  run.mayHaveRun = !refuses;
  run.status = deed == WorkerDeed::kFail                     ? 500
               : deed == WorkerDeed::kDecline                ? 422
               : refuses || deed == WorkerDeed::kBareRefusal ? (chance_.oneIn(2) ? 503 : 429)
                                                             : 200;
  run.seal = absl::StrCat("seal-", run.id, "-", number);
  std::string name = run.id;
  if (deed == WorkerDeed::kOtherName) name = runs_[chance_.below(runs_.size())].id + (chance_.oneIn(2) ? "" : "0");
  std::string head =
      absl::StrCat("HTTP/1.1 ", run.status, " Word\r\nX-Own: ", number, "\r\nAttempt-Id: ", name, "\r\n");
  if (refuses)
    head += "Not-Executed: 1\r\n";
  else
    absl::StrAppend(&head, "Server-Seal: ", run.seal, "\r\n");
  if (events && run.status == 200) head += "Content-Type: text/event-stream\r\n";
  if (chance_.oneIn(10)) head += "Connection: close\r\n";
  const std::string text = framed(head, bodyOf(run, number, events, deed), deed);
  if (name != run.id && deed == WorkerDeed::kOtherName) run.seal = "none";  // nothing of it may be taken
  toSay += text;
  if (!ends && text.size() < 4096) said.push_back(text);
  if (!ends && chance_.oneIn(5)) toSay += surplus();  // else it would be taken for what is missing
  if (chance_.oneIn(4)) line.before = surplus();
}

}  // namespace stonemount
