#include "store/store.h"

#include <absl/strings/str_cat.h>

#include "replication/replica_status.h"

namespace stonemount {

Store::Store(Ports& ports, Settings settings, GossipPlan gossip, StorePlan plan)
    : ports_(ports),
      settings_(std::move(settings)),
      rpc_(ports.timers, ports.wire, ports.chance),
      gossip_(ports, rpc_, room_, std::move(gossip)),
      machine_(ports.chance, plan),
      replica_(ports, rpc_, room_, machine_, replicaPlanOf(settings_)),
      client_(ports, rpc_, settings_.founders) {}

Store::~Store() {
  asked_.disconnect();
  room_.clear();
}

void Store::begin() {
  PeerRecord record;
  record.http = settings_.http;
  record.role = Role::kStore;
  record.zone = settings_.zone;
  record.machine = settings_.name;
  gossip_.met.connect(sigc::mem_fun(*this, &Store::onMet));
  replica_.viewMoved.connect(sigc::mem_fun(*this, &Store::onView));
  gossip_.begin(record);
  rpc_.serve(SessionAsk::kKind, sigc::mem_fun(*this, &Store::onSession));
  asked_ = ports_.httpIn.asked.connect(sigc::mem_fun(*this, &Store::onAsked));
  replica_.begin();
  room_.start(watchSession());
}

void Store::onMet(const PeerRecord& record) {
  if (record.role != Role::kStore) return;
  replica_.meet(record.wire);
  client_.learnMember(record.wire);
}

// Empty, on the fleet's first start, and nobody told it who founds: it may become a founder.
void Store::onView() {
  gossip_.self().empty =
      settings_.firstStart && settings_.founders.empty() && replica_.state() == ReplicaState::kBootstrapping;
}

// One line for each change of epoch or certainty, from the tail alone.
void Store::tellCut() {
  const StoreState& state = machine_.state();
  const bool news =
      state.cut.epoch != toldCut_.epoch || state.cut.certain != toldCut_.certain || state.cut.doubts != toldCut_.doubts;
  if (!replica_.tail() || !news) return;
  toldCut_ = state.cut;
  logEvent("cut", {{"epoch", absl::StrCat(state.cut.epoch)},
                   {"cut_us", absl::StrCat(state.cut.cutUs)},
                   {"certain", state.cut.certain ? "yes" : "no"},
                   {"cause", doubtText(state.cut.doubt)},
                   {"lag_us", absl::StrCat(state.cut.lagUs)},
                   {"paused_expiries", absl::StrCat(state.pausedExpiries)}});
}

// The head knows first that the sampler is gone, and has the doubt written down: grants and expiry
// stop by its own stamp anyway; this shows it to all (design.md 8.3).
Task Store::watchSession() {
  while (true) {
    Pause pause(ports_.timers, 500 * kMilliUs);
    co_await pause;
    const CutState& cut = machine_.state().cut;
    tellCut();
    if (!replica_.head() || !cut.certain || machine_.sessions().live(cut.session, replica_.sight())) continue;
    Job<ChainAnswer> doubting = client_.submit(pack(StoreCommand(DoubtCut{cut.epoch})), kSecondUs);
    co_await doubting;
  }
}

void Store::onSession(const Asked& asked) {
  auto message = unpack<SessionAsk>(asked.body);
  if (!std::holds_alternative<SessionAsk>(message)) return;
  SessionVerdict verdict;
  if (replica_.head()) verdict = machine_.sessions().open(std::get<SessionAsk>(message).holder, replica_.sight());
  rpc_.reply(asked, verdict);
}

void Store::onAsked(const HttpAsk& ask, ReplyPtr reply) {
  const CutState& cut = machine_.state().cut;
  std::uint64_t queuedTokens = 0;
  for (const auto& [route, tokens] : machine_.queuedTokens()) queuedTokens += tokens;
  JsonOut out;
  out.object().field("role", "store").field("cutUs", cut.cutUs).field("certain", cut.certain).field("epoch", cut.epoch);
  out.field("queuedTokens", queuedTokens);
  answerReplicaMetrics(ask, *reply, out, replica_, rpc_);
}

}  // namespace stonemount
