// Headers that concern one connection, and go no further than it (design.md 9.6).
#pragma once

#include "stonemount.h"

namespace stonemount {

// Of requests and answers alike; names in lower case.
bool concernsChannel(const std::string& name);
// All others.
HeaderMap withoutChannelHeaders(const HeaderMap& given);

}  // namespace stonemount
