// The simulator's world: one clock, one queue, one seed; machines, their channels and disks
// (design.md 13).
#pragma once

#include "simulator/sim_disk.h"
#include "stonemount.h"

namespace stonemount {

class World;

class SimEvent {
 public:
  virtual ~SimEvent() = default;
  virtual void happen() = 0;
  virtual void lost() {}  // the process that it was for is gone
};

// One machine with at most one process on it. It outlives its processes, as its disk does.
class SimHost : public Clock, public Timers, public Wire, public HttpIn, public HttpOut {
 public:
  SimHost(World& world, std::size_t place, std::string name, std::string zone, Address wire, Address http);
  ~SimHost() override;
  // ports
  Us monoUs() const override;
  Us worldUs(Us monoUs) const { return monoUs - monoOffsetUs_; }
  Us wallUs() const override;
  void arm(Us delayUs, Continuation& continuation) override;
  void disarm(Continuation& continuation) override;
  Address self() const override { return wire_; }
  void post(const Address& peer, Bytes frame) override;
  std::unique_ptr<HttpFlow> open(const Address& server, const HttpAsk& ask) override { return open(server, ask, {}); }
  std::unique_ptr<HttpFlow> open(const Address& server, const HttpAsk& ask, const HttpVia& via) override;

  Ports ports() { return {*this, *this, *this, *this, *this, disk.get(), chance}; }
  const std::string& name() const { return name_; }
  const std::string& zone() const { return zone_; }
  const Address& wire() const { return wire_; }
  const Address& http() const { return http_; }
  std::size_t place() const { return place_; }
  bool up() const { return up_; }
  bool frozen() const;
  std::uint64_t life() const { return life_; }
  void rise();  // a process is about to run here
  void fall();  // it is gone; its channels break
  Us frozenUntilUs = 0;
  Us wallOffsetUs = 0;
  // Its link's pace, if that is bounded: all that goes out shares one queue, all that comes in another. 0: no bound.
  Us linkUsPerKilobyte = 0;
  Us linkOutFreeUs = 0, linkInFreeUs = 0;  // when these queues will have been carried
  Us usPerKilobyte = 0;                    // a slow link: each frame and piece to or from here takes so long besides
  Us slowUs = 0;                           // a slow machine: each thing that it does takes so long
  Us busyUntilUs = 0;
  std::uint64_t steps = 0;  // wakings and deliveries
  std::unique_ptr<SimDisk> disk;
  Chance chance;

 private:
  World& world_;
  std::size_t place_;
  std::string name_, zone_;
  Address wire_, http_;
  bool up_ = false;
  std::uint64_t life_ = 0;
  Us monoOffsetUs_ = 0;
};

class World : public LogSink {
 public:
  explicit World(std::uint64_t seed);
  ~World() override;
  SimHost& addHost(const std::string& name, const std::string& zone, const Address& wire, const Address& http);
  SimHost* hostByWire(const Address& address);
  SimHost* hostByHttp(const Address& address);
  std::vector<std::unique_ptr<SimHost>>& hosts() { return hosts_; }
  Us nowUs() const { return nowUs_; }
  Chance& chance() { return chance_; }
  void runUntil(Us untilUs);
  void schedule(Us atUs, SimHost* host, std::unique_ptr<SimEvent> event);
  std::uint64_t enqueue(Us atUs, SimHost& host, Continuation& continuation);
  void dequeue(Us dueUs, std::uint64_t key);
  Us latency(const SimHost& from, const SimHost& to);
  Us carriedUs(SimHost& from, SimHost& to, Us atUs, std::size_t bytes);  // when it is there, over bounded links
  Us carriageUs(const SimHost& from, const SimHost& to, std::size_t bytes) const;
  bool cut(const SimHost& from, const SimHost& to) const { return cuts_.contains({from.place(), to.place()}); }
  void setCut(const SimHost& from, const SimHost& to, bool isCut);
  void healAll() { cuts_.clear(); }
  void line(bool doubt, const std::string& text) override;
  std::uint64_t traceDigest() const { return traceDigest_; }
  std::uint64_t steps() const { return steps_; }
  bool loud = false;
  static constexpr Us kStartWallUs = 1'700'000'000LL * kSecondUs;  // true time at the start

 private:
  struct Entry {
    SimHost* host = nullptr;
    std::uint64_t life = 0;
    Continuation* continuation = nullptr;
    std::unique_ptr<SimEvent> event;
  };
  Chance chance_;
  Us nowUs_ = 0;
  std::uint64_t lastKey_ = 0;
  std::uint64_t steps_ = 0;
  std::uint64_t traceDigest_ = 0;
  SimHost* current_ = nullptr;
  absl::btree_map<std::pair<Us, std::uint64_t>, Entry> queue_;
  std::vector<std::unique_ptr<SimHost>> hosts_;
  absl::btree_map<Address, SimHost*> byWire_, byHttp_;
  absl::btree_set<std::pair<std::size_t, std::size_t>> cuts_;
  absl::btree_map<std::pair<std::size_t, std::size_t>, Us> lastDelivery_;
  friend class SimHost;
};

}  // namespace stonemount
