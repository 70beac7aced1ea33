// Model test of the replication code: every placement of up to so many faults over the frames and syncs of short
// histories, each run from the start, the rules checked at every step (docs/design-notes/model-checking.md).
//   replication_model_test                      the depth that CI runs
//   replication_model_test HISTORY [CHOICES]    one run told in full, e.g.: wiped "41:crash 60:drop"
// MODEL_PAIRS=N every Nth protocol step in pairs of faults (0: none), MODEL_TRIPLES=N drawn runs of three faults for
// each history, MODEL_HISTORY=NAME one history alone, MODEL_SEED=N other triples.
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
bool paired(Fault fault) {
  switch (fault) {
    case Fault::kDuplicateLate:
    case Fault::kDelayLong:
    case Fault::kCutOneWay:
    case Fault::kIsolate:
    case Fault::kFreeze:
    case Fault::kCrashLong:
    case Fault::kPowerLoss:
    case Fault::kWipe:
    case Fault::kSyncFails:
    case Fault::kSyncThenPower:
      return true;
    default:
      return false;
  }
}

// Every step, every fault.
bool singles(Explorer& explorer) {
  const std::vector<Step> steps = explorer.run({});
  for (std::size_t i = 0; i < steps.size() && explorer.well; ++i)
    for (const Fault fault : steps[i].faults) {
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
    for (const Fault fault : steps[i].faults)
      if (paired(fault)) found.push_back({i, fault});
  }
  return found;
}

// Every Nth protocol step with one of the coarse faults, then every Nth of those that come after it.
bool pairs(Explorer& explorer, std::size_t stride) {
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

// Three faults at drawn steps: the draw is by seed, so the same runs each time.
bool triples(Explorer& explorer, std::uint64_t budget, std::uint64_t seed) {
  Chance chance(seed ^ (static_cast<std::uint64_t>(explorer.history) << 32));
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

bool explore(History history) {
  const auto begun = std::chrono::steady_clock::now();
  Explorer explorer{history};
  const bool single = singles(explorer);
  const std::uint64_t singleRuns = explorer.runs;
  const std::uint64_t stride = setting("MODEL_PAIRS", 12);
  const bool pair = single && (stride == 0 || pairs(explorer, stride));
  const std::uint64_t pairRuns = explorer.runs - singleRuns;
  const bool triple = pair && triples(explorer, setting("MODEL_TRIPLES", 40), setting("MODEL_SEED", 1));
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begun;
  std::printf("%s: %llu runs of one fault, %llu of two, %llu of three; %llu steps; %.1f s; %s\n", historyText(history),
              static_cast<unsigned long long>(singleRuns), static_cast<unsigned long long>(pairRuns),
              static_cast<unsigned long long>(explorer.runs - singleRuns - pairRuns),
              static_cast<unsigned long long>(explorer.checkedSteps), took.count(), triple ? "well" : "FAILED");
  std::fflush(stdout);
  return triple;
}

Choices parseChoices(const std::string& text) {
  Choices choices;
  std::size_t at = 0;
  while (at < text.size()) {
    const std::size_t end = std::min(text.find(' ', at), text.size());
    const std::string word = text.substr(at, end - at);
    const std::size_t colon = word.find(':');
    for (int i = 0; i <= static_cast<int>(Fault::kSyncThenPower) && colon != std::string::npos; ++i)
      if (word.substr(colon + 1) == faultText(static_cast<Fault>(i)))
        choices.push_back({std::stoul(word.substr(0, colon)), static_cast<Fault>(i)});
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
  bool well = true, found = false;
  for (std::size_t i = 0; i < kHistories; ++i) {
    const History history = static_cast<History>(i);
    if (only != nullptr && std::strcmp(only, historyText(history)) != 0) continue;
    found = true;
    if (argc > 1) return tellOne(history, argc > 2 ? argv[2] : "");
    well = explore(history) && well;
  }
  return well && found ? 0 : 1;
}
