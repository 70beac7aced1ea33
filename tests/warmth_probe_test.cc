// A node asks a worker that it has only just met whether it is cold, and goes by the answer
// (docs/design-notes/cold-workers.md).
#include "proxy/warmth_probe.h"

#include "expect.h"
#include "platform/words.h"
#include "platform/workers.h"
#include "simulator/world.h"

using namespace stonemount;

namespace {
constexpr char kLife[] = "i-1";
constexpr char kPool[] = "p";
constexpr std::uint64_t kRatePerS = 20;
constexpr std::size_t kNodes = 10;  // a share of 2 requests
constexpr std::size_t kShare = kRatePerS / kNodes;

// Answers the question for its health, or lets it wait.
class HealthWorker {
 public:
  explicit HealthWorker(SimHost& host) { asked_ = host.asked.connect(sigc::mem_fun(*this, &HealthWorker::onAsked)); }
  ~HealthWorker() { asked_.disconnect(); }
  int status = 200;
  HeaderMap headers{{platform::kServing, kLife}};
  bool silent = false;
  std::size_t asked = 0;

 private:
  void onAsked(const HttpAsk& ask, ReplyPtr reply) {
    asked += ask.path == "/health" && ask.method == "GET" ? 1 : 0;
    if (silent)
      waiting_.push_back(std::move(reply));
    else
      reply->whole(status, headers, "");
  }
  sigc::connection asked_;
  std::vector<ReplyPtr> waiting_;
};

SimHost& risen(SimHost& host) {
  host.rise();
  return host;
}

struct ProbeRig {
  explicit ProbeRig(const std::string& healthPath = "/health")
      : node(risen(world.addHost("node", "a", {1, 1}, {1, 2}))),
        workerHost(risen(world.addHost("worker", "a", {2, 1}, {2, 2}))),
        worker(workerHost),
        ports(node.ports()),
        table(node, control, PoolLoadTablePlan()),
        probe(ports, room, table, control, dialect) {
    Pool pool;
    pool.name = kPool;
    pool.healthPath = healthPath;
    pool.warmPerKs = kRatePerS * 1000;
    control.bump();
    control.putPool(pool);
    ListedWorker listed;
    listed.address = {2, 2};
    listed.pool = kPool;
    listed.slots = 100;
    listed.life = kLife;
    control.putWorker(listed);
    table.cold().setSharers({}, kNodes, true);
    table.relist();
  }
  ~ProbeRig() { room.clear(); }
  // How many requests find room just now, each of which is answered at once.
  std::size_t served(std::size_t wanted) {
    std::size_t count = 0;
    PoolRequest wish;
    wish.pool = kPool;
    for (std::size_t i = 0; i < wanted; ++i) {
      const std::optional<Address> chosen = table.choose(wish);
      if (!chosen) continue;
      ++count;
      table.take(*chosen, false);
      table.contact(*chosen, kLife);
      table.giveBack(*chosen, false, PoolLoadTable::Ending::kWhole);
    }
    return count;
  }
  void pass(Us lengthUs) { world.runUntil(world.nowUs() + lengthUs); }

  World world{1};
  SimHost& node;
  SimHost& workerHost;
  HealthWorker worker;
  Ports ports;
  ControlState control;
  platform::Workers dialect;
  TaskRoom room;
  PoolLoadTable table;
  WarmthProbe probe;
};

// The first request and the question beside it are the share; once it has said that it is warm, it bears all.
void warm() {
  ProbeRig rig;
  expect(rig.served(10) < kShare, "the question counts as a request");
  rig.pass(50 * kMilliUs);
  expect(rig.worker.asked == 1, "it is asked once");
  expect(rig.served(10) == 10, "known to be warm, it gets all");
  rig.pass(3 * kSecondUs);
  expect(rig.worker.asked == 1, "and is not asked again");
}

void cold() {
  ProbeRig rig;
  rig.worker.headers[platform::kWarmup] = "2000";
  rig.served(1);
  rig.pass(50 * kMilliUs);
  expect(rig.served(10) == 0, "cold by its own word, it gets no more than the share");
  rig.pass(1200 * kMilliUs);
  expect(rig.served(10) == kShare, "and again after a second");
  expect(rig.worker.asked == 1, "it has said for how long");
  expect(rig.probe.counts().cold == 1 && rig.probe.counts().warm == 0, "and is counted as cold");
}

void otherLife() {
  ProbeRig rig;
  rig.worker.headers[platform::kServing] = "i-2";
  rig.served(1);
  rig.pass(50 * kMilliUs);
  rig.pass(1200 * kMilliUs);
  expect(rig.served(1) == 0, "another has its address: nothing goes there until it is listed anew");
}

// What is no clear word is no proof.
void unclear(int status, const char* warmup) {
  ProbeRig rig;
  rig.worker.status = status;
  rig.worker.headers[platform::kWarmup] = warmup;
  rig.served(1);
  rig.pass(100 * kMilliUs);
  expect(rig.served(10) == 0, std::string("no proof: ") + std::to_string(status) + " " + warmup);
  expect(rig.probe.counts().warm == 0, "nor counted as one");
}

void nameless() {
  ProbeRig rig;
  rig.worker.headers.erase(platform::kServing);
  rig.served(1);
  rig.pass(100 * kMilliUs);
  expect(rig.served(10) == 0, "whoever does not say who it is proves nothing");
}

// A long queue there costs the worker nothing but the proof.
void silent() {
  ProbeRig rig;
  rig.worker.silent = true;
  rig.served(1);
  expect(rig.table.workers().at({2, 2}).inFlight() == 1, "the question is under way");
  rig.pass(4 * kSecondUs);
  expect(rig.probe.counts().unanswered == 1, "it is given up");
  const PoolWorker& worker = rig.table.workers().at({2, 2});
  expect(worker.inFlight() == 0 && worker.failures == 0, "its place is given back, and it is not suspected");
}

void noPath() {
  ProbeRig rig("");
  rig.served(10);
  rig.pass(100 * kMilliUs);
  expect(rig.worker.asked == 0 && rig.probe.counts().sent == 0, "a pool without a path is not asked");
}

// While nothing is proven it is asked once a second at the most.
void paced() {
  ProbeRig rig;
  rig.worker.status = 503;
  for (int i = 0; i < 40; ++i) {
    rig.served(3);
    rig.pass(100 * kMilliUs);
  }
  expect(rig.worker.asked >= 1 && rig.worker.asked <= 4, "asked " + std::to_string(rig.worker.asked) + " times in 4 s");
}
}  // namespace

int main() {
  warm();
  cold();
  otherLife();
  unclear(503, "0");
  unclear(200, "soon");
  unclear(200, "-5");
  nameless();
  silent();
  noPath();
  paced();
  return expectationsVerdict();
}
