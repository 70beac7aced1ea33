#include "store/stored_text.h"

#include <zlib.h>

#include <algorithm>

namespace stonemount {

namespace {
constexpr std::string_view kMark("\x1fSMz1", 5);
constexpr std::size_t kLengthBytes = 4;  // of the text, little-endian, behind the mark
constexpr std::size_t kHeadBytes = kMark.size() + kLengthBytes;
constexpr std::size_t kShortest = 64;      // shorter ones are not worth the try
constexpr std::size_t kLongest = 1 << 20;  // longer ones are kept as they are
constexpr int kLevel = 1;                  // the quickest: most of what there is to gain is gained by it

bool marked(std::string_view bytes) { return bytes.substr(0, kMark.size()) == kMark; }

std::uint32_t lengthOf(const Bytes& stored) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i)
    length |= static_cast<std::uint32_t>(static_cast<unsigned char>(stored[kMark.size() + i])) << (8 * i);
  return length;
}
}  // namespace

Bytes storedText(const Bytes& text) {
  const bool ambiguous = marked(text);
  if (!ambiguous && (text.size() < kShortest || text.size() > kLongest)) return text;
  uLongf bytes = compressBound(static_cast<uLong>(text.size()));
  Bytes stored(kHeadBytes + bytes, '\0');
  kMark.copy(stored.data(), kMark.size());
  for (std::size_t i = 0; i < kLengthBytes; ++i)
    stored[kMark.size() + i] = static_cast<char>(text.size() >> (8 * i) & 255);
  const int done = compress2(reinterpret_cast<Bytef*>(stored.data() + kHeadBytes), &bytes,
                             reinterpret_cast<const Bytef*>(text.data()), static_cast<uLong>(text.size()),
                             text.size() > kLongest ? Z_NO_COMPRESSION : kLevel);
  STONEMOUNT_INVARIANT(done == Z_OK || !ambiguous);
  if (done != Z_OK) return text;  // no memory for it
  stored.resize(kHeadBytes + bytes);
  if (stored.size() >= text.size() && !ambiguous) return text;
  stored.shrink_to_fit();
  return stored;
}

std::variant<Bytes, BadStoredText> readStoredText(Bytes stored) {
  if (!marked(stored)) return stored;
  if (stored.size() < kHeadBytes) return BadStoredText{};
  const std::uint32_t length = lengthOf(stored);
  if (length > std::max(kLongest, stored.size())) return BadStoredText{};
  Bytes text(length, '\0');
  uLongf bytes = length;
  const int done = uncompress(reinterpret_cast<Bytef*>(text.data()), &bytes,
                              reinterpret_cast<const Bytef*>(stored.data() + kHeadBytes),
                              static_cast<uLong>(stored.size() - kHeadBytes));
  if (done != Z_OK || bytes != length) return BadStoredText{};
  return text;
}

}  // namespace stonemount
