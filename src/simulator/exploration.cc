#include "simulator/exploration.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

namespace {
constexpr Us kLateUs = 900 * kMilliUs;
constexpr Us kCutUs = 1200 * kMilliUs;
constexpr Us kShortDownUs = 100 * kMilliUs;
constexpr Us kDownUs = 300 * kMilliUs;
constexpr Us kLongDownUs = 1200 * kMilliUs;
constexpr std::size_t kHeldSteps = 3;

const std::vector<StepFault>& frameFaults() {
  static const std::vector<StepFault> faults = {StepFault::kDrop,      StepFault::kDuplicate, StepFault::kDuplicateLate,
                                                StepFault::kDelay,     StepFault::kDelayLong, StepFault::kCutOneWay,
                                                StepFault::kIsolate,   StepFault::kFreeze,    StepFault::kCrash,
                                                StepFault::kCrashLong, StepFault::kPowerLoss, StepFault::kWipe};
  return faults;
}
const std::vector<StepFault>& clientFrameFaults() {
  static const std::vector<StepFault> faults = {StepFault::kDrop, StepFault::kDuplicateLate, StepFault::kDelayLong};
  return faults;
}
const std::vector<StepFault>& syncFaults() {
  static const std::vector<StepFault> faults = {StepFault::kSyncFails, StepFault::kSyncStalls, StepFault::kSyncLost,
                                                StepFault::kSyncTorn, StepFault::kSyncThenPower};
  return faults;
}

// A frame that comes later than it did; gone with the process that it was for.
class LateFrame : public SimEvent {
 public:
  LateFrame(ExplorationWire& wire, const Address& peer, Bytes frame)
      : wire_(wire), peer_(peer), frame_(std::move(frame)) {}
  void happen() override { wire_.deliver(peer_, frame_); }

 private:
  ExplorationWire& wire_;
  Address peer_;
  Bytes frame_;
};
}  // namespace

const char* stepFaultText(StepFault fault) {
  static const char* const texts[] = {"drop",        "duplicate",      "duplicate_late", "delay",       "delay_long",
                                      "cut_one_way", "isolate",        "freeze",         "crash",       "crash_long",
                                      "power_loss",  "wipe",           "sync_fails",     "sync_stalls", "sync_lost",
                                      "sync_torn",   "sync_then_power"};
  return texts[static_cast<std::size_t>(fault)];
}

std::string choicesText(const Choices& choices) {
  std::string text;
  for (const Choice& choice : choices)
    absl::StrAppend(&text, text.empty() ? "" : " ", choice.step, ":", stepFaultText(choice.fault));
  return text.empty() ? "none" : text;
}

ExplorationWire::ExplorationWire(Exploration& exploration, SimHost& host, bool member)
    : exploration_(exploration), host_(host), member_(member) {
  exploration.wires_[host.wire()] = this;
  host.heard.connect(sigc::mem_fun(*this, &ExplorationWire::onHeard));
}

void ExplorationWire::post(const Address& peer, Bytes frame) {
  auto read = unpack<Envelope>(frame);
  if (auto* envelope = std::get_if<Envelope>(&read)) exploration_.observer_.sent(host_.place(), peer, *envelope);
  host_.post(peer, std::move(frame));
}

void ExplorationWire::onHeard(const Address& peer, const Bytes& frame) { exploration_.onHeard(*this, peer, frame); }

void ExplorationWire::deliver(const Address& peer, const Bytes& frame) {
  auto read = unpack<Envelope>(frame);
  if (auto* envelope = std::get_if<Envelope>(&read)) exploration_.observer_.received(host_.place(), peer, *envelope);
  heard.emit(peer, frame);
}

Exploration::Exploration(World& world, ProcessOwner& owner, FrameObserver& observer, Choices choices)
    : world_(world), owner_(owner), observer_(observer), choices_(std::move(choices)) {}

void Exploration::close() {
  open_ = false;
  cutUntilUs_.clear();
  held_.clear();
  unblock();
  for (const auto& [address, wire] : wires_) wire->host().frozenUntilUs = 0;
}

// Numbers the step; tells which fault, if any, was chosen for it.
std::optional<StepFault> Exploration::next(Step step) {
  const std::size_t number = steps_.size();
  steps_.push_back(std::move(step));
  if (chosen_ >= choices_.size() || choices_[chosen_].step != number) return std::nullopt;
  return choices_[chosen_++].fault;
}

bool Exploration::isCut(const ExplorationWire& wire, const Address& peer) {
  auto found = cutUntilUs_.find({peer, wire.self()});
  return found != cutUntilUs_.end() && world_.nowUs() < found->second;
}

void Exploration::onHeard(ExplorationWire& wire, const Address& peer, const Bytes& frame) {
  if (!open_) return wire.deliver(peer, frame);
  if (isCut(wire, peer)) return;
  auto read = unpack<Envelope>(frame);
  const Envelope* envelope = std::get_if<Envelope>(&read);
  const std::uint16_t kind = envelope != nullptr ? envelope->kind : 0;
  if (blocked_ && blocked_->first == wire.host().place() && blocked_->second == kind) return;
  Step step{false, kind, wire.host().place(), wire.member(), wire.member() ? frameFaults() : clientFrameFaults()};
  const std::optional<StepFault> fault = next(std::move(step));
  if (fault)
    happens(*fault, wire, peer, frame);
  else
    wire.deliver(peer, frame);
  releaseHeld();
}

void Exploration::releaseHeld() {
  while (!held_.empty() && held_.front().untilStep <= steps_.size()) {
    const Held held = std::move(held_.front());
    held_.pop_front();
    if (held.wire->host().life() == held.life) later(*held.wire, held.peer, held.frame, 0);
  }
}

void Exploration::later(ExplorationWire& wire, const Address& peer, const Bytes& frame, Us delayUs) {
  world_.schedule(world_.nowUs() + delayUs, &wire.host(), std::make_unique<LateFrame>(wire, peer, frame));
}

void Exploration::happens(StepFault fault, ExplorationWire& wire, const Address& peer, const Bytes& frame) {
  const std::size_t place = wire.host().place();
  const Us untilUs = world_.nowUs() + kCutUs;
  switch (fault) {
    case StepFault::kDuplicate:
      wire.deliver(peer, frame);
      return later(wire, peer, frame, 0);
    case StepFault::kDuplicateLate:
      wire.deliver(peer, frame);
      return later(wire, peer, frame, kLateUs);
    case StepFault::kDelay:
      return held_.push_back({&wire, peer, frame, steps_.size() + kHeldSteps, wire.host().life()});
    case StepFault::kDelayLong:
      return later(wire, peer, frame, kLateUs);
    case StepFault::kCutOneWay:
      cutUntilUs_[{peer, wire.self()}] = untilUs;
      return;
    case StepFault::kIsolate:
      for (const auto& [address, other] : wires_) {
        if (!other->member() || other == &wire) continue;
        cutUntilUs_[{address, wire.self()}] = cutUntilUs_[{wire.self(), address}] = untilUs;
      }
      return;
    case StepFault::kFreeze:
      wire.deliver(peer, frame);
      wire.host().frozenUntilUs = untilUs;
      return;
    case StepFault::kCrash:
      return owner_.stopProcess(place, DiskLoss::kNothing, kShortDownUs);
    case StepFault::kCrashLong:
      return owner_.stopProcess(place, DiskLoss::kNothing, kLongDownUs);
    case StepFault::kPowerLoss:
      return owner_.stopProcess(place, DiskLoss::kUnsynced, kDownUs);
    case StepFault::kWipe:
      if (!owner_.mayWipe(place)) return wire.deliver(peer, frame);
      return owner_.stopProcess(place, DiskLoss::kAll, kDownUs);
    default:  // the frame is dropped
      return;
  }
}

SyncFate Exploration::syncing(std::size_t place) {
  if (!open_) return SyncFate::kLasts;
  const std::optional<StepFault> fault = next(Step{true, 0, place, true, syncFaults()});
  if (!fault) return SyncFate::kLasts;
  switch (*fault) {
    case StepFault::kSyncFails:
      return SyncFate::kFails;
    case StepFault::kSyncStalls:
      return SyncFate::kStalls;
    case StepFault::kSyncLost:
      return SyncFate::kLostWithPower;
    case StepFault::kSyncTorn:
      return SyncFate::kTornWithPower;
    case StepFault::kSyncThenPower:
      return SyncFate::kLastsThenPower;
    default:
      return SyncFate::kLasts;
  }
}

void Exploration::powerGoes(std::size_t place, DiskLoss loss) { owner_.stopProcess(place, loss, kDownUs); }

}  // namespace stonemount
