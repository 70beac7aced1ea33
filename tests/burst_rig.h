// Bursts of lots at a modelled chain with bounded links, with slow links, losses, joins and a power cut of all: what
// was acknowledged is kept once and in order, the chain changes its view only for losses and returns, and is whole
// again soon (design.md 6.3).
#pragma once

#include <absl/strings/str_cat.h>

#include <algorithm>

#include "chain_sender.h"
#include "expect.h"

namespace stonemount::bursts {

constexpr std::size_t kMembers = 5;
constexpr std::size_t kSenders = 20;
constexpr std::size_t kFileBytes = 4 << 20;
constexpr std::size_t kFileCount = 16;
constexpr Us kLinkUsPerKilobyte = 137;  // 60 Mbit/s
constexpr std::size_t kLotBytes = 100 << 10;
constexpr std::uint64_t kSlowestTimes = 10;
constexpr Us kChangeEveryUs = 700 * kMilliUs;
constexpr Us kBurstUs = 3 * kSecondUs;
constexpr Us kLimitUs = 2500 * kMilliUs;
constexpr Us kRecoveryUs = 15 * kSecondUs;  // until all that was acknowledged is readable after a power cut
constexpr Us kWholeUs = 60 * kSecondUs;

enum class Loss : std::uint8_t { kNone, kDown, kDisk };

struct Plan {
  std::uint64_t times = 1;      // of what a good link carries
  std::uint64_t slowTimes = 1;  // by how much one member's link is slower than the others
  bool changes = false;         // that link's pace is drawn anew during the burst, and it may be another member's
  Loss loss = Loss::kNone;
  bool powerCut = false;
  std::size_t leastLots = 5;    // more than so many are taken
  Us settleUs = 2 * kSecondUs;  // in which all members come to hold the same
};

inline std::string planText(std::uint64_t seed, const Plan& plan) {
  const char* const losses[] = {"no loss", "a machine down", "a disk lost"};
  return absl::StrCat(", seed ", seed, ": ", plan.times, " times the link, ", plan.changes ? "changing links, " : "",
                      plan.slowTimes > 1 ? absl::StrCat("one ", plan.slowTimes, " times slower, ") : "",
                      losses[static_cast<std::size_t>(plan.loss)], plan.powerCut ? ", power cut" : "");
}

struct Lot {
  Bytes command;
  Us sentUs = 0;
  Us acknowledgedUs = -1;
  bool refused = false;
};

class Burst {
 public:
  Burst(std::uint64_t seed, const Plan& plan)
      : name_(planText(seed, plan)),
        plan_(plan),
        rig_(seed, kMembers, 20000, kFileBytes, 0, kFileCount, true),
        chance_(seed * 31) {
    for (SimHost* host : rig_.hosts) host->linkUsPerKilobyte = kLinkUsPerKilobyte;
    for (std::uint16_t i = 0; i < kSenders; ++i) senders_.push_back(std::make_unique<ChainSender>(rig_, i));
  }
  ~Burst() { room_.clear(); }
  void run() {
    rig_.world.loud = std::getenv("BURST_LOUD") != nullptr;
    pass(2 * kSecondUs);
    expect(rig_.wholeAndActive(), "the chain stands" + name_);
    if (plan_.slowTimes > 1) slowLink(plan_.slowTimes);
    burst();
    if (plan_.changes) slowLink(1);
    if (plan_.powerCut)
      cutPower();
    else
      pass(2 * kSecondUs);
    judgeRecovery();
    judgeState();
  }

 private:
  // That many times slower than the others, which are good; 1: all are.
  void slowLink(std::uint64_t times) {
    for (SimHost* host : rig_.hosts) host->linkUsPerKilobyte = kLinkUsPerKilobyte;
    rig_.hosts[chance_.below(kMembers)]->linkUsPerKilobyte = static_cast<Us>(times) * kLinkUsPerKilobyte;
  }
  void pass(Us lengthUs) { rig_.world.runUntil(rig_.world.nowUs() + lengthUs); }
  void burst() {
    const Us everyUs = kLinkUsPerKilobyte * static_cast<Us>(kLotBytes) / 1024 / static_cast<Us>(plan_.times);
    const Us fromUs = rig_.world.nowUs();
    const Us lossUs = fromUs + kBurstUs / 3, returnUs = fromUs + 2 * kBurstUs / 3;
    const std::size_t victim = chance_.below(kMembers);
    bool lost = false, returned = false;
    Us changeUs = fromUs + kChangeEveryUs;
    while (rig_.world.nowUs() < fromUs + kBurstUs) {
      if (plan_.changes && rig_.world.nowUs() >= changeUs) {
        changeUs += kChangeEveryUs;
        slowLink(1 + chance_.below(kSlowestTimes));
      }
      room_.start(handIn(*senders_[chance_.below(kSenders)]));
      pass(everyUs);
      if (plan_.loss == Loss::kNone) continue;
      if (!lost && rig_.world.nowUs() >= lossUs) {
        lost = true;
        plan_.loss == Loss::kDisk&& rig_.mayWipe(victim) ? rig_.wipe(victim) : rig_.kill(victim);
      }
      if (lost && !returned && rig_.world.nowUs() >= returnUs) {
        returned = true;
        rig_.start(victim);
      }
    }
  }
  Task handIn(ChainSender& sender) {
    const std::size_t place = lots_.size();
    lots_.push_back({hexText(++rig_.next) + Bytes(kLotBytes, 'b'), rig_.world.nowUs(), -1, false});
    Job<ChainAnswer> job = sender.client->submit(lots_[place].command, kLimitUs, 0, WhenFull::kTellAtOnce);
    const ChainAnswer answer = co_await job;
    auto* failure = std::get_if<ChainFailure>(&answer);
    if (failure == nullptr) lots_[place].acknowledgedUs = rig_.world.nowUs();
    lots_[place].refused = failure != nullptr && !failure->unsure;
  }
  void cutPower() {
    for (std::size_t i = 0; i < kMembers; ++i) rig_.kill(i);
    pass(kSecondUs);
    for (std::size_t i = 0; i < kMembers; ++i) rig_.start(i);
  }
  // A client reads all that was acknowledged.
  Task readAll() {
    reading_ = true;
    Job<ChainAnswer> job = rig_.client->read(kNamesQuery, 0, 5 * kSecondUs);
    const ChainAnswer answer = co_await job;
    reading_ = false;
    const std::optional<std::set<Bytes>> seen = namesIn(answer);
    if (!seen) co_return;
    readable_ = std::all_of(lots_.begin(), lots_.end(), [&seen](const Lot& lot) {
      return lot.acknowledgedUs < 0 || seen->contains(lot.command.substr(0, kNameBytes));
    });
  }
  bool readable() {
    if (!readable_ && !reading_) room_.start(readAll());
    return readable_;
  }
  std::size_t acknowledgedCount() const {
    std::size_t count = 0;
    for (const Lot& lot : lots_) count += lot.acknowledgedUs >= 0 ? 1 : 0;
    return count;
  }
  template <typename Condition>
  Us until(Us limitUs, Condition condition) {
    const Us fromUs = rig_.world.nowUs();
    while (!condition() && rig_.world.nowUs() - fromUs < limitUs) pass(100 * kMilliUs);
    return rig_.world.nowUs() - fromUs;
  }
  void judgeRecovery() {
    expect(acknowledgedCount() > plan_.leastLots, absl::StrCat("lots are taken: ", acknowledgedCount(), name_));
    const Us readableUs = until(kRecoveryUs, [this] { return readable(); });
    expect(readable_, absl::StrCat("readable after ", readableUs / kMilliUs, " ms", name_));
    const Us wholeUs = until(kWholeUs, [this] { return rig_.wholeAndActive(); });
    expect(rig_.wholeAndActive(), absl::StrCat("whole after ", wholeUs / kMilliUs, " ms", name_));
    // One for each loss and each return; after a power cut members come back one by one.
    const std::size_t most = 1 + (plan_.loss == Loss::kNone ? 0 : 3) + (plan_.powerCut ? kMembers : 0);
    expect(rig_.views.size() <= most, absl::StrCat(rig_.views.size(), " views, at most ", most, name_));
  }
  // Every member holds each acknowledged lot once, none that was refused, in an order that time allows.
  void judgeState() {
    pass(plan_.settleUs);
    std::map<Bytes, std::size_t> placeOf;
    Bytes first;
    bool alike = true, once = true;
    for (const auto& process : rig_.processes) {
      const Bytes state = process->machine.save();
      if (first.empty()) first = state;
      alike &= state == first;
    }
    auto read = unpack<std::vector<Bytes>>(first);
    const std::vector<Bytes>& list = std::get<std::vector<Bytes>>(read);
    for (std::size_t place = 0; place < list.size(); ++place) once &= placeOf.emplace(list[place], place).second;
    expect(alike, "all members hold the same" + name_);
    expect(once, "nothing is taken twice" + name_);
    std::size_t missing = 0, refusedTaken = 0, outOfOrder = 0;
    for (const Lot& lot : lots_) {
      missing += lot.acknowledgedUs >= 0 && !placeOf.contains(lot.command) ? 1 : 0;
      refusedTaken += lot.refused && placeOf.contains(lot.command) ? 1 : 0;
      for (const Lot& later : lots_)
        if (lot.acknowledgedUs >= 0 && later.acknowledgedUs >= 0 && lot.acknowledgedUs < later.sentUs)
          outOfOrder += placeOf[lot.command] > placeOf[later.command] ? 1 : 0;
    }
    expect(missing == 0, absl::StrCat(missing, " acknowledged lots are lost", name_));
    expect(refusedTaken == 0, absl::StrCat(refusedTaken, " refused lots were taken", name_));
    expect(outOfOrder == 0, absl::StrCat(outOfOrder, " lots stand before what was acknowledged earlier", name_));
  }
  std::string name_;
  Plan plan_;
  Rig rig_;
  Chance chance_;
  std::vector<std::unique_ptr<ChainSender>> senders_;
  std::deque<Lot> lots_;
  bool reading_ = false, readable_ = false;
  TaskRoom room_;
};

}  // namespace stonemount::bursts
