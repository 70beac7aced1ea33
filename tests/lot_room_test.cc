// The results of a day of the largest deployment that is served today, by what its chain may keep of them: a store of
// 140 MB of disk and 290 MB of memory, and 21,300 results of 23 events within the time for which they stay readable
// (incident 23, docs/questions.md). Known red: a chain's state is a quarter of one store's ring.
#include <absl/strings/str_cat.h>

#include "expect.h"
#include "replication/state_bounds.h"
#include "store/store_state.h"
#include "store/stored_text.h"

using namespace stonemount;

namespace {
constexpr std::size_t kMega = 1 << 20;
constexpr std::size_t kRingBytes = 122 * kMega;  // of 140 MB of disk, as platform/settings.cc sizes it
constexpr std::size_t kMemoryBytes = 290 * kMega;
constexpr std::size_t kDayResults = 21300;
constexpr std::size_t kEvents = 23;
constexpr std::size_t kEventLetters = 176;
constexpr std::size_t kSamples = 50;

Bytes resultText(Chance& chance) {
  Bytes text;
  for (std::size_t event = 1; event <= kEvents; ++event) {
    absl::StrAppend(&text, event > 1 ? "\n" : "", "3b.38e.", event, ".", hexText(chance.next()), ".");
    for (std::size_t i = 0; i < kEventLetters; ++i) text += static_cast<char>('a' + chance.below(26));
  }
  return text;
}

// That a final item takes in the packed state once its body is gone.
std::size_t keptBytes(Chance& chance) {
  KeptItem item;
  item.given.id = hexText(chance.next());
  item.state = ItemState::kSealed;
  item.answer = storedText(resultText(chance));
  return pack(item).size();
}
}  // namespace

int main() {
  Chance chance(20);
  std::size_t bytes = 0;
  for (std::size_t i = 0; i < kSamples; ++i) bytes += keptBytes(chance);
  const std::size_t fitting = stateBounds(kRingBytes, kMemoryBytes).growth / (bytes / kSamples);
  std::printf("%zu results of %zu bytes fit\n", fitting, bytes / kSamples);
  expect(fitting >= kDayResults, "a day's results fit: " + std::to_string(fitting));
  return expectationsVerdict();
}
