#include "stonemount.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <array>
#include <cstdio>
#include <cstdlib>

namespace stonemount {

std::string addressText(const Address& address) {
  return absl::StrCat(address.ip >> 24, ".", (address.ip >> 16) & 255, ".", (address.ip >> 8) & 255, ".",
                      address.ip & 255, ":", address.port);
}

std::variant<Address, BadAddress> parseAddress(std::string_view text) {
  const std::vector<std::string> halves = absl::StrSplit(absl::string_view(text.data(), text.size()), ':');
  if (halves.size() != 2) return BadAddress{};
  const std::vector<std::string> parts = absl::StrSplit(halves[0], '.');
  std::uint32_t port = 0;
  if (parts.size() != 4 || !absl::SimpleAtoi(halves[1], &port) || port == 0 || port > 65535) return BadAddress{};
  Address address;
  for (const std::string& part : parts) {
    std::uint32_t number = 0;
    if (!absl::SimpleAtoi(part, &number) || number > 255) return BadAddress{};
    address.ip = (address.ip << 8) | number;
  }
  address.port = static_cast<std::uint16_t>(port);
  return address;
}

std::uint64_t Chance::next() {
  state_ += 0x9E3779B97F4A7C15ULL;
  std::uint64_t mixed = state_;
  mixed = (mixed ^ (mixed >> 30)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31);
}

namespace {
// CRC-32C, eight bytes at a time: table k tells what a byte does that k more follow.
using Tables = std::array<std::array<std::uint32_t, 256>, 8>;
constexpr Tables makeTables() {
  Tables tables{};
  for (std::uint32_t i = 0; i < 256; ++i) {
    std::uint32_t value = i;
    for (int bit = 0; bit < 8; ++bit) value = (value & 1) ? (value >> 1) ^ 0x82F63B78U : value >> 1;
    tables[0][i] = value;
  }
  for (std::size_t k = 1; k < 8; ++k)
    for (std::size_t i = 0; i < 256; ++i) tables[k][i] = (tables[k - 1][i] >> 8) ^ tables[0][tables[k - 1][i] & 255];
  return tables;
}
constexpr Tables kTables = makeTables();
}  // namespace

std::uint32_t checksum(std::string_view bytes, std::uint32_t start) {
  std::uint32_t value = ~start;
  std::size_t at = 0;
  for (; at + 8 <= bytes.size(); at += 8) {
    std::uint32_t low = 0, high = 0;
    __builtin_memcpy(&low, bytes.data() + at, 4);
    __builtin_memcpy(&high, bytes.data() + at + 4, 4);
    low ^= value;
    value = kTables[7][low & 255] ^ kTables[6][low >> 8 & 255] ^ kTables[5][low >> 16 & 255] ^ kTables[4][low >> 24] ^
            kTables[3][high & 255] ^ kTables[2][high >> 8 & 255] ^ kTables[1][high >> 16 & 255] ^
            kTables[0][high >> 24];
  }
  for (; at < bytes.size(); ++at)
    value = kTables[0][(value ^ static_cast<unsigned char>(bytes[at])) & 255] ^ (value >> 8);
  return ~value;
}

std::uint64_t spread(std::string_view bytes, std::uint64_t seed) {
  std::uint64_t value = 0xCBF29CE484222325ULL ^ seed;
  for (const char byte : bytes) {
    value ^= static_cast<unsigned char>(byte);
    value *= 0x100000001B3ULL;
  }
  return Chance(value).next();
}

std::string hexText(std::uint64_t value) { return absl::StrCat(absl::Hex(value, absl::kZeroPad16)); }

namespace {
LogSink* chosenSink = nullptr;
void logLine(bool doubt, std::string_view event, std::initializer_list<LogPair> pairs) {
  if (chosenSink == nullptr) return;
  std::string line = "event=";
  line += event;
  for (const LogPair& pair : pairs) {
    line += ' ';
    line += pair.key;
    line += '=';
    const bool plain = !pair.value.empty() && pair.value.find_first_of(" =\"\n") == std::string::npos;
    if (plain) {
      line += pair.value;
      continue;
    }
    line += '"';
    for (const char letter : pair.value) line += letter == '"' ? '\'' : letter == '\n' ? ' ' : letter;
    line += '"';
  }
  chosenSink->line(doubt, line);
}
}  // namespace

void setLogSink(LogSink* sink) { chosenSink = sink; }
void logEvent(std::string_view event, std::initializer_list<LogPair> pairs) { logLine(false, event, pairs); }
void logDoubt(std::string_view event, std::initializer_list<LogPair> pairs) { logLine(true, event, pairs); }

void invariantBroken(const char* what, const char* file, int line) {
  std::fprintf(stderr, "event=invariant_broken what=\"%s\" at=%s:%d\n", what, file, line);
  std::fflush(stderr);
  std::abort();
}

}  // namespace stonemount
