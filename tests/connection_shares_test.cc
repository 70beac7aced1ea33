// Connections to workers that bear a number of them from all nodes together: the shares of all nodes add up to no more,
// every node owns some, and the sum at the workers holds while nodes come, go, are cut off and return, and while the
// process that numbers them changes (docs/design-notes/connection-shares.md). More seeds: SHARES_SEEDS=FIRST,COUNT.
#include "proxy/connection_shares.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "expect.h"
#include "given_seeds.h"
#include "hand_clock.h"
#include "proxy/fleet_size.h"
#include "replication/follower_count.h"

using namespace stonemount;

namespace {
Address nodeAddress(std::size_t number) { return {(10u << 24) + static_cast<std::uint32_t>(number), 7000}; }
Address workerAddress(std::size_t number) { return {(20u << 24) + static_cast<std::uint32_t>(number), 9000}; }

void addsUp(std::size_t nodes, std::size_t workers, std::size_t most) {
  const std::string name = absl::StrCat(", ", nodes, " nodes, ", workers, " workers of ", most);
  const std::size_t used = std::max<std::size_t>(1, most * ConnectionShares::kUsedPercent / 100);
  std::vector<std::size_t> atWorker(workers, 0);
  std::size_t least = SIZE_MAX, largest = 0;
  for (std::size_t node = 0; node < nodes; ++node) {
    ConnectionShares shares(nodeAddress(node));
    shares.setPlace({static_cast<std::uint32_t>(node), static_cast<std::uint32_t>(nodes)});
    std::size_t own = 0;
    for (std::size_t worker = 0; worker < workers; ++worker) {
      const ConnectionShare share = shares.of(workerAddress(worker), worker, most, nodes);
      atWorker[worker] += share.connections;
      own += share.connections;
      expect(share.scarce == (used < nodes), "scarce where most nodes own none" + name);
    }
    least = std::min(least, own);
    largest = std::max(largest, own);
  }
  for (const std::size_t sum : atWorker) expect(sum == used, absl::StrCat("the shares add up: ", sum, name));
  expect(largest - least <= 1, absl::StrCat("nodes have alike: ", least, " to ", largest, name));
  expect(least >= 1 || used * workers < nodes, "every node owns a connection" + name);
}

// Places follow from who asked first, so the nodes of one zone may stand in a row; they prefer workers of their zone.
void rowsOwnEverywhere(std::size_t nodes, std::size_t workers, std::size_t most, std::size_t rowLength) {
  const std::size_t used = most * ConnectionShares::kUsedPercent / 100;
  std::size_t fewest = rowLength;
  for (std::size_t row = 0; row + rowLength <= nodes; ++row) {
    std::vector<std::size_t> owners(workers, 0);
    for (std::size_t node = row; node < row + rowLength; ++node) {
      ConnectionShares shares(nodeAddress(node));
      shares.setPlace({static_cast<std::uint32_t>(node), static_cast<std::uint32_t>(nodes)});
      for (std::size_t worker = 0; worker < workers; ++worker)
        owners[worker] += shares.of(workerAddress(worker), worker, most, nodes).connections;
    }
    fewest = std::min(fewest, *std::min_element(owners.begin(), owners.end()));
  }
  const std::size_t even = rowLength * used / nodes;
  expect(fewest >= even / 2, absl::StrCat("of ", rowLength, " nodes in a row ", fewest, " own some worker, not ", even,
                                          ", ", nodes, " nodes, ", workers, " workers of ", most));
}

struct FleetPlan {
  std::size_t nodes = 12;
  std::size_t workers = 4;
  std::size_t most = 98;
  bool troubles = true;
};

// Nodes that always hold all that they may, as the tail of a chain numbers them.
class Fleet {
 public:
  Fleet(std::uint64_t seed, const FleetPlan& plan) : plan_(plan), chance_(seed) {
    for (std::size_t i = 0; i < plan.nodes; ++i) nodes_.emplace_back(nodeAddress(i));
    for (Node& node : nodes_) start(node);
  }
  void run(Us lengthUs) {
    const Us untilUs = nowUs_ + lengthUs;
    while (nowUs_ < untilUs) {
      nowUs_ += kStepUs;
      if (plan_.troubles && chance_.oneIn(20)) trouble();
      clock_.nowUs = nowUs_;
      known_ = 0;
      for (const Node& node : nodes_) known_ += node.up || nowUs_ - node.downSinceUs < kForgottenUs ? 1 : 0;
      for (Node& node : nodes_) {
        step(node);
        if (node.up) countNodes(node);
      }
      count();
    }
  }
  std::size_t worst() const { return worst_; }
  std::uint64_t over() const { return over_; }
  std::uint64_t counted() const { return counted_; }
  std::size_t without() const {
    std::size_t without = 0;
    for (const Node& node : nodes_) without += node.up && own(node) == 0 ? 1 : 0;
    return without;
  }

 private:
  struct Node {
    explicit Node(const Address& given) : address(given), shares(given) {}
    Address address;
    ConnectionShares shares;
    bool up = false;
    std::unique_ptr<FleetSize> size;
    Us heardUs = -1;
    Us cutUntilUs = 0;
    Us downSinceUs = 0, downUntilUs = 0;
    std::size_t followers = 0;
    Us askUs = 0;
  };
  static constexpr Us kStepUs = 50 * kMilliUs;
  static constexpr Us kForgottenUs = 30 * kSecondUs;
  static constexpr std::size_t kMostKnown = 64;
  Us some(Us fromUs, Us toUs) {
    return fromUs + static_cast<Us>(chance_.below(static_cast<std::uint64_t>(toUs - fromUs)));
  }
  void start(Node& node) {
    node.up = true;
    node.shares = ConnectionShares(node.address);
    node.size = std::make_unique<FleetSize>(clock_);
    node.heardUs = -1;
    node.askUs = nowUs_ + some(0, 700 * kMilliUs);
  }
  void trouble() {
    Node& node = nodes_[chance_.below(nodes_.size())];
    const std::uint64_t kind = chance_.below(10);
    if (kind < 5 && node.up) {
      node.up = false;
      node.downSinceUs = nowUs_;
      node.downUntilUs = nowUs_ + some(kSecondUs, 40 * kSecondUs);
    } else if (kind < 8) {
      node.cutUntilUs = nowUs_ + some(kSecondUs, 20 * kSecondUs);
    } else if (kind < 9) {
      tail_.reset();  // another replica is the tail
    } else {
      for (std::size_t i = 0; i < nodes_.size() / 10; ++i) {
        Node& lost = nodes_[chance_.below(nodes_.size())];
        lost.up = false;
        lost.downSinceUs = nowUs_;
        lost.downUntilUs = nowUs_ + some(kSecondUs, 10 * kSecondUs);
      }
    }
  }
  void step(Node& node) {
    if (!node.up && nowUs_ >= node.downUntilUs) start(node);
    if (!node.up || nowUs_ < node.askUs || nowUs_ < node.cutUntilUs) return;
    node.askUs = nowUs_ + some(500 * kMilliUs, 700 * kMilliUs);
    tail_.note(node.address, nowUs_);
    tail_.refresh(nowUs_);
    const FollowerSight sight = tail_.sight(node.address);
    node.shares.setPlace(sight.place);
    node.heardUs = nowUs_;
    node.followers = sight.count;
  }
  // As worker_sharing does it.
  void countNodes(Node& node) {
    const bool heard = node.heardUs >= 0 && nowUs_ - node.heardUs <= 2 * kSecondUs;
    node.size->note(std::max(std::min(known_, kMostKnown), heard ? node.followers : 0), heard);
  }
  std::size_t own(const Node& node) const {
    std::size_t sum = 0;
    for (std::size_t worker = 0; worker < plan_.workers; ++worker)
      sum += node.shares.of(workerAddress(worker), worker, plan_.most, node.size->count()).connections;
    return sum;
  }
  void count() {
    for (std::size_t worker = 0; worker < plan_.workers; ++worker) {
      std::size_t sum = 0;
      for (const Node& node : nodes_)
        if (node.up) sum += node.shares.of(workerAddress(worker), worker, plan_.most, node.size->count()).connections;
      worst_ = std::max(worst_, sum);
      ++counted_;
      over_ += sum > plan_.most ? 1 : 0;
    }
  }
  FleetPlan plan_;
  Chance chance_;
  std::vector<Node> nodes_;
  HandClock clock_;
  std::size_t known_ = 0;  // nodes that are up or were so lately; of them, a node knows some
  FollowerCount tail_;
  Us nowUs_ = 0;
  std::size_t worst_ = 0;
  std::uint64_t over_ = 0, counted_ = 0;
};

void calm(const FleetPlan& plan) {
  FleetPlan quiet = plan;
  quiet.troubles = false;
  Fleet fleet(plan.nodes, quiet);
  fleet.run(6 * kSecondUs);
  const std::string name = absl::StrCat(", calm, ", plan.nodes, " nodes");
  expect(fleet.over() == 0 || plan.nodes > plan.most, absl::StrCat("never over the cap: ", fleet.worst(), name));
  Fleet later(plan.nodes, quiet);
  later.run(4 * kSecondUs);
  const std::uint64_t before = later.over();
  later.run(10 * kSecondUs);
  expect(later.over() == before, absl::StrCat("never over the cap once control counts: ", later.worst(), name));
  expect(later.without() == 0, absl::StrCat(later.without(), " nodes own nothing", name));
}

// How much of the time under troubles is over the cap, though every node holds all that it may.
void troubled(std::uint64_t seed, const FleetPlan& plan, std::uint64_t& over, std::uint64_t& counted) {
  Fleet fleet(seed, plan);
  fleet.run(60 * kSecondUs);
  over += fleet.over();
  counted += fleet.counted();
}
}  // namespace

int main() {
  for (const std::size_t nodes : {1, 2, 3, 9, 12, 64, 78, 248, 420})
    for (const std::size_t workers : {1, 4, 7, 12})
      for (const std::size_t most : {1, 6, 75, 98, 230, 650}) addsUp(nodes, workers, most);
  for (const std::size_t most : {75, 133, 180}) {
    rowsOwnEverywhere(248, 128, most, 35);
    rowsOwnEverywhere(255, 7, most, 36);
    rowsOwnEverywhere(420, 12, most, 38);
  }
  const std::vector<FleetPlan> plans = {{12, 4, 98}, {78, 4, 98}, {78, 4, 60}, {248, 7, 75}, {420, 12, 75}};
  const Seeds seeds = givenSeeds("SHARES_SEEDS", {1, 4});
  for (const FleetPlan& plan : plans) {
    calm(plan);
    std::uint64_t over = 0, counted = 0;
    for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) troubled(seed, plan, over, counted);
    const std::string story = absl::StrCat("over the cap in ", over, " of ", counted, " looks under troubles, ",
                                           plan.nodes, " nodes, ", plan.workers, " workers of ", plan.most);
    std::printf("%s\n", story.c_str());
    expect(over * 100 < counted, story);
  }
  return expectationsVerdict();
}
