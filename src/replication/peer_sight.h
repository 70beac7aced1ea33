// What a replica knows of another from the answers to its pings.
#pragma once

#include "replication/messages.h"

namespace stonemount {

// What the last pong said, and when it came (microseconds of the monotonic clock; -1: never).
struct PeerSight {
  Us heardUs = -1;
  Us askedUs = -1;  // when the ping was sent that it answered
  Pong pong;
  Us clockHeardUs = -1;  // when its wall clock was told by an answer that came promptly
  Us clockUs = 0;        // what it was then
};

}  // namespace stonemount
