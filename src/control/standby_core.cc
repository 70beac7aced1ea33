#include "control/standby_core.h"

#include "config/json.h"

namespace stonemount {

StandbyCore::StandbyCore(Ports& ports, Settings settings, GossipPlan gossip)
    : ports_(ports),
      settings_(std::move(settings)),
      rpc_(ports.timers, ports.wire, ports.chance),
      gossip_(ports, rpc_, room_, std::move(gossip)),
      core_(ports, rpc_, {}),
      store_(ports, rpc_, {}),
      operators_(ports, core_, nullptr, nullptr),
      retireService_(ports, rpc_, gossip_, core_, store_, settings_.bounds.lostMachines) {}

StandbyCore::~StandbyCore() {
  asked_.disconnect();
  room_.clear();
}

void StandbyCore::begin() {
  PeerRecord record;
  record.http = settings_.http;
  record.role = Role::kStandby;
  record.zone = settings_.zone;
  record.machine = settings_.name;
  logEvent("stands_by", {{"cause", "no_disk"}, {"zone", settings_.zone}});
  gossip_.met.connect(sigc::mem_fun(*this, &StandbyCore::onMet));
  rpc_.serve(Ping::kKind, sigc::mem_fun(*this, &StandbyCore::onPing));
  rpc_.serve(Probe::kKind, sigc::mem_fun(*this, &StandbyCore::onPing));
  asked_ = ports_.httpIn.asked.connect(sigc::mem_fun(*this, &StandbyCore::onAsked));
  gossip_.begin(record);
}

void StandbyCore::onMet(const PeerRecord& record) {
  if (record.role == Role::kCore) core_.learnMember(record.wire);
  if (record.role == Role::kStandby) core_.forgetMember(record.wire);
  if (record.role == Role::kStore) store_.learnMember(record.wire);
}

// Founders wait until each seed has said whether it has a disk; and a seat that was this machine's is given away.
void StandbyCore::onPing(const Asked& asked) {
  Pong pong;
  pong.state = ReplicaState::kStandby;
  pong.zone = settings_.zone;
  pong.wallUs = ports_.clock.wallUs();
  rpc_.reply(asked, pong);
}

void StandbyCore::onAsked(const HttpAsk& ask, ReplyPtr reply) {
  JsonOut out;
  if (ask.path != "/metrics") {
    out.object().field("verdict", "unknown_path").field("path", ask.path).closeObject();
    return reply->whole(404, {}, out.take() + "\n");
  }
  out.object().field("role", "core").field("standing", replicaStateText(ReplicaState::kStandby));
  out.field("view", core_.view().revision).field("frames", rpc_.sentFrames).field("frameBytes", rpc_.sentBytes);
  out.closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

}  // namespace stonemount
