// Expectations of a test program that has no framework: each is counted, and a failed one is printed.
#pragma once

#include <cstdio>
#include <string>

namespace stonemount {

inline int passed = 0, failed = 0;

inline void expect(bool well, const std::string& what) {
  ++(well ? passed : failed);
  if (!well) std::printf("FAILED %s\n", what.c_str());
}

// Prints the counts; the exit status of the program.
inline int expectationsVerdict() {
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}

}  // namespace stonemount
