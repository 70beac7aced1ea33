#include "control/core.h"

#include <absl/strings/str_cat.h>

#include "replication/loss_margin.h"
#include "replication/replica_status.h"

namespace stonemount {

Core::Core(Ports& ports, Settings settings, CorePlan plan)
    : ports_(ports),
      settings_(std::move(settings)),
      plan_(plan),
      rpc_(ports.timers, ports.wire, ports.chance),
      gossip_(ports, rpc_, room_, plan.gossip),
      replica_(ports, rpc_, room_, machine_, replicaPlanOf(settings_)),
      core_(ports, rpc_, settings_.founders),
      store_(ports, rpc_, {}),
      election_(ports, rpc_, room_, plan.election),
      sampler_(ports, rpc_, room_, election_, store_, replica_, plan.gauge),
      lotRouteWatch_(ports, room_, store_, machine_.state()),
      rebuilder_(rpc_, gossip_, core_, machine_),
      ownList_(ports, settings_.platform),
      workerDiscovery_(core_, machine_, plan.list != nullptr ? plan.list : &ownList_),
      operators_(ports, core_, &replica_, &machine_),
      membershipManager_(ports, rpc_, room_, election_, gossip_, replica_, machine_, core_, store_,
                         membershipPlanOf(settings_, plan.membershipManager)),
      retireService_(ports, rpc_, gossip_, core_, store_, settings_.bounds.lostMachines),
      quotaLimits_(machine_.state()),
      quotaLeader_(ports, rpc_, room_, election_, core_, quotaLimits_, quotaBoundsOf(settings_.bounds)) {}

Core::~Core() {
  asked_.disconnect();
  room_.clear();
}

void Core::begin() {
  PeerRecord record;
  record.http = settings_.http;
  record.role = Role::kCore;
  record.zone = settings_.zone;
  record.machine = settings_.name;
  gossip_.met.connect(sigc::mem_fun(*this, &Core::onMet));
  replica_.viewMoved.connect(sigc::mem_fun(*this, &Core::onView));
  asked_ = ports_.httpIn.asked.connect(sigc::mem_fun(*this, &Core::onAsked));
  gossip_.begin(record);
  core_.learnMember(settings_.wire);
  std::vector<std::string> duties = QuotaLeader::duties();
  duties.insert(duties.end(), {Sampler::kDuty, kWorkerDiscovery, MembershipManager::kDuty});
  election_.begin(duties);
  replica_.begin();
  sampler_.begin();
  lotRouteWatch_.begin([this] { return election_.holds(Sampler::kDuty); });
  membershipManager_.begin();
  quotaLeader_.begin();
  room_.start(list());
  room_.start(watchZone());
  room_.start(watchDisk());
}

void Core::onMet(const PeerRecord& record) {
  if (record.role == Role::kCore) {
    core_.learnMember(record.wire);
    replica_.meet(record.wire);
  }
  if (record.role == Role::kStandby) core_.forgetMember(record.wire);
  if (record.role == Role::kStore) store_.learnMember(record.wire);
}

// Who cannot vote for want of a disk leaves its duties to the others: it would not count itself as lost.
Task Core::watchDisk() {
  while (true) {
    election_.setAble(replica_.wal().stalledUs() < kDiskLostUs);
    Pause pause(ports_.timers, kDiskLostUs / 4);
    co_await pause;
  }
}

void Core::onView() { election_.setElectors(replica_.view().voters, replica_.incarnation()); }

// In an evacuated zone a core leaves its duties to others where there are any.
Task Core::watchZone() {
  while (true) {
    election_.setReluctant(machine_.state().evacuated(settings_.zone));
    Pause pause(ports_.timers, kSecondUs);
    co_await pause;
  }
}

// The lister carries the platform's list into the control chain.
Task Core::list() {
  while (true) {
    if (election_.holds(kWorkerDiscovery)) {
      Job<Done> rebuilding = rebuilder_.look();
      co_await rebuilding;
    }
    if (election_.holds(kWorkerDiscovery) && (plan_.list != nullptr || settings_.platform.set())) {
      Job<Done> carrying = workerDiscovery_.carry();
      co_await carrying;
    } else {
      workerDiscovery_.forget();
    }
    Pause pause(ports_.timers, plan_.listUs);
    co_await pause;
  }
}

void Core::onAsked(const HttpAsk& ask, ReplyPtr reply) {
  JsonOut out;
  out.object()
      .field("role", "core")
      .field("sampler", election_.holds(Sampler::kDuty))
      .field("lister", election_.holds(kWorkerDiscovery));
  quotaLeader_.show(out);
  answerReplicaMetrics(ask, *reply, out, replica_, rpc_);
}

}  // namespace stonemount
