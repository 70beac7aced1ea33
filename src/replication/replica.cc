// Life of a member: opening its disk, founding the first view, moving between views (design.md 6.1).
#include "replication/replica.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

namespace {
constexpr std::uint8_t kImageFormat = 2;
struct Image {
  std::uint8_t format = kImageFormat;
  VoterMemory memory;
  std::uint64_t end = 0;
  Revision endRevision = 0;
  std::vector<std::pair<CommandId, Bytes>> verdicts;
  Bytes state;
  STONEMOUNT_PACK(format, memory, end, endRevision, verdicts, state)
};
struct MetaRecord {
  std::uint8_t format = kImageFormat;
  VoterMemory memory;
  STONEMOUNT_PACK(format, memory)
};
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
  rpc_.serve(Append::kKind, sigc::mem_fun(*this, &Replica::onAppend));
  rpc_.serve(FetchState::kKind, sigc::mem_fun(*this, &Replica::onFetchState));
  rpc_.serve(FetchLog::kKind, sigc::mem_fun(*this, &Replica::onFetchLog));
  rpc_.serve(CatchUp::kKind, sigc::mem_fun(*this, &Replica::onCatchUp));
  rpc_.serve(ChangeVoters::kKind, sigc::mem_fun(*this, &Replica::onChangeVoters));
  rpc_.serve(Submit::kKind, sigc::mem_fun(*this, &Replica::onSubmit));
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
  if (std::holds_alternative<DiskFailure>(opened)) {
    changeState(ReplicaState::kBroken);
    co_return;
  }
  if (std::holds_alternative<LogDamaged>(opened)) {
    // What it had sworn to is gone: as good as wiped (design.md 5.5).
    logDoubt("drawer_damaged", {{"sequence", absl::StrCat(std::get<LogDamaged>(opened).atSequence)}});
    wal_.wipe();
  }
  if (auto* content = std::get_if<LogContent>(&opened)) {
    bool sound = !content->hasCheckpoint || loadImage(content->checkpoint, true);
    for (const Record& record : content->records) {
      if (!sound) break;
      if (record.kind == RecordKind::kMeta) {
        auto meta = unpack<MetaRecord>(record.body);
        sound = std::holds_alternative<MetaRecord>(meta) && std::get<MetaRecord>(meta).format == kImageFormat;
        if (sound) memory_ = std::get<MetaRecord>(meta).memory;
      } else if (record.kind == RecordKind::kEntry) {
        auto entry = unpack<Entry>(record.body);
        sound = std::holds_alternative<Entry>(entry);
        sound = sound && std::get<Entry>(entry).index <= end_ + 1;  // a gap would go unseen for ever
        if (sound && std::get<Entry>(entry).index == end_ + 1) applyEntry(std::get<Entry>(entry), false);
      }
    }
    if (!sound) {
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

Job<bool> Replica::keepMemory() {
  AppendResult appended = wal_.append(RecordKind::kMeta, pack(MetaRecord{kImageFormat, memory_}));
  if (!std::holds_alternative<std::uint64_t>(appended)) {
    diskBroke();
    co_return false;
  }
  GroupCommit::Wait wait(groupCommit_);
  const bool durable = co_await wait;
  if (!durable) diskBroke();
  co_return durable;
}

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
  // Chosen while a fetched state is not yet on its disk: it waits for a later view.
  changeState(mine ? (imageLoose_ ? ReplicaState::kSealed : ReplicaState::kActive) : ReplicaState::kOutside);
  std::string chain;
  for (const Seat& seat : memory_.view.chain)
    absl::StrAppend(&chain, chain.empty() ? "" : ",", addressText(seat.address));
  logEvent("view", {{"revision", absl::StrCat(memory_.view.revision)},
                    {"chain", chain},
                    {"voters", absl::StrCat(memory_.view.voters.size())}});
}

Bytes Replica::image() const {
  Image image;
  image.memory = memory_;
  image.end = end_;
  image.endRevision = endRevision_;
  for (const CommandId& id : verdictOrder_) image.verdicts.emplace_back(id, verdicts_.at(id));
  image.state = machine_.save();
  return pack(image);
}

bool Replica::loadImage(const Bytes& bytes, bool own) {
  auto read = unpack<Image>(bytes);
  Image* image = std::get_if<Image>(&read);
  if (image == nullptr || image->format != kImageFormat || !machine_.load(image->state)) return false;
  if (own) memory_ = image->memory;  // another's votes are not mine
  end_ = image->end;
  endRevision_ = image->endRevision;
  appended_ = image->end;
  imageBytes_ = bytes.size();
  recent_.clear();
  keptAfterRevision_ = image->endRevision;
  recentBytes_ = 0;
  verdicts_.clear();
  verdictOrder_.clear();
  verdictBytes_ = 0;
  for (auto& [id, verdict] : image->verdicts) {
    verdictOrder_.push_back(id);
    verdicts_[id] = verdict;
    verdictBytes_ += verdict.size();
  }
  return true;
}

// After an eighth of the ring in entries; sooner where the state leaves less below the bound above which a head takes
// nothing (a third, see onSubmit): with the bound reached first no entry would come, and no checkpoint ever be due.
bool Replica::checkpointDue() const {
  const std::size_t ring = wal_.ringBytes();
  const std::size_t room = ring / 3 > imageBytes_ ? ring / 3 - imageBytes_ : 0;
  return wal_.bytesSinceCheckpoint() > std::clamp(room * 3 / 4, ring / 512, ring / 8);
}

void Replica::maybeCheckpoint() {
  if (!wal_.checkpointing() && checkpointDue()) {
    STONEMOUNT_INVARIANT(appended_ <= end_);  // what lies before it on the disk must be in it
    Bytes whole = image();
    imageBytes_ = whole.size();
    wal_.beginCheckpoint(std::move(whole));
  }
  if (wal_.checkpointing() && !wal_.pumpCheckpoint(8)) diskBroke();
}

void Replica::diskBroke() {
  logDoubt("disk_broke", {});
  changeState(ReplicaState::kBroken);
}

}  // namespace stonemount
