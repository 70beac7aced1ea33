// Texts of results as they are stored: any text comes back as it was, none is stored longer than a few bytes beyond
// its length, and what is no stored text is told (design.md 7.3).
#include "store/stored_text.h"

#include <rapidcheck.h>

#include <cstdio>

using namespace stonemount;

namespace {
Bytes back(const Bytes& text) {
  auto read = readStoredText(storedText(text));
  return std::holds_alternative<Bytes>(read) ? std::get<Bytes>(read) : Bytes("not read");
}

Bytes lettersOf(std::uint64_t seed, std::size_t count) {
  Chance chance(seed);
  Bytes text;
  for (std::size_t i = 0; i < count; ++i) text += static_cast<char>('a' + chance.below(26));
  return text;
}
}  // namespace

int main() {
  bool well = rc::check("any text comes back", [](const Bytes& text) { RC_ASSERT(back(text) == text); });
  well &= rc::check("any long text comes back, and is never stored longer", [](std::uint64_t seed) {
    const Bytes text = lettersOf(seed, 1 + seed % 20000) + Bytes(seed % 300, 'x');
    RC_ASSERT(back(text) == text);
    RC_ASSERT(storedText(text).size() <= text.size());
  });
  well &= rc::check("a text that begins like a stored one comes back, whatever follows", [](const Bytes& rest) {
    const Bytes text = Bytes("\x1fSMz1") + rest;
    RC_ASSERT(back(text) == text);
    RC_ASSERT(back(storedText(text)) == storedText(text));
  });
  well &= rc::check("altered bytes are told, or read as what was there", [](std::uint64_t seed) {
    const Bytes text = lettersOf(seed, 2000);
    Bytes stored = storedText(text);
    Chance chance(seed + 1);
    const std::size_t place = 5 + chance.below(stored.size() - 5);
    stored[place] = static_cast<char>(stored[place] ^ static_cast<char>(1 + chance.below(255)));
    auto read = readStoredText(stored);
    const Bytes* given = std::get_if<Bytes>(&read);
    const bool sound = given == nullptr || *given == text;
    RC_ASSERT(sound);
  });
  well &= rc::check("a part of a stored text is told", [](std::uint64_t seed) {
    const Bytes stored = storedText(lettersOf(seed, 2000));
    RC_ASSERT(std::holds_alternative<BadStoredText>(readStoredText(stored.substr(0, 5 + seed % (stored.size() - 5)))));
  });
  const Bytes text = lettersOf(7, 4200);
  const std::size_t bytes = storedText(text).size();
  std::printf("4200 random letters take %zu bytes\n", bytes);
  well &= bytes < text.size() * 2 / 3;  // even where no two words are alike
  return well ? 0 : 1;
}
