// Model test of the replication code: every placement of up to so many faults over the frames and syncs of short
// histories, each run from the start, the rules checked at every step (docs/design-notes/model-checking.md).
//   replication_model_test                      the depth that CI runs
//   replication_model_test HISTORY [CHOICES]    one run told in full, e.g.: wiped "41:crash 60:drop"
// MODEL_IDLE=N one fault at every Nth of the frames that change no state (pings, reads); MODEL_PAIRS=N two faults at
// every Nth of the steps that do (0: none); MODEL_TRIPLES=N drawn runs of three for each history, by MODEL_SEED=N;
// MODEL_HISTORY=NAME one history alone; MODEL_NARROW=N single faults at every Nth step of the history "narrow" (1:
// all).
#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "replication_model_rig.h"

using namespace stonemount;

namespace {
char running[512];  // what an invariant of the code itself stopped

void tellRun(int) {
  const ssize_t written = write(STDERR_FILENO, running, std::strlen(running));
  signal(SIGABRT, SIG_DFL);
  if (written >= 0) abort();
}

std::uint64_t setting(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text != nullptr ? std::stoull(text) : otherwise;
}

struct Explorer {
  History history;
  std::uint64_t runs = 0;
  std::uint64_t checkedSteps = 0;
  bool well = true;

  std::vector<Step> run(const Choices& choices) {
    std::snprintf(running, sizeof(running), "FAILED %s \"%s\": an invariant of the code\n", historyText(history),
                  choicesText(choices).c_str());
    ModelRig rig(history, choices, false);
    rig.play();
    ++runs;
    checkedSteps += rig.steps().size();
    if (!rig.rules.broken.empty()) {
      std::printf("FAILED %s \"%s\": %s\n", historyText(history), choicesText(choices).c_str(),
                  rig.rules.broken.c_str());
      std::fflush(stdout);
      well = false;
    }
    return rig.steps();
  }
};

// Frames that change what replicas hold or have sworn to; pings, reads and questions for the view do neither.
bool changesState(const Step& step) {
  if (step.sync) return true;
  return step.kind != Ping::kKind && step.kind != ViewAsk::kKind && step.kind != Read::kKind && step.toMember;
}

// The faults of which pairs are made: one of each kind of loss.
bool paired(StepFault fault) {
  switch (fault) {
    case StepFault::kDuplicateLate:
    case StepFault::kDelayLong:
    case StepFault::kCutOneWay:
    case StepFault::kIsolate:
    case StepFault::kFreeze:
    case StepFault::kCrashLong:
    case StepFault::kPowerLoss:
    case StepFault::kWipe:
    case StepFault::kSyncFails:
    case StepFault::kSyncThenPower:
      return true;
    default:
      return false;
  }
}

// One fault: each kind at every step that changes state, and at every Nth of the others.
bool singles(Explorer& explorer) {
  const std::size_t idleStride = setting("MODEL_IDLE", 8);
  // The longest history by far: its rules are the others', so only some of its steps are taken unless asked for.
  const std::size_t stride = explorer.history == History::kNarrow ? setting("MODEL_NARROW", 5) : 1;
  const std::vector<Step> steps = explorer.run({});
  std::size_t idle = 0, busy = 0;
  for (std::size_t i = 0; i < steps.size() && explorer.well; ++i) {
    const bool changes = changesState(steps[i]);
    if ((changes ? busy++ : idle++) % (changes ? stride : stride * idleStride) != 0) continue;
    for (const StepFault fault : steps[i].faults)
      if (explorer.well) explorer.run({{i, fault}});
  }
  return explorer.well;
}

std::vector<Choice> coarse(const std::vector<Step>& steps, std::size_t from, std::size_t stride) {
  std::vector<Choice> found;
  std::size_t number = 0;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    if (!changesState(steps[i])) continue;
    if (number++ % stride != 0 || i < from) continue;
    for (const StepFault fault : steps[i].faults)
      if (paired(fault)) found.push_back({i, fault});
  }
  return found;
}

// Two: every Nth of the steps that change state with one of the coarse faults, then every Nth of those after it.
bool pairs(Explorer& explorer) {
  const std::size_t stride = setting("MODEL_PAIRS", 40);
  if (stride == 0) return true;
  const std::vector<Step> steps = explorer.run({});
  for (const Choice& first : coarse(steps, 0, stride)) {
    const std::vector<Step> after = explorer.run({first});
    for (const Choice& second : coarse(after, first.step + 1, stride)) {
      explorer.run({first, second});
      if (!explorer.well) return false;
    }
  }
  return explorer.well;
}

// Three, at drawn steps: the draw is by seed, so the same runs each time.
bool triples(Explorer& explorer) {
  Chance chance(setting("MODEL_SEED", 1) ^ (static_cast<std::uint64_t>(explorer.history) << 32));
  const std::uint64_t budget = setting("MODEL_TRIPLES", 100);
  for (std::uint64_t i = 0; i < budget && explorer.well; ++i) {
    Choices choices;
    std::vector<Step> steps = explorer.run({});
    while (choices.size() < 3 && explorer.well) {
      const std::vector<Choice> found = coarse(steps, choices.empty() ? 0 : choices.back().step + 1, 1);
      if (found.empty()) break;
      choices.push_back(found[chance.below(found.size())]);
      steps = explorer.run(choices);
    }
  }
  return explorer.well;
}

// Fewer faults first, so that what is found is shown by the fewest; ends at the first rule broken.
bool explore(const std::vector<History>& histories) {
  const std::pair<const char*, bool (*)(Explorer&)> depths[] = {{"one", singles}, {"two", pairs}, {"three", triples}};
  for (const auto& [name, search] : depths) {
    for (const History history : histories) {
      const auto begun = std::chrono::steady_clock::now();
      Explorer explorer{history};
      const bool well = search(explorer);
      const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
      std::printf("%s faults, %s: %llu runs, %llu steps, %.1f s, %s\n", name, historyText(history),
                  static_cast<unsigned long long>(explorer.runs),
                  static_cast<unsigned long long>(explorer.checkedSteps), took.count(), well ? "well" : "FAILED");
      std::fflush(stdout);
      if (!well) return false;
    }
  }
  return true;
}

Choices parseChoices(const std::string& text) {
  Choices choices;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t end = std::min(text.find(' ', at), text.size());
    const std::string word = text.substr(at, end - at);
    const std::size_t colon = word.find(':');
    for (int i = 0; i <= static_cast<int>(StepFault::kSyncThenPower) && colon != std::string::npos; ++i)
      if (word.substr(colon + 1) == stepFaultText(static_cast<StepFault>(i)))
        choices.push_back({std::stoul(word.substr(0, colon)), static_cast<StepFault>(i)});
    at = end + 1;
  }
  return choices;
}

int tellOne(History history, const std::string& text) {
  ModelRig rig(history, parseChoices(text), true);
  rig.play();
  const std::string& broken = rig.rules.broken;
  std::printf("%s after %zu steps%s%s\n", broken.empty() ? "well" : "FAILED", rig.steps().size(),
              broken.empty() ? "" : ": ", broken.c_str());
  return broken.empty() ? 0 : 1;
}
}  // namespace

int main(int argc, char** argv) {
  signal(SIGABRT, tellRun);
  const char* only = argc > 1 ? argv[1] : std::getenv("MODEL_HISTORY");
  std::vector<History> histories;
  for (std::size_t i = 0; i < kHistories; ++i)
    if (only == nullptr || std::strcmp(only, historyText(static_cast<History>(i))) == 0)
      histories.push_back(static_cast<History>(i));
  if (histories.empty()) return 2;
  if (argc > 1) return tellOne(histories.front(), argc > 2 ? argv[2] : "");
  return explore(histories) ? 0 : 1;
}
