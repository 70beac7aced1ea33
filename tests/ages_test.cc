// The store's state over months and years of nights at the brief's sizes: what is kept, what goes, what a
// checkpoint costs; a key handed in again at every age (design.md 7.3).
#include <absl/strings/str_cat.h>

#include <chrono>
#include <cstdio>

#include "expect.h"
#include "store/store_machine.h"

using namespace stonemount;

namespace {
constexpr Us kDayUs = 24LL * 3600 * kSecondUs;
constexpr int kLots = 12, kItems = 80;

struct Years {
  explicit Years(std::size_t bodyBytes, std::size_t answerBytes)
      : chance(1), machine(chance, yearsPlan()), body(bodyBytes, 'b'), answer(answerBytes, 'a') {
    apply(LockWish{{1, 1}, 7});
    for (int i = 0; i < 5; ++i) pass(kSecondUs);
  }
  static StorePlan yearsPlan() {
    StorePlan plan;
    plan.gauge.gapUs = 2 * kDayUs;  // a day in one sample; the length of a sample is free
    return plan;
  }
  StoreVerdict apply(const StoreCommand& command) {
    auto read = unpack<StoreVerdict>(machine.apply(pack(StoreEntry{0, command})));
    return std::get<StoreVerdict>(read);
  }
  void pass(Us lengthUs) {
    trueUs += lengthUs;
    apply(CutProposal{machine.state().cut.epoch, 7, ++round, lengthUs, 0, lengthUs, 0, {trueUs, trueUs}, 2});
    apply(Sweep{true, trueUs});
  }
  StoreVerdict handIn(int night, int lot) {
    SubmitLot submit{absl::StrCat("night-", night), absl::StrCat("key-", lot), "route", 1, {}, trueUs};
    for (int i = 0; i < kItems; ++i) submit.items.push_back({absl::StrCat("item-", i), body});
    return apply(submit);
  }
  void runNight(int night) {
    apply(CreateEvent{absl::StrCat("night-", night), trueUs, trueUs + kDayUs / 4, 0, 0, trueUs});
    for (int lot = 0; lot < kLots; ++lot) {
      const std::string name = handIn(night, lot).name;
      GrantRuns grant{{1, 2}, 8 * kSecondUs, {}, true};
      for (std::uint32_t i = 0; i < kItems; ++i) grant.wishes.push_back({name, i, {9, 9}, 100});
      apply(grant);
      SealRuns seal;
      seal.certainHere = true;
      for (std::uint32_t i = 0; i < kItems; ++i) seal.runs.push_back({{name, i, 1}, false, answer});
      apply(seal);
    }
    pass(kDayUs);
  }
  Chance chance;
  StoreMachine machine;
  Bytes body, answer;
  Us trueUs = 1'700'000'000LL * kSecondUs;
  std::uint64_t round = 0;
};

// Four months at full length: nothing but seven days of results is kept, and tombstones.
void months() {
  Years years(700, 900);
  std::size_t worst = 0;
  double slowestMs = 0;
  for (int night = 0; night < 120; ++night) {
    years.runNight(night);
    const auto from = std::chrono::steady_clock::now();
    const std::size_t bytes = years.machine.save().size();
    const std::chrono::duration<double, std::milli> took = std::chrono::steady_clock::now() - from;
    slowestMs = std::max(slowestMs, took.count());
    worst = std::max(worst, bytes);
    expect(years.machine.state().lots.size() <= kLots * 9, "results go after their retention");
  }
  std::printf("120 nights of %d lots of %d: state at most %zu bytes, slowest save %.1f ms (not asserted)\n", kLots,
              kItems, worst, slowestMs);
  expect(worst < (16u * (8u << 20)) / 4, "the state stays below a quarter of the ring as it comes");
  // Keys of every age are known, the newest with their lots.
  for (int night = 0; night < 120; night += 7) {
    const StoreVerdict again = years.handIn(night, 3);
    expect(again.outcome == StoreOutcome::kAgain && !again.name.empty(),
           absl::StrCat("a key of night ", night, " is known"));
  }
}

// Eleven years of short nights: tombstones stay their ten years and go; so do their events; a key handed
// in after that meets an event that is not there.
void decade() {
  Years years(10, 10);
  std::size_t most = 0;
  for (int night = 0; night < 365 * 11; ++night) {
    years.runNight(night);
    most = std::max(most, years.machine.state().tombstones.size());
    if (night == 3600) expect(years.handIn(0, 3).outcome == StoreOutcome::kAgain, "a key is known after 3,600 days");
  }
  const std::size_t bytes = years.machine.save().size();
  std::printf("11 years: tombstones at most %zu, events %zu, state %zu bytes\n", most,
              years.machine.state().events.size(), bytes);
  expect(most <= static_cast<std::size_t>(kLots) * 3652, "no more than ten years of tombstones");
  expect(most >= static_cast<std::size_t>(kLots) * 3640, "and no fewer");
  expect(years.machine.state().events.size() <= 3655, "events go with their keys");
  expect(bytes < (16u * (8u << 20)) / 8, "ten years of tombstones are less than an eighth of the ring as it comes");
  expect(years.handIn(0, 3).outcome == StoreOutcome::kUnknownEvent, "a key handed in after its collection");
}
}  // namespace

int main() {
  months();
  decade();
  return expectationsVerdict();
}
