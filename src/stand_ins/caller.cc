#include "stand_ins/caller.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "stand_ins/worker.h"

namespace stonemount {

RehearseCaller::RehearseCaller(Ports& ports, CallerPlan plan, CallerLedger& ledger)
    : ports_(ports), plan_(std::move(plan)), ledger_(ledger) {}

void RehearseCaller::begin() {
  if (plan_.lookupEveryUs > 0) room_.start(every(Kind::kLookup, plan_.lookupEveryUs));
  if (plan_.streamEveryUs > 0) room_.start(every(Kind::kStream, plan_.streamEveryUs));
  if (plan_.wholeEveryUs > 0) room_.start(every(Kind::kWhole, plan_.wholeEveryUs));
  if (plan_.lots > 0 && !plan_.event.empty()) room_.start(handIn());
}

// Mostly its own zone's nodes, as the platform would send it.
Address RehearseCaller::anyNode() { return plan_.nodes[ports_.chance.below(plan_.nodes.size())]; }

Bytes RehearseCaller::freshPrompt(std::size_t shared) {
  const std::string prefix = absl::StrCat("contract ", ports_.chance.below(shared), " ");
  Bytes prompt;
  while (prompt.size() < 80) prompt += prefix;
  return absl::StrCat(prompt.substr(0, 80), plan_.name, "#", ++last_);
}

Task RehearseCaller::every(Kind kind, Us periodUs) {
  while (!stopped_) {
    Pause pause(ports_.timers,
                periodUs / 2 + static_cast<Us>(ports_.chance.below(static_cast<std::uint64_t>(periodUs))));
    co_await pause;
    if (!stopped_) room_.start(call(kind));
  }
}

Task RehearseCaller::call(Kind kind) {
  ++open_;
  ++ledger_.asked;
  const Bytes prompt = freshPrompt(40);
  HttpAsk ask;
  if (kind == Kind::kLookup) {
    ask.method = "GET";
    ask.path = "/v1/lookups/card";
    ask.query["key"] = prompt;
  } else {
    ask.method = "POST";
    ask.path = kind == Kind::kStream ? "/v1/streams/digest" : "/v1/answers/review";
    JsonOut out;
    out.object().field("prompt", prompt).closeObject();
    ask.body = out.take();
  }
  ask.headers["x-limit-us"] = absl::StrCat(plan_.limitUs);
  HttpCall http(ports_, anyNode(), ask, plan_.limitUs + kSecondUs);
  const HttpVerdict verdict = co_await http;
  judge(kind, prompt, verdict);
  --open_;
}

void RehearseCaller::burst(std::uint32_t count) {
  for (std::uint32_t i = 0; i < count && !stopped_; ++i) room_.start(call(i % 2 == 0 ? Kind::kStream : Kind::kWhole));
}

bool RehearseCaller::wholeAndRight(Kind kind, const Bytes& prompt, const Bytes& body) {
  const std::vector<std::string> lines = absl::StrSplit(body, '\n', absl::SkipEmpty());
  if (lines.empty()) return false;
  JsonVerdict last = parseJson(lines.back());
  auto* document = std::get_if<JsonDocument>(&last);
  if (document == nullptr || !document->IsObject() || !document->HasMember("seal")) return false;
  Bytes answer = jsonString(*document, "answer");
  if (kind == Kind::kStream) {
    for (std::size_t i = 0; i + 1 < lines.size(); ++i) {
      JsonVerdict part = parseJson(lines[i]);
      if (auto* read = std::get_if<JsonDocument>(&part)) answer += jsonString(*read, "data");
    }
  }
  const std::uint32_t parts = kind == Kind::kLookup ? 1 : plan_.workerParts;
  if (!rehearsedWell(prompt, answer, parts))
    ledger_.faults.push_back("success that is not the whole right answer: " + prompt);
  return true;
}

void RehearseCaller::judge(Kind kind, const Bytes& prompt, const HttpVerdict& verdict) {
  bool served = false;
  if (auto* whole = std::get_if<HttpWhole>(&verdict)) {
    if (whole->status == 200) {
      served = wholeAndRight(kind, prompt, whole->body);
      ++(served ? ledger_.served : ledger_.notWhole);
    } else {
      ++ledger_.turnedAway;
      const bool again = whole->status == 429 || whole->status == 503;
      if (again && !whole->headers.contains("retry-after")) ledger_.faults.push_back("no Retry-After: " + whole->body);
      JsonVerdict read = parseJson(whole->body);
      auto* document = std::get_if<JsonDocument>(&read);
      if (document != nullptr && jsonString(*document, "ran") == "no") {
        ledger_.toldNeverRuns.push_back(prompt);
        toldNeverRuns.emit(prompt);
      }
    }
  } else {
    ++ledger_.silent;
  }
  ledger_.outcomes.emplace_back(ports_.clock.monoUs(), served);
}

}  // namespace stonemount
