// More lots come than the slowest link of a chain carries: what is taken is not taken twice, what is refused is told
// so, and short commands, by which safe time and leases live, are answered in time all the while (design.md 6.3,
// incident 25).
#include "chain_sender.h"
#include "expect.h"

using namespace stonemount;

namespace {
constexpr std::size_t kMembers = 5;
constexpr std::size_t kLotClients = 16;
constexpr std::size_t kLotBytes = 100 << 10;
constexpr Us kLotEveryUs = 100 * kMilliUs;  // from each client: 16 MB/s in all
constexpr Us kQuickUsPerKilobyte = 50;      // of each end of a link: some 10 MB/s
constexpr Us kSlowUsPerKilobyte = 150;      // of one member's: some 5 MB/s with a quick one
constexpr double kSlowBytesPerUs = 1024.0 / (kQuickUsPerKilobyte + kSlowUsPerKilobyte);
constexpr Us kBurstUs = 6 * kSecondUs;
constexpr Us kShortEveryUs = 300 * kMilliUs;
constexpr Us kShortLimitUs = 700 * kMilliUs;      // a sampler's session ends after two rounds of more than that
constexpr Us kLotLimitUs = 2500 * kMilliUs;       // as a node gives a lot
constexpr std::size_t kRingFileBytes = 32 << 20;  // room is not what is tried here
constexpr std::uint64_t kSeeds = 6;

struct Outcomes {
  std::size_t taken = 0, refused = 0, unsure = 0, others = 0;
  Us worstUs = 0;
  std::size_t late = 0;
};

Task handIn(ChainSender& sender, Bytes command, Us limitUs, Outcomes& outcomes) {
  const Us beganUs = sender.host.monoUs();
  Job<ChainAnswer> job = sender.client->submit(std::move(command), limitUs, 0, WhenFull::kTellAtOnce);
  const ChainAnswer answer = co_await job;
  const Us tookUs = sender.host.monoUs() - beganUs;
  outcomes.worstUs = std::max(outcomes.worstUs, tookUs);
  outcomes.late += tookUs > kShortLimitUs ? 1 : 0;
  auto* failure = std::get_if<ChainFailure>(&answer);
  if (failure == nullptr)
    ++outcomes.taken;
  else if (failure->unsure)
    ++outcomes.unsure;
  else
    ++(failure->trouble == ChainError::kBusy ? outcomes.refused : outcomes.others);
}

class Log {
 public:
  void watch(Replica& replica) { replica.taken.connect(sigc::mem_fun(*this, &Log::note)); }
  std::size_t twice = 0;

 private:
  void note(const Entry& entry) { twice += ids_.insert(entry.id).second ? 0 : 1; }
  std::set<CommandId> ids_;
};

void burst(std::uint64_t seed, std::size_t slowMember) {
  Log log;
  Rig rig(seed, kMembers, 20000, kRingFileBytes);
  for (const auto& process : rig.processes) log.watch(process->member);
  std::vector<std::unique_ptr<ChainSender>> senders;
  for (std::size_t i = 0; i <= kLotClients; ++i)
    senders.push_back(std::make_unique<ChainSender>(rig, static_cast<std::uint16_t>(i)));
  rig.world.runUntil(2 * kSecondUs);
  for (SimHost* host : rig.hosts) host->usPerKilobyte = kQuickUsPerKilobyte;
  rig.hosts[slowMember]->usPerKilobyte = kSlowUsPerKilobyte;
  Outcomes lots, shorts;
  TaskRoom room;
  const Us fromUs = rig.world.nowUs();
  Us nextShortUs = fromUs;
  for (std::size_t lot = 0; rig.world.nowUs() < fromUs + kBurstUs; ++lot) {
    rig.world.runUntil(fromUs + static_cast<Us>(lot) * kLotEveryUs / static_cast<Us>(kLotClients));
    room.start(handIn(*senders[lot % kLotClients], std::to_string(lot) + Bytes(kLotBytes, 'l'), kLotLimitUs, lots));
    if (rig.world.nowUs() < nextShortUs) continue;
    nextShortUs += kShortEveryUs;
    room.start(handIn(*senders.back(), kNoGrowth + std::to_string(lot), 5 * kSecondUs, shorts));
  }
  rig.world.runUntil(fromUs + kBurstUs + 6 * kSecondUs);
  const std::string name = ", member " + std::to_string(slowMember) + " slow, seed " + std::to_string(seed);
  expect(log.twice == 0, "no command is taken twice: " + std::to_string(log.twice) + name);
  expect(shorts.late == 0 && shorts.unsure + shorts.refused + shorts.others == 0,
         "short commands are answered in time: " + std::to_string(shorts.late) + " of " + std::to_string(shorts.taken) +
             " late, the worst " + std::to_string(shorts.worstUs / kMilliUs) + " ms" + name);
  expect(lots.unsure + lots.others == 0, "each lot is taken or refused: " + std::to_string(lots.unsure) + " unsure, " +
                                             std::to_string(lots.others) + " otherwise" + name);
  const double carriedBytes = static_cast<double>(lots.taken * kLotBytes);
  const double share = carriedBytes / (kSlowBytesPerUs * static_cast<double>(kBurstUs));
  expect(share > 0.6, "the slowest link is used: " + std::to_string(share) + name);
  expect(rig.wholeAndActive(), "no member is lost" + name);
  room.clear();
}
}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) burst(seed, 1 + seed % (kMembers - 1));
  return expectationsVerdict();
}
