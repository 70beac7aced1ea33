#include "replication/replica_status.h"

namespace stonemount {

ReplicaPlan replicaPlanOf(const Settings& settings) {
  ReplicaPlan plan;
  plan.zone = settings.zone;
  plan.founders = settings.founders;
  plan.mayFound = settings.firstStart;
  plan.memoryBytes = static_cast<std::size_t>(settings.memoryBytes);
  return plan;
}

void answerReplicaMetrics(const HttpAsk& ask, HttpReply& reply, JsonOut& out, const Replica& member,
                          const RpcEndpoint& rpc) {
  if (ask.path != "/metrics") {
    JsonOut unknown;
    unknown.object().field("verdict", "unknown_path").field("path", ask.path).closeObject();
    return reply.whole(404, {}, unknown.take() + "\n");
  }
  const ReplicaCounts& counts = member.counts();
  out.field("standing", replicaStateText(member.state())).field("view", member.view().revision);
  out.field("end", member.end()).field("applied", counts.applied).field("reads", counts.reads);
  out.field("confirms", counts.confirms).field("ballots", counts.ballots).field("viewChanges", counts.viewChanges);
  out.field("refusedOld", counts.refusedOld).field("syncs", member.wal().syncs);
  out.field("ringFull", counts.ringFull).field("backlogFull", counts.backlogFull).field("repeats", counts.repeats);
  const ReplicaWindows windows = member.windows();
  out.field("commitWindow", windows.commit).field("incomingWindow", windows.incoming);
  out.field("appendWindow", windows.append);
  out.field("failedSyncs", member.wal().failedSyncs).field("stalledUs", member.wal().stalledUs());
  const LossMargin margin = member.lossMargin();
  out.field("bearsMachines", margin.machines).field("bearsZone", margin.anyZone);
  out.field("frames", rpc.sentFrames).field("frameBytes", rpc.sentBytes).closeObject();
  reply.whole(200, {}, out.take() + "\n");
}

}  // namespace stonemount
