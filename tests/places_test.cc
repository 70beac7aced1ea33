// Routes by host and path: the index of a control state, however the state came to be.
#include <absl/strings/str_cat.h>
#include <rapidcheck.h>

#include "config/control_state.h"

using namespace stonemount;

namespace {
// The index finds what a look at every route finds, however the state came to be.
void routesAreFound(std::uint64_t seed) {
  Chance chance(seed);
  ControlState state, follower;
  for (int step = 0; step < 40; ++step) {
    state.bump();
    for (std::uint64_t i = 0; i < 3; ++i) {
      Route route;
      route.name = absl::StrCat("r", chance.below(20));
      route.host = absl::StrCat("h", chance.below(2));
      const char* prefixes[] = {"/", "/a/", "/a/b/", "/b/", "/a/b/c/", "//", "/a//"};
      route.prefix = prefixes[chance.below(7)];
      bool free = true;
      for (const auto& [name, other] : state.routes())
        free = free && (name == route.name || other.host != route.host || other.prefix != route.prefix);
      if (chance.oneIn(4))
        state.removeRoute(route.name);
      else if (free)
        state.putRoute(route);
    }
    if (chance.oneIn(2)) RC_ASSERT(follower.absorb(state.newsSince(follower.revision())));
    auto copied = unpack<ControlState>(pack(state));
    for (const char* path : {"/", "/a", "/a/", "/a/b", "/a/b/c/d", "//", "/a//x", "/b/a/", "", "x"}) {
      for (const char* host : {"h0", "h1", "h2"}) {
        const Route* best = nullptr;
        for (const auto& [name, route] : state.routes())
          if (route.host == host && std::string_view(path).substr(0, route.prefix.size()) == route.prefix &&
              (best == nullptr || route.prefix.size() > best->prefix.size()))
            best = &route;
        RC_ASSERT(state.routeFor(host, path) == best);
        const Route* there = std::get<ControlState>(copied).routeFor(host, path);
        RC_ASSERT((there == nullptr) == (best == nullptr) && (best == nullptr || there->name == best->name));
        if (follower.revision() != state.revision()) continue;
        const Route* followed = follower.routeFor(host, path);
        RC_ASSERT((followed == nullptr) == (best == nullptr) && (best == nullptr || followed->name == best->name));
      }
    }
  }
}
}  // namespace

int main() { return rc::check("routes are found", routesAreFound) ? 0 : 1; }
