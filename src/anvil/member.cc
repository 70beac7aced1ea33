// Life of a member: opening its disk, founding the first view, moving between views (design.md 6.1).
#include "anvil/member.h"

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

const char* standingText(Standing standing) {
  switch (standing) {
    case Standing::kOpening: return "opening";
    case Standing::kFounding: return "founding";
    case Standing::kOutside: return "outside";
    case Standing::kSealed: return "sealed";
    case Standing::kActive: return "active";
    case Standing::kBroken: return "broken";
  }
  return "unknown";
}

Member::Member(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, Machine& machine, MemberPlan plan)
    : ports_(ports), rpc_(rpc), room_(room), machine_(machine), plan_(std::move(plan)),
      self_(rpc.self()), wal_(*ports.disk, ports.timers, ports.clock), groupCommit_(wal_, ports.timers, room) {}

Member::~Member() { refused_.disconnect(); }

void Member::begin() {
  refused_ = ports_.wire.refused.connect(sigc::mem_fun(*this, &Member::onRefused));
  rpc_.serve(Ping::kKind, sigc::mem_fun(*this, &Member::onPing));
  rpc_.serve(Peek::kKind, sigc::mem_fun(*this, &Member::onPeek));
  rpc_.serve(ViewAsk::kKind, sigc::mem_fun(*this, &Member::onViewAsk));
  rpc_.serve(Found::kKind, sigc::mem_fun(*this, &Member::onFound));
  rpc_.serve(Seal::kKind, sigc::mem_fun(*this, &Member::onSeal));
  rpc_.serve(Prepare::kKind, sigc::mem_fun(*this, &Member::onPrepare));
  rpc_.serve(Accept::kKind, sigc::mem_fun(*this, &Member::onAccept));
  rpc_.serve(Confirm::kKind, sigc::mem_fun(*this, &Member::onConfirm));
  rpc_.serve(Decided::kKind, sigc::mem_fun(*this, &Member::onDecided));
  rpc_.serve(Append::kKind, sigc::mem_fun(*this, &Member::onAppend));
  rpc_.serve(FetchState::kKind, sigc::mem_fun(*this, &Member::onFetchState));
  rpc_.serve(FetchLog::kKind, sigc::mem_fun(*this, &Member::onFetchLog));
  rpc_.serve(CatchUp::kKind, sigc::mem_fun(*this, &Member::onCatchUp));
  rpc_.serve(ChangeVoters::kKind, sigc::mem_fun(*this, &Member::onChangeVoters));
  rpc_.serve(Submit::kKind, sigc::mem_fun(*this, &Member::onSubmit));
  rpc_.serve(Read::kKind, sigc::mem_fun(*this, &Member::onRead));
  rpc_.serve(Invite::kKind, sigc::mem_fun(*this, &Member::onInvite));
  rpc_.serve(FoundersTold::kKind, sigc::mem_fun(*this, &Member::onFoundersTold));
  if (!plan_.mayFound) plan_.founders.clear();
  room_.start(open());
}

void Member::changeStanding(Standing next) {
  if (next == standing_ || standing_ == Standing::kBroken) return;
  logEvent("standing", {{"from", standingText(standing_)}, {"to", standingText(next)},
                        {"view", absl::StrCat(memory_.view.revision)}, {"end", absl::StrCat(end_)}});
  standing_ = next;
  inbox_.clear();
  inboxBytes_ = 0;
  for (const Asked& asked : appendsWaiting_) answerAppend(asked, false);
  appendsWaiting_.clear();
  successorEnd_.reset();
  successorTold_ = false;
  verified_ = next == Standing::kActive && memory_.view.chain.front().address == self_;
  verifiedEnd_ = end_;
  if (next != Standing::kActive) wakeHeld();
  passEvent_.notify();
  readEvent_.notify();
  mendEvent_.notify();
  refillEvent_.notify();
  viewMoved.emit();
}

Task Member::open() {
  OpenResult opened = wal_.open();
  if (std::holds_alternative<DiskFailure>(opened)) {
    changeStanding(Standing::kBroken);
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
      changeStanding(Standing::kBroken);  // an unknown format is refused, not guessed at
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
                      {"view", absl::StrCat(memory_.view.revision)}, {"end", absl::StrCat(end_)}});
  if (memory_.view.revision == 0) {
    changeStanding(Standing::kFounding);
    room_.start(found());
  } else {
    // A restart always waits for a new view: what it did last in this one is not known to it.
    const bool mine = holdsSeat(memory_.view.chain, self_, memory_.incarnation);
    changeStanding(mine ? Standing::kSealed : Standing::kOutside);
  }
  room_.start(write());
  room_.start(passOn());
  room_.start(readBatches());
  room_.start(pingAll());
  room_.start(mend());
  room_.start(refill());
}

void Member::onDecided(const Asked& asked) {
  auto message = unpack<Decided>(asked.body);
  if (std::holds_alternative<Decided>(message)) room_.start(takeViewTask(std::get<Decided>(message).view));
}

Task Member::takeViewTask(View next) {
  Job<bool> taken = takeView(std::move(next));
  co_await taken;
}

void Member::onViewAsk(const Asked& asked) { rpc_.reply(asked, ViewVerdict{memory_.view}); }

Job<bool> Member::keepMemory() {
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
Job<bool> Member::takeView(View next) {
  if (next.revision <= memory_.view.revision || standing_ == Standing::kBroken) co_return true;
  if (standing_ == Standing::kActive) changeStanding(Standing::kSealed);
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
  if (memory_.view.revision == next.revision) standingFromView();
  co_return true;
}

void Member::standingFromView() {
  const bool mine = holdsSeat(memory_.view.chain, self_, memory_.incarnation);
  refilled_ = mine;
  // Chosen while a fetched state is not yet on its disk: it waits for a later view.
  changeStanding(mine ? (imageLoose_ ? Standing::kSealed : Standing::kActive) : Standing::kOutside);
  std::string chain;
  for (const Seat& seat : memory_.view.chain) absl::StrAppend(&chain, chain.empty() ? "" : ",", addressText(seat.address));
  logEvent("view", {{"revision", absl::StrCat(memory_.view.revision)}, {"chain", chain},
                    {"voters", absl::StrCat(memory_.view.voters.size())}});
}

Bytes Member::image() const {
  Image image;
  image.memory = memory_;
  image.end = end_;
  image.endRevision = endRevision_;
  for (const CommandId& id : verdictOrder_) image.verdicts.emplace_back(id, verdicts_.at(id));
  image.state = machine_.save();
  return pack(image);
}

bool Member::loadImage(const Bytes& bytes, bool own) {
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

void Member::maybeCheckpoint() {
  if (!wal_.checkpointing() && wal_.bytesSinceCheckpoint() > wal_.ringBytes() / 8) {
    STONEMOUNT_INVARIANT(appended_ <= end_);  // what lies before it on the disk must be in it
    Bytes whole = image();
    imageBytes_ = whole.size();
    wal_.beginCheckpoint(std::move(whole));
  }
  if (wal_.checkpointing() && !wal_.pumpCheckpoint(8)) diskBroke();
}

void Member::diskBroke() {
  logDoubt("disk_broke", {});
  changeStanding(Standing::kBroken);
}

}  // namespace stonemount
