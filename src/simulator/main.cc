// Exploration: many seeds, any faults. A failing seed is printed and comes again byte for byte.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include <cstdio>

#include "simulator/fault_schedule.h"

ABSL_FLAG(std::uint64_t, seed, 1, "first seed");
ABSL_FLAG(int, runs, 1, "how many seeds");
ABSL_FLAG(std::string, shape, "posilka", "posilka or portavia");
ABSL_FLAG(std::string, faults, "", "names with commas; none: any");
ABSL_FLAG(int, seconds, 40, "length of the trouble, simulated");
ABSL_FLAG(bool, last, false, "end with a fault that never heals");
ABSL_FLAG(bool, list, false, "name the faults");
ABSL_FLAG(bool, told, true, "stores and a fourth core are told who founds");
ABSL_FLAG(bool, loud, false, "print the log");

int main(int argc, char** argv) {
  using namespace stonemount;
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_list)) {
    for (std::uint8_t i = 0; i < static_cast<std::uint8_t>(Fault::kCount); ++i)
      std::puts(faultText(static_cast<Fault>(i)));
    return 0;
  }
  FaultSchedulePlan plan;
  plan.lengthUs = absl::GetFlag(FLAGS_seconds) * kSecondUs;
  const std::vector<std::string> names = absl::StrSplit(absl::GetFlag(FLAGS_faults), ',', absl::SkipEmpty());
  for (const std::string& name : names)
    for (std::uint8_t i = 0; i < static_cast<std::uint8_t>(Fault::kCount); ++i)
      if (name == faultText(static_cast<Fault>(i))) plan.faults.push_back(static_cast<Fault>(i));
  plan.lastStays = absl::GetFlag(FLAGS_last);
  int bad = 0;
  for (int i = 0; i < absl::GetFlag(FLAGS_runs); ++i) {
    const std::uint64_t seed = absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(i);
    FleetShape shape = absl::GetFlag(FLAGS_shape) == "portavia" ? portaviaShape() : posilkaShape();
    shape.told = absl::GetFlag(FLAGS_told);
    FaultSchedule chaos(seed, shape, plan);
    if (absl::GetFlag(FLAGS_loud)) chaos.loud();
    const std::vector<std::string>& faults = chaos.run();
    const Tally tally = chaos.tally();
    std::printf(
        "seed=%llu started=%d faults=%zu asked=%llu served=%llu turned_away=%llu not_whole=%llu silent=%llu "
        "lots=%llu/%llu cold_refused=%llu/%llu excess=%llu compared=%llu terms=%llu reads_at_rest=%llu doubts=%llu "
        "dark_us=%lld steps=%llu trace=%s\n",
        static_cast<unsigned long long>(seed), chaos.started() ? 1 : 0, faults.size(),
        static_cast<unsigned long long>(tally.asked), static_cast<unsigned long long>(tally.served),
        static_cast<unsigned long long>(tally.turnedAway), static_cast<unsigned long long>(tally.notWhole),
        static_cast<unsigned long long>(tally.silent), static_cast<unsigned long long>(tally.lotsComplete),
        static_cast<unsigned long long>(tally.lotsAccepted), static_cast<unsigned long long>(tally.coldRefused),
        static_cast<unsigned long long>(tally.started), static_cast<unsigned long long>(tally.worstExcess),
        static_cast<unsigned long long>(tally.entriesCompared), static_cast<unsigned long long>(tally.termsEnded),
        static_cast<unsigned long long>(tally.readsAtRest), static_cast<unsigned long long>(tally.doubts),
        static_cast<long long>(tally.longestDarkUs), static_cast<unsigned long long>(chaos.fleet().world().steps()),
        hexText(chaos.fleet().world().traceDigest()).c_str());
    std::printf("struck");
    for (std::uint8_t f = 0; f < static_cast<std::uint8_t>(Fault::kCount); ++f)
      if (chaos.hits(static_cast<Fault>(f)) > 0)
        std::printf(" %s=%llu", faultText(static_cast<Fault>(f)),
                    static_cast<unsigned long long>(chaos.hits(static_cast<Fault>(f))));
    std::printf("\n");
    for (const std::string& fault : faults)
      std::printf("  seed=%llu fault: %s\n", static_cast<unsigned long long>(seed), fault.c_str());
    std::fflush(stdout);
    bad += faults.empty() && chaos.started() ? 0 : 1;
  }
  return bad == 0 ? 0 : 1;
}
