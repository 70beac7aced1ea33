// Which pool of workers a request goes to (design.md 9.6, 9.8).
#pragma once

#include "config/control_state.h"

namespace stonemount {

// The pool that what is so named runs in, where its route has several by weight: always the same one.
const std::string& poolFor(const Route& route, const std::string& name);

}  // namespace stonemount
