// The right answer, once (docs/review/5-right-answer-once.md): whatever workers and callers do on their
// connections, no caller gets a byte of another's answer, nothing incomplete looks complete, nothing runs twice
// that may not, and what is promised is kept. The verdict does not depend on how fast the machine is.
#include <absl/strings/str_split.h>

#include <cstdio>

#include "answer_once_rig.h"

using namespace stonemount;

namespace {
int passed = 0, failed = 0;

class Judge {
 public:
  Judge(const AnswerRig& rig, std::uint64_t seed) : rig_(rig), seed_(seed) {}
  void judge() {
    for (const CallerTry& one : rig_.tries) judgeTry(one);
    for (const auto& caller : rig_.callers) check(caller->strayBytes == 0, "bytes where no request was waiting", "");
    for (const auto& trip : rig_.trips) judgeItem(*trip);
    for (const WorkerRun& run : rig_.runs) check(run.named, "sent without the worker's name", run.id);
  }
  std::size_t whole = 0, failures = 0, promises = 0, partial = 0, resumed = 0, items = 0;

 private:
  void check(bool well, const char* what, const std::string& id) {
    ++(well ? passed : failed);
    if (!well) std::printf("FAILED seed %llu %s: %s\n", static_cast<unsigned long long>(seed_), id.c_str(), what);
  }
  const WorkerRun* sealedBy(const std::string& seal) const {
    for (const WorkerRun& run : rig_.runs)
      if (!run.seal.empty() && run.seal == seal) return &run;
    return nullptr;
  }
  // Events in order from the first on, each of a run of this request that had been asked to go on there.
  bool joinsWell(const std::string& id, const std::vector<std::string>& data, std::uint64_t after, bool mayChange,
                 bool complete) {
    std::string marks;
    for (const std::string& one : data) {
      const std::vector<std::string> parts = absl::StrSplit(one, '/');
      if (parts.size() != 3 || parts[0] != id || std::stoul(parts[2]) != after + 1) return false;
      const WorkerRun& run = rig_.runs.at(std::stoul(parts[1]));
      if (run.id != id) return false;
      const bool changes = parts[1] != marks;
      if (changes && (run.after != after || (!marks.empty() && !mayChange))) return false;
      if (changes && !marks.empty()) ++resumed;
      marks = parts[1];
      ++after;
    }
    return !complete || after == 5;
  }
  // Data of the whole events of a series; none: what it has is no series of events.
  static std::optional<std::vector<std::string>> dataOf(const std::string& body, bool complete) {
    std::vector<std::string> data;
    std::size_t at = 0;
    for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", at)) {
      const std::string event = body.substr(at, end - at);
      const std::size_t mark = event.find("\ndata: ");
      if (event.rfind("id: ", 0) != 0 || mark == std::string::npos) return std::nullopt;
      data.push_back(event.substr(mark + 7));
      at = end + 2;
    }
    if (complete && at != body.size()) return std::nullopt;
    return data;
  }
  void judgeTry(const CallerTry& one) {
    std::size_t sends = 0, mayHaveRun = 0;
    for (const WorkerRun& run : rig_.runs) {
      sends += run.id == one.id ? 1 : 0;
      mayHaveRun += run.id == one.id && run.mayHaveRun ? 1 : 0;
    }
    const bool repeats = one.way == Way::kRepeatable || one.way == Way::kResumable;
    check(sends <= AnswerRig::kMostTries, "sent to more workers than its route allows", one.id);
    check(repeats || mayHaveRun <= 1, "run twice", one.id);
    const ReadAnswer answer = readAnswer(one.heard);
    if (answer.head.empty()) return;
    check(!answer.malformed, "not an answer in the protocol", one.id);
    const bool success = answer.status >= 200 && answer.status < 300;
    const bool promise = answer.status == 503 || answer.status == 429 || answer.status == 408 || answer.status == 421;
    check(!promise || mayHaveRun == 0, "promised not to have run", one.id);
    if (!success && answer.seal.empty()) {
      check(promise || answer.status == 502 || answer.status == 504, "a status that we do not give", one.id);
      ++(promise ? promises : failures);
      return;
    }
    const WorkerRun* run = sealedBy(answer.seal);
    check(run != nullptr && run->id == one.id, "a seal of no run of this request", one.id);
    if (run == nullptr || run->id != one.id) return;
    check(run->status == answer.status, "another status than its worker gave", one.id);
    ++(answer.complete ? whole : partial);
    if (one.way >= Way::kStream && success) {
      const auto data = dataOf(answer.body, answer.complete);
      check(data && joinsWell(one.id, *data, 0, one.way == Way::kResumable, answer.complete), "events", one.id);
      return;
    }
    if (answer.complete)
      check(answer.body == run->body, "complete, and not the worker's body", one.id);
    else
      check(run->body.starts_with(answer.body), "bytes that are not its own", one.id);
  }
  void judgeItem(const ItemTrip& trip) {
    check(trip.ending.has_value(), "an item without an end", trip.id);
    auto* whole = trip.ending ? std::get_if<ItemWhole>(&*trip.ending) : nullptr;
    if (whole == nullptr) return;
    ++items;
    const std::vector<std::string> data = absl::StrSplit(whole->answer, '\n');
    check(joinsWell(trip.id, data, 0, true, true), "the text of an item", trip.id);
  }
  const AnswerRig& rig_;
  std::uint64_t seed_;
};
}  // namespace

int main() {
  std::uint64_t first = 1, count = 60;
  if (const char* given = std::getenv("ANSWER_ONCE_SEEDS")) {
    const std::vector<std::string> parts = absl::StrSplit(given, ',');
    first = std::stoull(parts.at(0));
    count = std::stoull(parts.at(1));
  }
  std::size_t whole = 0, failures = 0, promises = 0, partial = 0, resumed = 0, items = 0, reused = 0;
  constexpr int kEnough = 50;  // a fault that is there in every day is told by a few of them
  for (std::uint64_t seed = first; seed < first + count && failed < kEnough; ++seed) {
    AnswerRig rig(seed);
    const bool ended = rig.run();
    ++(ended ? passed : failed);
    if (!ended) std::printf("FAILED seed %llu: the day did not end\n", static_cast<unsigned long long>(seed));
    Judge judge(rig, seed);
    judge.judge();
    whole += judge.whole, failures += judge.failures, promises += judge.promises, partial += judge.partial;
    resumed += judge.resumed, items += judge.items, reused += rig.out.reused();
  }
  std::printf("%zu whole, %zu failed, %zu promised unrun, %zu cut, %zu resumed, %zu items, %zu on kept channels\n",
              whole, failures, promises, partial, resumed, items, reused);
  const bool reached = count < 30 || (whole > 0 && failures > 0 && promises > 0 && partial > 0 && resumed > 0 &&
                                      items > 0 && reused > 0);
  ++(reached ? passed : failed);
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
