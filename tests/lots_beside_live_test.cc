// Lots beside live requests, in fleets where a node hears of each worker only now and then: a burst of lots must not
// make live requests wait in the workers' own queues, and must go on using what is free (design.md 9.7).
// More seeds: BESIDE_SEEDS=FIRST,COUNT.
#include <absl/strings/str_cat.h>

#include <cmath>
#include <queue>

#include "expect.h"
#include "given_seeds.h"
#include "hand_clock.h"
#include "proxy/pool_load_table.h"

using namespace stonemount;

namespace {
constexpr const char* kPool = "p";
constexpr Us kDayUs = 14 * kSecondUs;
constexpr Us kBurstFromUs = 4 * kSecondUs;
constexpr Us kJudgeFromUs = 6 * kSecondUs;  // the first second of a burst nobody has heard of the others
constexpr Us kPumpUs = 20 * kMilliUs;
constexpr Us kReportUs = 200 * kMilliUs;  // a worker's word of its load is as old as that at the most
constexpr Us kLiveUs = 700 * kMilliUs;    // mean at a worker
constexpr Us kLotUs = 900 * kMilliUs;
constexpr Us kLateUs = 150 * kMilliUs;  // in a worker's queue
constexpr int kStartsAtOnce = 8;
constexpr std::size_t kZones = 3;
// As far as nodes can know that hear of each worker seldom: chance alone fills some worker now and then, and the more
// often the fewer slots it has.
constexpr double kFewLate = 0.1, kFewLateOfFewSlots = 0.2, kFewLateOfFewWorkers = 0.13;
constexpr double kMuchUsed = 0.65, kFewSlotsUsed = 0.55;

struct FleetShape {
  std::size_t nodes = 75;
  std::size_t workers = 60;
  std::uint32_t slots = 32;
  double liveShare = 0.3;      // of all slots
  bool zonesInRows = false;    // the nodes of one zone have places in a row
  std::uint32_t channels = 0;  // connections that a worker accepts; 0: any number
};

struct Request {
  std::size_t node = 0;
  std::size_t worker = 0;
  bool lot = false;
  Us cameUs = 0;
  Us lengthUs = 0;
  Us begunUs = -1;  // when the worker took it up
};

struct Worker {
  std::uint32_t running = 0;
  std::deque<std::size_t> queue;
  WorkerLoad report;
  Us reportedUs = -kSecondUs;
};

// Workers that serve in the order of arrival, before nodes that choose by what their own answers told them.
class BusyDay {
 public:
  BusyDay(std::uint64_t seed, const FleetShape& shape) : shape_(shape), chance_(seed), workers_(shape.workers) {
    Pool pool;
    pool.name = kPool;
    pool.mostChannels = shape.channels;
    control_.putPool(pool);
    for (std::size_t i = 0; i < shape.workers; ++i) {
      ListedWorker worker;
      worker.address = addressOf(i);
      worker.pool = kPool;
      worker.zone = zoneOf(i * kZones / shape.workers);  // as a list has them: zone after zone
      worker.slots = shape.slots;
      worker.life = absl::StrCat("i-", i);
      control_.putWorker(worker);
    }
    for (std::size_t i = 0; i < shape.nodes; ++i) {
      PoolLoadTablePlan plan;
      plan.zone = zoneOf(shape.zonesInRows ? i * kZones / shape.nodes : i);
      plan.self = {0x0b000001u + static_cast<std::uint32_t>(i), 7221};
      tables_.push_back(std::make_unique<PoolLoadTable>(clock_, control_, plan));
      tables_.back()->cold().setSharers({}, shape.nodes, true);
      tables_.back()->relist();
      tables_.back()->setPlace({static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(shape.nodes)});
    }
  }
  void run() {
    push(0, Kind::kLive);
    for (std::size_t node = 0; node < shape_.nodes; ++node)
      push(kBurstFromUs + static_cast<Us>(chance_.below(kPumpUs)), Kind::kPump, node);
    while (!events_.empty() && events_.top().atUs < kDayUs) {
      const Occurrence next = events_.top();
      events_.pop();
      clock_.nowUs = next.atUs;
      if (next.kind == Kind::kLive)
        comeLive();
      else if (next.kind == Kind::kPump)
        pump(next.number);
      else
        finish(next.number);
    }
  }
  // Of the live requests: those that no worker took up soon.
  double lateShare() const {
    std::uint64_t live = 0, late = 0;
    for (const Request& request : requests_) {
      if (request.lot || request.cameUs < kJudgeFromUs || request.cameUs > kDayUs - kSecondUs) continue;
      ++live;
      late += request.begunUs < 0 || request.begunUs - request.cameUs > kLateUs ? 1 : 0;
    }
    return static_cast<double>(late) / static_cast<double>(std::max<std::uint64_t>(1, live));
  }
  // Of all slot time since the burst is judged.
  double usedShare() const {
    const double all = static_cast<double>(shape_.workers * shape_.slots) * static_cast<double>(kDayUs - kJudgeFromUs);
    return static_cast<double>(servedUs_) / all;
  }

 private:
  enum class Kind : std::uint8_t { kLive, kPump, kEnd };
  struct Occurrence {
    Us atUs = 0;
    std::uint64_t order = 0;
    Kind kind = Kind::kLive;
    std::size_t number = 0;
    bool operator<(const Occurrence& other) const {
      return std::make_pair(atUs, order) > std::make_pair(other.atUs, other.order);
    }
  };
  static Address addressOf(std::size_t i) { return {0x0a000001u + static_cast<std::uint32_t>(i), 8080}; }
  static std::string zoneOf(std::size_t i) { return std::string(1, static_cast<char>('a' + i % kZones)); }
  void push(Us atUs, Kind kind, std::size_t number = 0) { events_.push({atUs, ++lastOrder_, kind, number}); }
  Us drawn(Us meanUs) {
    const double share = (static_cast<double>(chance_.below(1'000'000)) + 1) / 1'000'000;
    return 1 + static_cast<Us>(-std::log(share) * static_cast<double>(meanUs));
  }
  void comeLive() {
    const double perUs = shape_.liveShare * static_cast<double>(shape_.workers * shape_.slots) / kLiveUs;
    push(clock_.nowUs + drawn(static_cast<Us>(1 / perUs)), Kind::kLive);
    const std::size_t node = chance_.below(shape_.nodes);
    PoolRequest wish;
    wish.pool = kPool;
    const std::optional<Address> worker = tables_[node]->choose(wish);
    if (worker)
      send(node, *worker, false);
    else
      requests_.push_back({node, 0, false, clock_.nowUs, 0});
  }
  void pump(std::size_t node) {
    push(clock_.nowUs + kPumpUs, Kind::kPump, node);
    PoolLoadTable& table = *tables_[node];
    if (table.roomForLots(kPool) == 0) return;
    PoolRequest wish;
    wish.pool = kPool;
    wish.lot = true;
    for (int i = 0; i < kStartsAtOnce; ++i) {
      const std::optional<Address> worker = table.choose(wish);
      if (!worker) return;
      send(node, *worker, true);
    }
  }
  void send(std::size_t node, const Address& address, bool lot) {
    const std::size_t place = address.ip - addressOf(0).ip;
    tables_[node]->take(address, lot);
    requests_.push_back({node, place, lot, clock_.nowUs, drawn(lot ? kLotUs : kLiveUs)});
    workers_[place].queue.push_back(requests_.size() - 1);
    serve(place);
  }
  void serve(std::size_t place) {
    Worker& worker = workers_[place];
    while (worker.running < shape_.slots && !worker.queue.empty()) {
      const std::size_t number = worker.queue.front();
      worker.queue.pop_front();
      ++worker.running;
      Request& request = requests_[number];
      request.begunUs = clock_.nowUs;
      tell(request);
      push(clock_.nowUs + request.lengthUs, Kind::kEnd, number);
    }
  }
  // The answer's head comes as the worker begins.
  void tell(const Request& request) {
    Worker& worker = workers_[request.worker];
    if (clock_.nowUs - worker.reportedUs >= kReportUs) {
      worker.reportedUs = clock_.nowUs;
      worker.report.running = worker.running;
      worker.report.waiting = static_cast<std::uint32_t>(worker.queue.size());
    }
    tables_[request.node]->heard(addressOf(request.worker), worker.report);
  }
  void finish(std::size_t number) {
    const Request request = requests_[number];
    if (clock_.nowUs >= kJudgeFromUs) servedUs_ += std::min(request.lengthUs, clock_.nowUs - kJudgeFromUs);
    tables_[request.node]->giveBack(addressOf(request.worker), request.lot, PoolLoadTable::Ending::kWhole);
    --workers_[request.worker].running;
    serve(request.worker);
  }
  FleetShape shape_;
  Chance chance_;
  HandClock clock_;
  ControlState control_;
  std::vector<std::unique_ptr<PoolLoadTable>> tables_;
  std::vector<Worker> workers_;
  std::deque<Request> requests_;
  std::priority_queue<Occurrence> events_;
  std::uint64_t lastOrder_ = 0;
  Us servedUs_ = 0;
};

void beside(std::uint64_t seed, const FleetShape& shape, double mostLate, double leastUsed) {
  BusyDay day(seed, shape);
  day.run();
  const std::string name = absl::StrCat(", ", shape.nodes, " nodes, ", shape.workers, " workers of ", shape.slots,
                                        ", live ", shape.liveShare, shape.zonesInRows ? ", zones in rows" : "",
                                        ", connections ", shape.channels, ", seed ", seed);
  expect(day.lateShare() <= mostLate, absl::StrCat("live requests wait: ", day.lateShare(), name));
  expect(day.usedShare() >= leastUsed, absl::StrCat("lots use what is free: ", day.usedShare(), name));
}
}  // namespace

int main() {
  const Seeds seeds = givenSeeds("BESIDE_SEEDS", {1, 1});
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) {
    beside(seed, {4, 4, 32, 0.3}, kFewLateOfFewWorkers, kMuchUsed);
    beside(seed, {12, 12, 16, 0.3}, kFewLate, kMuchUsed);
    beside(seed, {75, 60, 32, 0.3}, kFewLate, kMuchUsed);
    beside(seed, {75, 60, 32, 0.6}, kFewLate, kMuchUsed);
    beside(seed, {248, 60, 32, 0.3}, kFewLate, kMuchUsed);
    beside(seed, {420, 200, 8, 0.3}, kFewLateOfFewSlots, kFewSlotsUsed);
    beside(seed, {75, 60, 32, 0.3, true}, kFewLate, kMuchUsed);
    beside(seed, {248, 60, 32, 0.3, true}, kFewLate, kMuchUsed);
    beside(seed, {255, 128, 12, 0.3, true, 133}, kFewLateOfFewSlots, kFewSlotsUsed);
    beside(seed, {420, 200, 8, 0.3, true, 150}, kFewLateOfFewSlots, kFewSlotsUsed);
  }
  return expectationsVerdict();
}
