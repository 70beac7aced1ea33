// How the text of a result is stored: compressed where that makes it shorter (design.md 7.3). Nodes write and read it;
// to the store it is bytes.
#pragma once

#include "stonemount.h"

namespace stonemount {

// Kept as it is unless compressing makes it shorter. A text of more than 1 MiB is kept as it is, so that
// none takes more than that to read. A text that begins like a compressed one is always wrapped, whatever its length,
// so that what is stored is never ambiguous.
Bytes storedText(const Bytes& text);

// It was written by something else, or altered.
struct BadStoredText {};
// The text that was given to storedText; what an earlier version stored as it was comes back as it is.
std::variant<Bytes, BadStoredText> readStoredText(Bytes stored);

}  // namespace stonemount
