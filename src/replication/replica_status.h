// What every process with a chain member shows and needs, whichever chain it is.
#pragma once

#include "config/settings.h"
#include "replication/replica.h"

namespace stonemount {

ReplicaPlan replicaPlanOf(const Settings& settings);
// Answers /metrics; the role's own fields are already in `out`, whose object is open.
void answerReplicaMetrics(const HttpAsk& ask, HttpReply& reply, JsonOut& out, const Replica& member,
                          const RpcEndpoint& rpc);

}  // namespace stonemount
