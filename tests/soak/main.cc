// soak-checks FOLDER [CHECK...]: holds the records of a run of the soak to all checks, or to those named. A line for
// each that fails, then the counts; exit status 1 if any failed, 2 if the words are wrong.
#include <algorithm>
#include <cstdio>
#include <set>

#include "checks.h"

using namespace stonemount::soak;

namespace {
bool known(const std::string& name) {
  const std::vector<Check>& checks = allChecks();
  return std::any_of(checks.begin(), checks.end(), [&name](const Check& check) { return name == check.name; });
}
}  // namespace

int main(int count, char** words) {
  const std::set<std::string> wanted(words + std::min(count, 2), words + count);
  if (count < 2 || !std::all_of(wanted.begin(), wanted.end(), known)) {
    std::fprintf(stderr, "usage: soak-checks FOLDER [CHECK...]; checks:");
    for (const Check& check : allChecks()) std::fprintf(stderr, " %s", check.name);
    std::fprintf(stderr, "\n");
    return 2;
  }
  const Run run = readRun(words[1]);
  int passed = 0, failed = 0;
  for (const Check& check : allChecks()) {
    if (!wanted.empty() && !wanted.contains(check.name)) continue;
    const Fault fault = check.run(run);
    ++(fault ? failed : passed);
    if (fault) std::printf("FAILED %s: %s\n", check.text, fault->c_str());
  }
  std::printf("records: %d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
