#include "simulator/world.h"

#include <algorithm>
#include <cstdio>

#include "simulator/sim_http.h"

namespace stonemount {

namespace {
constexpr Us kBacklogUs = 3 * kSecondUs;

class FrameEvent : public SimEvent {
 public:
  FrameEvent(World& world, SimHost& from, SimHost& to, Bytes frame)
      : world_(world), from_(from), to_(to), frame_(std::move(frame)) {}
  void happen() override {
    if (!world_.cut(from_, to_)) {
      const Bytes frame = std::move(frame_);
      to_.heard.emit(from_.wire(), frame);
      return;
    }
    // A cut channel drops some frames and holds others back, to come late.
    if (++held_ > 10 || world_.chance().oneIn(2)) return;
    auto again = std::make_unique<FrameEvent>(world_, from_, to_, std::move(frame_));
    again->held_ = held_;
    world_.schedule(world_.nowUs() + 300 * kMilliUs, &to_, std::move(again));
  }

 private:
  World& world_;
  SimHost& from_;
  SimHost& to_;
  Bytes frame_;
  int held_ = 0;
};
}  // namespace

SimHost::SimHost(World& world, std::size_t place, std::string name, std::string zone, Address wire, Address http)
    : chance(world.chance().next()),
      world_(world),
      place_(place),
      name_(std::move(name)),
      zone_(std::move(zone)),
      wire_(wire),
      http_(http),
      monoOffsetUs_(static_cast<Us>(1000 + 13 * place) * kSecondUs) {}

SimHost::~SimHost() = default;

Us SimHost::monoUs() const { return world_.nowUs() + monoOffsetUs_; }
Us SimHost::wallUs() const { return World::kStartWallUs + world_.nowUs() + wallOffsetUs; }
bool SimHost::frozen() const { return world_.nowUs() < frozenUntilUs; }

void SimHost::arm(Us delayUs, Continuation& continuation) {
  STONEMOUNT_INVARIANT(continuation.timerKey == 0);
  continuation.timerDueUs = world_.nowUs() + std::max<Us>(delayUs, 0);
  continuation.timerKey = world_.enqueue(continuation.timerDueUs, *this, continuation);
}

void SimHost::disarm(Continuation& continuation) {
  if (continuation.timerKey == 0) return;
  world_.dequeue(continuation.timerDueUs, continuation.timerKey);
  continuation.timerKey = 0;
}

void SimHost::post(const Address& peer, Bytes frame) {
  SimHost* to = world_.hostByWire(peer);
  if (to == nullptr || !to->up()) return;
  Us atUs = world_.nowUs() + world_.latency(*this, *to);
  if (linkUsPerKilobyte > 0 || to->linkUsPerKilobyte > 0) {
    // Short frames have a channel of their own, and share the link.
    atUs = world_.carriedUs(*this, *to, atUs, frame.size());
    world_.schedule(atUs, to, std::make_unique<FrameEvent>(world_, *this, *to, std::move(frame)));
    return;
  }
  Us& last = world_.lastDelivery_[{place_, to->place()}];
  if (last - world_.nowUs() > kBacklogUs) return;  // a channel that cannot keep up drops what is too much
  last = atUs = std::max(atUs, last) + world_.carriageUs(*this, *to, frame.size());  // a channel keeps its order
  world_.schedule(atUs, to, std::make_unique<FrameEvent>(world_, *this, *to, std::move(frame)));
}

std::unique_ptr<HttpFlow> SimHost::open(const Address& server, const HttpAsk& ask, const HttpVia& via) {
  return openSimFlow(world_, *this, server, ask, via);
}

void SimHost::rise() {
  STONEMOUNT_INVARIANT(!up_);
  up_ = true;
  ++life_;
}

void SimHost::fall() {
  up_ = false;
  frozenUntilUs = busyUntilUs = 0;
}

World::World(std::uint64_t seed) : chance_(seed) { setLogSink(this); }
World::~World() { setLogSink(nullptr); }

SimHost& World::addHost(const std::string& name, const std::string& zone, const Address& wire, const Address& http) {
  hosts_.push_back(std::make_unique<SimHost>(*this, hosts_.size(), name, zone, wire, http));
  byWire_[wire] = hosts_.back().get();
  byHttp_[http] = hosts_.back().get();
  return *hosts_.back();
}

SimHost* World::hostByWire(const Address& address) {
  auto found = byWire_.find(address);
  return found == byWire_.end() ? nullptr : found->second;
}

SimHost* World::hostByHttp(const Address& address) {
  auto found = byHttp_.find(address);
  return found == byHttp_.end() ? nullptr : found->second;
}

Us World::latency(const SimHost& from, const SimHost& to) {
  const Us baseUs = &from == &to ? 20 : from.zone() == to.zone() ? 150 : 600;
  return baseUs + static_cast<Us>(chance_.below(static_cast<std::uint64_t>(baseUs)));
}

Us World::carriageUs(const SimHost& from, const SimHost& to, std::size_t bytes) const {
  return (from.usPerKilobyte + to.usPerKilobyte) * static_cast<Us>(bytes) / 1024;
}

// Through the queue of the sender's link, then that of the receiver's.
Us World::carriedUs(SimHost& from, SimHost& to, Us atUs, std::size_t bytes) {
  const Us outUs = from.linkUsPerKilobyte * static_cast<Us>(bytes) / 1024;
  const Us inUs = to.linkUsPerKilobyte * static_cast<Us>(bytes) / 1024;
  from.linkOutFreeUs = std::max(from.linkOutFreeUs, nowUs()) + outUs;
  atUs = std::max(atUs, from.linkOutFreeUs);
  to.linkInFreeUs = std::max(to.linkInFreeUs, atUs) + inUs;
  return to.linkInFreeUs;
}

void World::setCut(const SimHost& from, const SimHost& to, bool isCut) {
  if (isCut)
    cuts_.insert({from.place(), to.place()});
  else
    cuts_.erase({from.place(), to.place()});
}

std::uint64_t World::enqueue(Us atUs, SimHost& host, Continuation& continuation) {
  const std::uint64_t key = ++lastKey_;
  Entry entry;
  entry.host = &host;
  entry.life = host.life();
  entry.continuation = &continuation;
  queue_.emplace(std::make_pair(atUs, key), std::move(entry));
  return key;
}

void World::dequeue(Us dueUs, std::uint64_t key) { queue_.erase({dueUs, key}); }

void World::schedule(Us atUs, SimHost* host, std::unique_ptr<SimEvent> event) {
  Entry entry;
  entry.host = host;
  entry.life = host != nullptr ? host->life() : 0;
  entry.event = std::move(event);
  queue_.emplace(std::make_pair(std::max(atUs, nowUs_), ++lastKey_), std::move(entry));
}

void World::runUntil(Us untilUs) {
  while (!queue_.empty() && queue_.begin()->first.first <= untilUs) {
    auto first = queue_.begin();
    nowUs_ = first->first.first;
    Entry entry = std::move(first->second);
    const std::uint64_t key = first->first.second;
    queue_.erase(first);
    SimHost* host = entry.host;
    const Us freeUs = host == nullptr ? 0 : std::max(host->frozenUntilUs, host->slowUs > 0 ? host->busyUntilUs : 0);
    if (nowUs_ < freeUs) {
      // Whatever comes while it is frozen, or busy, waits, in order, until it is free.
      if (entry.continuation != nullptr) entry.continuation->timerDueUs = freeUs;
      queue_.emplace(std::make_pair(freeUs, key), std::move(entry));
      continue;
    }
    if (host != nullptr) ++host->steps;
    if (host != nullptr) host->busyUntilUs = nowUs_ + host->slowUs;
    ++steps_;
    current_ = host;
    if (entry.continuation != nullptr) {
      entry.continuation->timerKey = 0;
      entry.continuation->proceed();
    } else if (host == nullptr || (host->up() && host->life() == entry.life)) {
      entry.event->happen();
    } else {
      entry.event->lost();
    }
    current_ = nullptr;
  }
  nowUs_ = std::max(nowUs_, untilUs);
}

void World::line(bool doubt, const std::string& text) {
  const std::string whole =
      std::to_string(nowUs_) + " " + (current_ != nullptr ? current_->name() : "world") + " " + text;
  traceDigest_ = spread(whole, traceDigest_);
  if (loud) std::fprintf(stderr, "%s%s\n", doubt ? "! " : "  ", whole.c_str());
}

}  // namespace stonemount
