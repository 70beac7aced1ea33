// Each check of the soak passes on a sound run and fails on one with a planted fault, and no other check does
// (docs/soak.md).
#include <absl/strings/str_cat.h>

#include "expect.h"
#include "soak/checks.h"

using namespace stonemount;
using namespace stonemount::soak;

namespace {
// What a sound run leaves behind.
Run sound() {
  Run run;
  run.nodeOf = {{"127.0.0.1:8000", "node-1"}, {"127.0.0.2:8000", "node-2"}};
  run.troubles = {{1'000'000, "KILL", "node-2"}};
  run.cuts.emplace();
  run.callers = {{"caller-main", 2, 2, {}}};
  run.before = {{"node", 100, 200, 20}};
  run.after = {{"node", 110, 210, 25}};
  for (std::int64_t second = 1; second <= 30; ++second) run.memory.push_back({second, "node", 11'000});
  run.started = {{"live", "aa"}, {"lookup", "bb"}, {"lookup", "bb"}, {"lot", "cc"}, {"lot", "cc"}};
  run.neverRuns = {"dd"};
  run.changes = {{"change-1-a", "change 1 of a", "taken", 2}, {"change-1-b", "change 1 of b", "conflict", 2}};
  run.history = {{2, "change 1 of a"}};
  return run;
}

// Just the check of that name fails.
void fails(const std::string& name, const std::string& what, const Run& run) {
  for (const Check& check : allChecks()) {
    const bool failed = check.run(run).has_value();
    expect(failed == (name == check.name), absl::StrCat(what, ": ", check.name, failed ? " fails" : " passes"));
  }
}

void cuts() {
  Run run = sound();
  run.cuts = {{"127.0.0.2:8000", 1'100'000, "cut"}};
  fails("", "a cut by a kill", run);
  run.cuts = {{"127.0.0.1:8000", 1'100'000, "cut"}};
  fails("cuts", "a cut answer of a node that was not killed", run);
  run.cuts = {{"127.0.0.2:8000", 6'100'000, "cut"}};
  fails("cuts", "a cut long after the kill", run);
  run.cuts = {{"127.0.0.9:8000", 1'100'000, "cut"}};
  fails("cuts", "a cut at a node that nobody knows", run);
  run.cuts.reset();
  fails("cuts", "no record of cuts", run);
}

void callers() {
  Run run = sound();
  run.callers.push_back({"caller-burst-1", 2, 1, {}});
  fails("lots", "a lost lot", run);
  run = sound();
  run.callers.push_back({"caller-burst-1", 1, 1, {"success that is not the whole right answer: p"}});
  fails("callers", "a wrong answer", run);
  run = sound();
  run.callers.clear();
  fails("lots", "no caller", run);
}

void processes() {
  Run run = sound();
  run.brokenLogs = {"store-1: invariant: failed"};
  fails("invariants", "a broken invariant", run);
  run = sound();
  run.after = {{"node", 110, 210, 400}};
  fails("descriptors", "leaked descriptors", run);
  run = sound();
  for (MemorySample& sample : run.memory) sample.residentKib = 10'000 + 3'000 * sample.atSeconds;
  fails("memory", "memory that grows and grows", run);
  run.memory.clear();
  fails("memory", "no record of memory", run);
  for (const auto& [mark, check] : std::map<std::string, std::string>{
           {"OVERTIME", "overtime"}, {"NOT_WHOLE", "chains"}, {"NOT_REPLACED", "replaced"}}) {
    run = sound();
    run.troubles.push_back({2'000'000, mark, "store"});
    fails(check, mark, run);
  }
}

void runs() {
  Run run = sound();
  run.started.push_back({"live", "dd"});
  fails("refused", "a run of what was refused", run);
  run = sound();
  run.started.push_back({"live", "aa"});
  fails("twice", "a live request that ran twice", run);
}

void changes() {
  Run run = sound();
  run.history = {{1, "first routes"}};
  fails("changes", "a confirmed change that is gone", run);
  run = sound();
  run.changes.push_back({"change-2-b", "change 2 of b", "taken", 2});
  fails("changes", "two changes under one number", run);
  run = sound();
  run.unreadable = {"troubles: ???"};
  fails("readable", "a line that cannot be read", run);
}
}  // namespace

int main() {
  fails("", "a sound run", sound());
  cuts();
  callers();
  processes();
  runs();
  changes();
  return expectationsVerdict();
}
