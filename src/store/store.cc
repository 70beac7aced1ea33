#include "store/store.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

namespace {
MemberPlan memberPlan(const Settings& settings) {
  MemberPlan plan;
  plan.zone = settings.zone;
  plan.founders = settings.founders;
  plan.seeds = settings.founders;
  return plan;
}
}  // namespace

Store::Store(Ports& ports, Settings settings, ShimPlan shim, StorePlan plan)
    : ports_(ports), settings_(std::move(settings)), desk_(ports.alarms, ports.wire, ports.chance),
      shim_(ports, desk_, room_, std::move(shim)), machine_(ports.chance, plan),
      member_(ports, desk_, room_, machine_, memberPlan(settings_)), client_(ports, desk_, settings_.founders) {}

Store::~Store() {
  asked_.disconnect();
  room_.clear();
}

void Store::begin() {
  Card card;
  card.http = settings_.http;
  card.role = Role::kStore;
  card.zone = settings_.zone;
  shim_.met.connect(sigc::mem_fun(*this, &Store::onMet));
  shim_.begin(card);
  desk_.serve(SessionAsk::kKind, sigc::mem_fun(*this, &Store::onSession));
  asked_ = ports_.httpIn.asked.connect(sigc::mem_fun(*this, &Store::onAsked));
  member_.begin();
  room_.start(watchSession());
}

void Store::onMet(const Card& card) {
  if (card.role != Role::kStore) return;
  member_.meet(card.wire);
  client_.learnMember(card.wire);
}

// The head knows first that the sampler is gone, and has the doubt written down: grants and expiry
// stop by its own stamp anyway; this shows it to all (design.md 8.3).
Task Store::watchSession() {
  while (true) {
    Pause pause(ports_.alarms, 500 * kMilliUs);
    co_await pause;
    const CutState& cut = machine_.state().cut;
    if (!member_.head() || !cut.certain || machine_.sessions().live(cut.session, member_.sight())) continue;
    Job<ChainAnswer> doubting = client_.submit(pack(StoreCommand(DoubtCut{cut.epoch})), kSecondUs);
    co_await doubting;
  }
}

void Store::onSession(const Asked& asked) {
  auto message = unpack<SessionAsk>(asked.body);
  if (!std::holds_alternative<SessionAsk>(message)) return;
  SessionVerdict verdict;
  if (member_.head()) verdict = machine_.sessions().open(std::get<SessionAsk>(message).holder, member_.sight());
  desk_.reply(asked, verdict);
}

void Store::onAsked(const HttpAsk& ask, ReplyPtr reply) {
  JsonOut out;
  if (ask.path != "/metrics") {
    out.object().field("verdict", "unknown_path").closeObject();
    reply->whole(404, {}, out.take() + "\n");
    return;
  }
  const MemberCounts& counts = member_.counts();
  out.object().field("role", "store").field("standing", standingText(member_.standing()));
  out.field("view", member_.view().revision).field("end", member_.end()).field("applied", counts.applied);
  out.field("reads", counts.reads).field("confirms", counts.confirms).field("ballots", counts.ballots);
  out.field("refusedOld", counts.refusedOld).field("syncs", member_.drawer().syncs);
  out.field("cutUs", machine_.state().cut.cutUs).field("certain", machine_.state().cut.certain);
  out.field("frames", desk_.sentFrames).field("frameBytes", desk_.sentBytes).closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

}  // namespace stonemount
