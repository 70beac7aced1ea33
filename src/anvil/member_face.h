// What every process with a chain member shows and needs, whichever chain it is.
#pragma once

#include "anvil/member.h"
#include "jig/settings.h"

namespace stonemount {

MemberPlan memberPlanOf(const Settings& settings);
// Answers /metrics; the role's own fields are already in `out`, whose object is open.
void answerMemberMetrics(const HttpAsk& ask, HttpReply& reply, JsonOut& out, const Member& member, const RpcEndpoint& rpc);

}  // namespace stonemount
