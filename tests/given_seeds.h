// The seeds that a test goes over; more of them by an environment variable.
#pragma once

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <cstdio>
#include <cstdlib>

#include "stonemount.h"

namespace stonemount {

struct Seeds {
  std::uint64_t first = 1;
  std::uint64_t count = 1;
  std::uint64_t end() const { return first + count; }
  // A part of them, where each costs more.
  Seeds fewer(std::uint64_t times) const { return {first, std::max<std::uint64_t>(1, count / times)}; }
};

// As FIRST,COUNT in that variable; else the usual ones. What cannot be read ends the program.
inline Seeds givenSeeds(const char* variable, Seeds usual) {
  const char* given = std::getenv(variable);
  if (given == nullptr) return usual;
  const std::vector<std::string> parts = absl::StrSplit(given, ',');
  Seeds seeds;
  if (parts.size() == 2 && absl::SimpleAtoi(parts[0], &seeds.first) && absl::SimpleAtoi(parts[1], &seeds.count))
    return seeds;
  std::printf("%s: FIRST,COUNT\n", variable);
  std::exit(2);
}

}  // namespace stonemount
