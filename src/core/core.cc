#include "core/core.h"

#include <absl/strings/str_cat.h>

#include "anvil/member_face.h"

#include "jig/platform_list.h"
#include "vise/http_call.h"

namespace stonemount {

Core::Core(Ports& ports, Settings settings, CorePlan plan)
    : ports_(ports), settings_(std::move(settings)), plan_(plan), desk_(ports.alarms, ports.wire, ports.chance),
      shim_(ports, desk_, room_, plan.shim), member_(ports, desk_, room_, machine_, memberPlanOf(settings_)),
      core_(ports, desk_, settings_.founders), store_(ports, desk_, {}), mallet_(ports, desk_, room_, plan.mallet),
      sampler_(ports, desk_, room_, mallet_, store_, member_, plan.gauge), rebuilder_(ports, desk_, shim_, core_, machine_),
      steward_(ports, desk_, room_, mallet_, shim_, member_, machine_, core_, store_, stewardPlanOf(settings_, plan.steward)),
      retireDesk_(ports, desk_, shim_, core_, store_, settings_.bounds.lostMachines) {}

Core::~Core() {
  asked_.disconnect();
  room_.clear();
}

void Core::begin() {
  Card card;
  card.http = settings_.http;
  card.role = Role::kCore;
  card.zone = settings_.zone;
  card.machine = settings_.name;
  shim_.met.connect(sigc::mem_fun(*this, &Core::onMet));
  member_.viewMoved.connect(sigc::mem_fun(*this, &Core::onView));
  asked_ = ports_.httpIn.asked.connect(sigc::mem_fun(*this, &Core::onAsked));
  shim_.begin(card);
  core_.learnMember(settings_.wire);
  mallet_.begin({Sampler::kDuty, kLister, Steward::kDuty});
  member_.begin();
  sampler_.begin();
  steward_.begin();
  room_.start(list());
  room_.start(watchZone());
}

void Core::onMet(const Card& card) {
  if (card.role == Role::kCore) {
    core_.learnMember(card.wire);
    member_.meet(card.wire);
  }
  if (card.role == Role::kStore) store_.learnMember(card.wire);
}

void Core::onView() { mallet_.setElectors(member_.view().voters, member_.incarnation()); }

// In an evacuated zone a core leaves its duties to others where there are any.
Task Core::watchZone() {
  while (true) {
    mallet_.setReluctant(machine_.state().evacuated(settings_.zone));
    Pause pause(ports_.alarms, kSecondUs);
    co_await pause;
  }
}

// The lister carries the platform's list into the control chain.
Task Core::list() {
  while (true) {
    if (mallet_.holds(kLister)) {
      Job<Done> rebuilding = rebuilder_.look();
      co_await rebuilding;
    }
    if (mallet_.holds(kLister) && settings_.platform.set()) {
      Job<Done> carrying = carryList();
      co_await carrying;
    } else {
      listedVersion_ = 0;
    }
    Pause pause(ports_.alarms, plan_.listUs);
    co_await pause;
  }
}

Job<Done> Core::carryList() {
  HttpAsk ask;
  ask.method = "GET";
  ask.path = "/platform/workers";
  HttpCall call(ports_, settings_.platform, ask, kSecondUs);
  const HttpVerdict verdict = co_await call;
  auto* whole = std::get_if<HttpWhole>(&verdict);
  if (whole == nullptr || whole->status != 200) co_return Done{};
  std::optional<PlatformList> list = readPlatformList(whole->body);
  if (!list || list->version == listedVersion_) co_return Done{};
  const std::uint64_t version = list->version;
  ControlCommand command = PutWorkers{version, std::move(list->workers)};
  Job<ChainAnswer> sending = core_.submit(pack(command), 2 * kSecondUs);
  ChainAnswer answer = co_await sending;
  if (std::holds_alternative<Bytes>(answer)) listedVersion_ = version;
  co_return Done{};
}

void Core::onAsked(const HttpAsk& ask, ReplyPtr reply) {
  JsonOut out;
  out.object().field("role", "core").field("sampler", mallet_.holds(Sampler::kDuty)).field("lister", mallet_.holds(kLister));
  answerMemberMetrics(ask, *reply, out, member_, desk_);
}

}  // namespace stonemount
