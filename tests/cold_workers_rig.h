// A fleet of nodes before workers that turn cold: real load tables, real control state, modelled time and troubles
// (docs/design-notes/cold-workers.md).
#pragma once

#include <functional>
#include <queue>

#include "cold_workers_node.h"
#include "control/control_machine.h"

namespace stonemount {

struct ColdFleetPlan {
  std::size_t nodes = 12;
  std::size_t workers = 12;
  std::uint64_t ratePerS = 35;  // that a cold worker bears
  std::uint32_t slots = 128;
  std::uint64_t requestsPerS = 260;  // of the whole fleet, in calm
  Us lengthUs = 20 * kSecondUs;
  Us coldUs = 3 * kSecondUs;
  bool troubles = true;  // among nodes and control; else only workers have some
  bool bursts = true;
  // A worker that was down may be the same afterwards, though every start should make a new life.
  bool sameLife = true;
};

// Modelled on the platform's rule: requests that reach a cold worker in any one second, over all senders.
inline std::uint64_t coldBound(std::uint64_t ratePerS) { return ratePerS * 3 / 2 + 5; }

class ColdFleet {
 public:
  ColdFleet(std::uint64_t seed, ColdFleetPlan plan);
  void run();
  // The most that any cold worker got in one second.
  std::uint64_t worst() const { return worst_; }
  std::uint64_t served() const { return served_; }
  std::uint64_t refused() const { return refused_; }
  std::uint64_t coldServed() const { return coldServed_; }
  std::string worstStory() const { return worstStory_ + " (" + troubles_ + ")"; }

 private:
  enum class WorkerState : std::uint8_t { kUp, kRefusing, kDark };
  struct Fact {  // of a worker, from then on, as the platform knows it
    Us atUs = 0;
    std::string life;
    Us coldUntilUs = 0;
  };
  struct Run {  // of a request at a worker
    std::size_t node = 0;
    std::uint64_t nodeLife = 0;
    Address worker;
    std::string life;
    bool lot = false;
    bool over = false;
  };
  struct Worker {
    Address address;
    std::string zone;
    WorkerState state = WorkerState::kUp;
    std::deque<Fact> facts;
    std::deque<Us> arrivals;  // of the present coldness
    std::vector<std::shared_ptr<Run>> runs;
    const Fact& now() const { return facts.back(); }
  };
  struct Request {
    std::size_t node = 0;
    PoolRequest wish;
    Us giveUpUs = 0;
    std::uint32_t tries = 0;
  };
  using Deed = std::function<void()>;
  struct Later {
    Us atUs = 0;
    std::uint64_t number = 0;
    Deed deed;
    bool operator<(const Later& other) const { return std::tie(other.atUs, other.number) < std::tie(atUs, number); }
  };

  void at(Us delayUs, Deed deed);
  Us some(Us fromUs, Us toUs) {
    return fromUs + static_cast<Us>(chance_.below(static_cast<std::uint64_t>(toUs - fromUs)));
  }
  // control
  void pollList();
  std::vector<ListedWorker> listAsOf(Us asOfUs) const;
  void tellAll();
  void tellNode(std::size_t node);
  void follow(std::size_t node, std::uint64_t life);
  void tick(std::size_t node, std::uint64_t life);
  void askPlatform(std::size_t node, std::uint64_t life);
  std::size_t followers() const;
  std::vector<Address> knownTo(const ColdNode& node) const;
  // traffic
  void arrive(std::size_t node, std::uint64_t life);
  void attempt(Request request);
  void reach(Request request, Address address, std::string life, std::uint64_t nodeLife);
  void work(std::shared_ptr<Run> run);
  void emit(const Run& run);
  void probe(std::size_t node, const Address& address);
  void answerProbe(std::shared_ptr<Run> run, Us askedUs);
  void finish(Run& run, PoolLoadTable::Ending ending);
  void countArrival(Worker& worker);
  // troubles
  void planTroubles();
  void troubleWorkers(Us atUs);
  void troubleNodes(Us atUs);
  void down(std::vector<std::size_t> which, Us forUs, WorkerState state, bool newLife, bool cold);
  static bool unnoticed(Us forUs, WorkerState state);
  void turnCold(Worker& worker, bool newLife, bool cold);
  void evacuate(const std::string& zone, Us forUs);
  void endEvacuation(const std::string& zone, Us inUs);
  void setZone(const std::string& zone, bool evacuated);
  void startNode(std::size_t node);

  Chance chance_;
  ColdFleetPlan plan_;
  HandClock clock_;
  std::priority_queue<Later> queue_;
  std::uint64_t lastNumber_ = 0;
  std::vector<Worker> workers_;
  std::vector<std::unique_ptr<ColdNode>> nodes_;
  ControlMachine control_;
  FollowerCount tail_;                                      // of the control chain
  std::map<Address, std::pair<std::string, Us>> coldTold_;  // what the lister last saw: life, what was left
  Us controlDownUntilUs_ = 0;                               // nobody hears it, and nothing is decided
  Us splitUntilUs_ = 0;                                     // halves of the nodes that do not hear each other
  Us burstUntilUs_ = 0;
  std::uint64_t burstTimes_ = 1;
  std::uint64_t lives_ = 0, served_ = 0, refused_ = 0, coldServed_ = 0, worst_ = 0;
  std::string worstStory_;
  std::string troubles_;  // all that were planned
};

}  // namespace stonemount
