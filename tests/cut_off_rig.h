// Cores that face the users' operator, one of which is cut off for some 20 s, and an operator that remembers what it
// was told (docs/review/1-cut-off.md).
#pragma once

#include "platform_rig.h"

namespace stonemount {

enum class CutWay : std::uint8_t { kSilent, kOutward, kInward, kVotersOnly, kReset, kRefused, kCount };
enum class Victim : std::uint8_t { kHead, kMiddle, kTail, kSampler, kLister, kManager, kCount };
enum class Meeting : std::uint8_t { kMet, kRaced, kPressed, kCount };

constexpr char kConfiguration[] = "/api/configuration";

struct CutCase {
  CutWay way = CutWay::kSilent;
  Victim victim = Victim::kHead;
  Meeting meeting = Meeting::kMet;
  bool restarted = false;
  std::uint64_t seed = 1;
  std::string text() const {
    return absl::StrCat(" way=", static_cast<int>(way), " victim=", static_cast<int>(victim),
                        " meeting=", static_cast<int>(meeting), restarted ? " restarted" : "", " seed=", seed);
  }
};

class CutOffRig : public PlatformRig {
 public:
  explicit CutOffRig(const CutCase& given) : PlatformRig(given.seed), given_(given) {
    put(0, 5);
    run(kSecondUs);
  }

  void check(bool well, const std::string& what) { expect(well, what + given_.text()); }

  // One order, sent to the core that is named; its answer is judged, and remembered where it acknowledges.
  int order(std::size_t core, std::uint64_t next) {
    const Heard heard = ask(core, "PUT", kConfiguration, plainPut(next), std::to_string(standing));
    judgeOrder(heard);
    return heard.status;
  }
  // The operator's way: the same order, to one after another until it is acknowledged.
  void put(std::size_t first, std::uint64_t next) {
    int status = 0;
    for (std::size_t i = 0; status != 200 && i < 30; ++i) {
      const std::size_t core = (first + i) % cores.size();
      if (!cores[core].host->up()) continue;
      status = order(core, next);
      if (status != 200) run(100 * kMilliUs);
    }
    check(status == 200, absl::StrCat("a proper order is taken in the end, not ", status));
    if (status == 200) standing = next;
  }
  void judgeOrder(const Heard& heard) {
    check(heard.status == 200 || heard.status == 503 || heard.status == 504,
          absl::StrCat("a proper order was answered with ", heard.status, " ", heard.body));
    check(heard.afterUs <= (heard.status == 503 ? 1000 : 2700) * kMilliUs,
          absl::StrCat("an order was answered with ", heard.status, " only after ", heard.afterUs));
  }
  // 200 or an open 503, within a second; never older than what was acknowledged before it was asked.
  bool reads(std::size_t core) {
    const std::uint64_t acked = standing;
    const Heard heard = ask(core, "GET", kConfiguration);
    check(heard.status == 200 || heard.status == 503, absl::StrCat("a read was answered with ", heard.status));
    check(heard.afterUs <= kSecondUs, absl::StrCat("a read was answered only after ", heard.afterUs));
    if (heard.status != 200) return false;
    check(revisionOf(heard) >= acked,
          absl::StrCat("read ", revisionOf(heard), " though ", acked, " had been acknowledged"));
    return true;
  }
  static std::uint64_t revisionOf(const Heard& heard) {
    JsonVerdict read = parseJson(heard.body);
    auto* document = std::get_if<JsonDocument>(&read);
    return document == nullptr ? 0 : static_cast<std::uint64_t>(jsonNumber(*document, "Revision"));
  }

  std::size_t choose() {
    const std::vector<Seat> chain = cores[0].core->replica().view().chain;
    std::size_t place = 0;
    if (given_.victim == Victim::kMiddle) place = chain.size() / 2;
    if (given_.victim == Victim::kTail) place = chain.size() - 1;
    const char* duty = given_.victim == Victim::kSampler  ? Sampler::kDuty
                       : given_.victim == Victim::kLister ? Core::kWorkerDiscovery
                                                          : MembershipManager::kDuty;
    for (std::size_t i = 0; i < cores.size(); ++i) {
      const bool holds = cores[i].core->election().holds(duty);
      if (given_.victim >= Victim::kSampler ? holds : cores[i].host->wire() == chain[place].address) return i;
    }
    return 0;
  }

  void cut(std::size_t victim, bool isCut) {
    SimHost& alone = *cores[victim].host;
    for (const auto& other : world.hosts()) {
      const bool voter = other->disk != nullptr;
      if (other.get() == &alone || (given_.way == CutWay::kVotersOnly && !voter)) continue;
      if (given_.way != CutWay::kInward || !isCut) world.setCut(alone, *other, isCut);
      if (given_.way != CutWay::kOutward || !isCut) world.setCut(*other, alone, isCut);
      if (isCut && given_.way == CutWay::kReset) refuse(alone, *other);
    }
  }
  // No process listens, as each side is told: again and again where connections are refused.
  void refuseAll(std::size_t victim) {
    if (given_.way != CutWay::kRefused) return;
    for (const auto& other : world.hosts())
      if (other.get() != cores[victim].host) refuse(*cores[victim].host, *other);
  }
  bool holdsDuty(std::size_t victim) const {
    const Election& election = cores[victim].core->election();
    return election.holds(Sampler::kDuty) || election.holds(Core::kWorkerDiscovery) ||
           election.holds(MembershipManager::kDuty);
  }
  std::uint64_t standing = 0;  // the newest that was acknowledged

 private:
  static void refuse(SimHost& one, SimHost& other) {
    if (one.up()) one.refused.emit(other.wire());
    if (other.up()) other.refused.emit(one.wire());
  }
  CutCase given_;
};

}  // namespace stonemount
