// Life of a member: opening its disk, founding the first view, moving between views (design.md 6.1).
#include "replication/replica.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

namespace {
constexpr Us kOpenAgainUs = 500 * kMilliUs;
}  // namespace

const char* replicaStateText(ReplicaState state) {
  switch (state) {
    case ReplicaState::kOpening:
      return "opening";
    case ReplicaState::kBootstrapping:
      return "founding";
    case ReplicaState::kOutside:
      return "outside";
    case ReplicaState::kSealed:
      return "sealed";
    case ReplicaState::kActive:
      return "active";
    case ReplicaState::kBroken:
      return "broken";
    case ReplicaState::kStandby:
      return "standby";
  }
  return "unknown";
}

Replica::Replica(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, Machine& machine, ReplicaPlan plan)
    : ports_(ports),
      rpc_(rpc),
      room_(room),
      machine_(machine),
      plan_(std::move(plan)),
      self_(rpc.self()),
      wal_(*ports.disk, ports.timers, ports.clock),
      groupCommit_(wal_, ports.timers, room) {}

Replica::~Replica() { refused_.disconnect(); }

void Replica::begin() {
  refused_ = ports_.wire.refused.connect(sigc::mem_fun(*this, &Replica::onRefused));
  rpc_.serve(Ping::kKind, sigc::mem_fun(*this, &Replica::onPing));
  rpc_.serve(Probe::kKind, sigc::mem_fun(*this, &Replica::onProbe));
  rpc_.serve(ViewAsk::kKind, sigc::mem_fun(*this, &Replica::onViewAsk));
  rpc_.serve(Bootstrap::kKind, sigc::mem_fun(*this, &Replica::onBootstrap));
  rpc_.serve(Fence::kKind, sigc::mem_fun(*this, &Replica::onFence));
  rpc_.serve(Prepare::kKind, sigc::mem_fun(*this, &Replica::onPrepare));
  rpc_.serve(Accept::kKind, sigc::mem_fun(*this, &Replica::onAccept));
  rpc_.serve(Confirm::kKind, sigc::mem_fun(*this, &Replica::onConfirm));
  rpc_.serve(Decided::kKind, sigc::mem_fun(*this, &Replica::onDecided));
  rpc_.serve(Committed::kKind, sigc::mem_fun(*this, &Replica::onCommitted));
  rpc_.serve(Append::kKind, sigc::mem_fun(*this, &Replica::onAppend));
  rpc_.serve(FetchState::kKind, sigc::mem_fun(*this, &Replica::onFetchState));
  rpc_.serve(FetchLog::kKind, sigc::mem_fun(*this, &Replica::onFetchLog));
  rpc_.serve(CatchUp::kKind, sigc::mem_fun(*this, &Replica::onCatchUp));
  rpc_.serve(ChangeVoters::kKind, sigc::mem_fun(*this, &Replica::onChangeVoters));
  rpc_.serve(Submit::kKind, sigc::mem_fun(*this, &Replica::onSubmit));
  rpc_.serve(RoomRequest::kKind, sigc::mem_fun(*this, &Replica::onRoomRequest));
  rpc_.serve(Read::kKind, sigc::mem_fun(*this, &Replica::onRead));
  rpc_.serve(Invite::kKind, sigc::mem_fun(*this, &Replica::onInvite));
  rpc_.serve(BootstrapMembers::kKind, sigc::mem_fun(*this, &Replica::onBootstrapMembers));
  if (!plan_.mayFound) plan_.founders.clear();
  room_.start(open());
}

void Replica::changeState(ReplicaState next) {
  if (next == state_ || state_ == ReplicaState::kBroken) return;
  logEvent("replica_state", {{"from", replicaStateText(state_)},
                             {"to", replicaStateText(next)},
                             {"view", absl::StrCat(memory_.view.revision)},
                             {"end", absl::StrCat(end_)}});
  state_ = next;
  pending_.clear();
  commitWindow_.clear();
  appendWindow_ = CongestionWindow(kAppendWindow);  // of another link, perhaps
  inbox_.clear();
  inboxBytes_ = 0;
  for (const Asked& asked : appendsWaiting_) answerAppend(asked, false);
  appendsWaiting_.clear();
  successorEnd_.reset();
  successorTold_ = false;
  verified_ = next == ReplicaState::kActive && memory_.view.chain.front().address == self_;
  verifiedEnd_ = end_;
  if (next != ReplicaState::kActive) wakeHeld();
  passEvent_.notify();
  readEvent_.notify();
  reconfigureEvent_.notify();
  catchUpEvent_.notify();
  viewMoved.emit();
}

Task Replica::open() {
  OpenResult opened = wal_.open();
  while (std::holds_alternative<DiskFailure>(opened)) {
    logDoubt("disk_unreadable", {});
    Pause pause(ports_.timers, kOpenAgainUs);
    co_await pause;
    opened = wal_.open();
  }
  if (std::holds_alternative<LogDamaged>(opened)) {
    // What it had sworn to is gone: as good as wiped (design.md 5.5).
    logDoubt("drawer_damaged", {{"sequence", absl::StrCat(std::get<LogDamaged>(opened).atSequence)}});
    wal_.wipe();
  }
  if (auto* content = std::get_if<LogContent>(&opened)) {
    if (!replay(*content)) {
      logDoubt("records_unreadable", {});
      changeState(ReplicaState::kBroken);  // an unknown format is refused, not guessed at
      co_return;
    }
  }
  if (memory_.incarnation == 0) {
    memory_.incarnation = ports_.chance.next() | 1;
    Job<bool> kept = keepMemory();
    const bool durable = co_await kept;
    if (!durable) co_return;
  }
  durableRevision_ = memory_.view.revision;
  logEvent("opened", {{"incarnation", hexText(memory_.incarnation)},
                      {"view", absl::StrCat(memory_.view.revision)},
                      {"end", absl::StrCat(end_)}});
  if (memory_.view.revision == 0) {
    changeState(ReplicaState::kBootstrapping);
    room_.start(bootstrap());
  } else {
    // A restart always waits for a new view: what it did last in this one is not known to it.
    const bool mine = holdsSeat(memory_.view.chain, self_, memory_.incarnation);
    changeState(mine ? ReplicaState::kSealed : ReplicaState::kOutside);
  }
  room_.start(write());
  room_.start(passOn());
  room_.start(readBatches());
  room_.start(pingAll());
  room_.start(reconfigure());
  room_.start(followTail());
}

void Replica::onDecided(const Asked& asked) {
  auto message = unpack<Decided>(asked.body);
  if (std::holds_alternative<Decided>(message)) room_.start(takeViewTask(std::get<Decided>(message).view));
}

Task Replica::takeViewTask(View next) {
  Job<bool> taken = takeView(std::move(next));
  co_await taken;
}

void Replica::onViewAsk(const Asked& asked) { rpc_.reply(asked, ViewReply{memory_.view}); }

// The one way into a later view. Nothing is done in it before it is durable here.
Job<bool> Replica::takeView(View next) {
  if (next.revision <= memory_.view.revision || state_ == ReplicaState::kBroken) co_return true;
  if (state_ == ReplicaState::kActive) changeState(ReplicaState::kSealed);
  memory_.view = next;
  memory_.promised = Ballot();
  memory_.acceptedBallot = Ballot();
  memory_.accepted.reset();
  tooFarBehind_ = Address();
  promisedUs_ = 0;
  successorPeak_ = 0;
  needSinceUs_ = -1;
  ++counts_.viewChanges;
  Job<bool> kept = keepMemory();
  const bool durable = co_await kept;
  if (!durable) co_return false;
  durableRevision_ = std::max(durableRevision_, next.revision);
  if (memory_.view.revision == next.revision) stateFromView();
  co_return true;
}

void Replica::stateFromView() {
  const bool mine = holdsSeat(memory_.view.chain, self_, memory_.incarnation);
  caughtUp_ = mine;
  for (const Seat& seat : memory_.view.chain) copyQueue_.joined(seat.address);
  // Chosen while a fetched state is not yet on its disk: it waits for a later view.
  changeState(mine ? (imageLoose_ ? ReplicaState::kSealed : ReplicaState::kActive) : ReplicaState::kOutside);
  std::string chain;
  for (const Seat& seat : memory_.view.chain)
    absl::StrAppend(&chain, chain.empty() ? "" : ",", addressText(seat.address));
  logEvent("view", {{"revision", absl::StrCat(memory_.view.revision)},
                    {"chain", chain},
                    {"voters", absl::StrCat(memory_.view.voters.size())}});
}

}  // namespace stonemount
