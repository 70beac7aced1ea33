// The ledger of quotas against a plain reference: what is reserved over any stretch of true time stays within the
// bucket, whoever led, in whatever order and however often its commands came; leaders before are refused; what they
// may still have stays counted; and a snapshot holds all of it. More seeds: LEDGER_SEEDS=FIRST,COUNT.
#include "quota/quota_ledger.h"

#include <absl/strings/str_cat.h>

#include "control/control_machine.h"
#include "expect.h"
#include "given_seeds.h"

using namespace stonemount;

namespace {
const std::string kTenant = "gyms";

QuotaVerdict applied(ControlMachine& machine, const ControlCommand& command) {
  auto read = unpack<QuotaVerdict>(machine.apply(pack(command)));
  auto* verdict = std::get_if<QuotaVerdict>(&read);
  return verdict == nullptr ? QuotaVerdict() : *verdict;
}

struct Leader {
  std::uint64_t epoch = 0;
  std::uint64_t number = 0;
  Us tookUs = 0;
  std::uint64_t stock = 0;
  std::uint64_t out = 0;
  std::uint64_t mostOut = 0;
};
struct Taking {
  Us atUs = 0;  // when it was proposed, in true time
  std::uint64_t tokens = 0;
};

// Two leaders at once, commands that come late, twice or never, and a machine that is loaded again from its snapshot.
class History {
 public:
  explicit History(std::uint64_t seed) : seed_(seed), chance_(seed) {
    limit_ = {1000 * (1 + chance_.below(100)), chance_.below(60)};
    budget_ = quotaBudget(limit_, QuotaBounds());
  }
  void run() {
    for (int step = 0; step < 400; ++step) {
      nowUs_ += static_cast<Us>(chance_.below(300)) * kMilliUs;
      const std::uint64_t kind = chance_.below(20);
      if (leaders_.empty() || kind == 0)
        take();
      else if (kind < 3 && !delayed_.empty())
        deliver(delayed_[chance_.below(delayed_.size())]);
      else if (kind == 4)
        reload();
      else
        reserve(leaders_[leaders_.size() - 1 - (chance_.oneIn(4) ? chance_.below(leaders_.size()) : 0)]);
    }
    expectTakings();
  }

 private:
  std::string name() const { return absl::StrCat(", seed ", seed_); }
  void take() {
    const QuotaVerdict verdict = applied(machine_, TakeQuotaPart{part_});
    const std::uint64_t before = leaders_.empty() ? 0 : leaders_.back().epoch;
    expect(verdict.current && verdict.epoch == before + 1, "a new leader has the next epoch" + name());
    leaders_.push_back({verdict.epoch, 0, nowUs_});
  }
  void reserve(Leader& leader) {
    leader.stock -= chance_.below(leader.stock + 1);
    ReserveQuota command{part_, leader.epoch, ++leader.number, nowUs_ - leader.tookUs, {}};
    command.requests.push_back({kTenant, budget_, leader.stock, leader.out, 1 + chance_.below(60), chance_.below(200)});
    if (chance_.oneIn(5)) return delayed_.push_back(command);  // it comes later, more than once, or never
    deliver(command);
    if (chance_.oneIn(5)) delayed_.push_back(command);
  }
  void deliver(const ReserveQuota& command) {
    const Us timeUs = machine_.quotas().timeUs(part_);
    const QuotaVerdict verdict = applied(machine_, command);
    Leader& leader = leaders_[command.epoch - 1];
    const bool latest = command.epoch == leaders_.back().epoch;
    expect(!verdict.current || latest, "who leads no more is refused" + name());
    const Us trueUs = nowUs_ - beganUs_;
    expect(machine_.quotas().timeUs(part_) <= trueUs, "ledger time is never ahead" + name());
    expect(machine_.quotas().timeUs(part_) >= timeUs, "ledger time never goes back" + name());
    if (!verdict.current) return;
    std::uint64_t& newest = newest_[command.epoch];
    expect(command.number > newest, "never again what came before it" + name());
    newest = command.number;
    const QuotaReserved& reserved = verdict.reserved.front();
    const QuotaRequest& request = command.requests.front();
    expect(reserved.taken <= request.wanted, "no more than wanted" + name());
    expect(reserved.mostOut <= std::max(request.out, std::max<std::uint64_t>(1, (budget_.mostOut + 1) / 2)),
           "out: no more than its share" + name());
    const auto inBucket =
        static_cast<std::int64_t>(request.stock + reserved.taken) * kMicroTokens + reserved.levelMicro;
    expect(inBucket <= std::max(budget_.capMicro, static_cast<std::int64_t>(request.stock) * kMicroTokens),
           "bucket and stock are within the cap" + name());
    leader.stock = request.stock + reserved.taken;
    takings_.push_back({command.sinceTakeUs + leader.tookUs, reserved.taken});
  }
  void reload() {
    const Bytes saved = machine_.save();
    ControlMachine loaded;
    expect(loaded.load(saved), "a snapshot loads" + name());
    expect(loaded.save() == saved, "and holds the same" + name());
    machine_ = std::move(loaded);
  }
  // Takings of the current leaders, each proposed at its time, are within cap and refill over any stretch.
  void expectTakings() {
    for (std::size_t first = 0; first < takings_.size(); ++first) {
      std::uint64_t sum = 0;
      for (std::size_t last = first; last < takings_.size(); ++last) {
        sum += takings_[last].tokens;
        const Us spanUs = std::max<Us>(0, takings_[last].atUs - takings_[first].atUs);
        const std::int64_t most = budget_.capMicro + static_cast<std::int64_t>(budget_.refillPerKs) * spanUs / 1000;
        expect(static_cast<std::int64_t>(sum) * kMicroTokens <= most, "takings are within the bucket" + name());
      }
    }
  }
  std::uint64_t seed_;
  Chance chance_;
  QuotaLimit limit_;
  QuotaBudget budget_;
  const std::uint32_t part_ = quotaPart(kTenant);
  ControlMachine machine_;
  Us beganUs_ = 100 * kSecondUs;
  Us nowUs_ = beganUs_;
  std::vector<Leader> leaders_;
  std::vector<ReserveQuota> delayed_;
  std::map<std::uint64_t, std::uint64_t> newest_;  // by epoch, the number that was taken last
  std::vector<Taking> takings_;
};

ReserveQuota command(std::uint64_t epoch, std::uint64_t number, Us sinceUs, QuotaRequest request) {
  return {quotaPart(kTenant), epoch, number, sinceUs, {std::move(request)}};
}

// Token by token, at hand-made times.
void plainHistory() {
  const QuotaBudget budget{10000, 20 * kMicroTokens, 8};  // 10 a second, 20 at once, 8 at nodes
  const TakeQuotaPart take{quotaPart(kTenant)};
  QuotaLedger ledger;
  expect(!ledger.apply(command(0, 1, 0, {kTenant, budget, 0, 0, 2, 5})).current, "nobody leads");
  expect(ledger.apply(take).epoch == 1, "the first epoch");
  QuotaVerdict verdict = ledger.apply(command(1, 1, 0, {kTenant, budget, 0, 0, 2, 50}));
  expect(verdict.reserved.front().taken == 10, "half of the cap in stock");
  verdict = ledger.apply(command(1, 2, kSecondUs / 2, {kTenant, budget, 0, 2, 3, 50}));
  expect(verdict.reserved.front().taken == 10, "again as many, once they are granted");
  expect(verdict.reserved.front().levelMicro == 5 * kMicroTokens, "half a second has made five");
  verdict = ledger.apply(command(1, 2, kSecondUs, {kTenant, budget, 0, 0, 2, 50}));
  expect(!verdict.current, "a number twice is refused");
  verdict = ledger.apply(command(1, 3, kSecondUs / 4, {kTenant, budget, 10, 2, 6, 1}));
  expect(verdict.reserved.front().levelMicro == 5 * kMicroTokens && verdict.reserved.front().taken == 0,
         "time does not go back, and the stock is full");
  expect(verdict.reserved.front().mostOut == 4, "half of what may be out");
  expect(ledger.apply(take).epoch == 2, "the next epoch");
  expect(!ledger.apply(command(1, 4, kSecondUs, {kTenant, budget, 0, 0, 2, 5})).current,
         "the leader before is refused");
  verdict = ledger.apply(command(2, 1, 2 * kSecondUs, {kTenant, budget, 0, 0, 9, 50}));
  expect(verdict.reserved.front().taken == 5 && verdict.reserved.front().levelMicro == 5 * kMicroTokens,
         "the lost leader's stock stays counted");
  expect(verdict.reserved.front().mostOut == 2, "and what its nodes hold");
  verdict = ledger.apply(command(2, 2, kStockVoidUs, {kTenant, budget, 0, 0, 9, 50}));
  expect(verdict.reserved.front().taken == 10 && verdict.reserved.front().mostOut == 2, "its stock is void later");
  verdict = ledger.apply(command(2, 3, kOutWrittenOffUs, {kTenant, budget, 0, 0, 9, 50}));
  expect(verdict.reserved.front().mostOut == 4, "and what its nodes held later still");
}
}  // namespace

int main() {
  plainHistory();
  const Seeds seeds = givenSeeds("LEDGER_SEEDS", {1, 40});
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) History(seed).run();
  return expectationsVerdict();
}
