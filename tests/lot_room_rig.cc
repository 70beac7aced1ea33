#include "lot_room_rig.h"

namespace stonemount {

namespace {
constexpr std::size_t kReplicas = 3;
constexpr Us kLimitUs = 10 * kSecondUs;
constexpr Us kStepUs = 10 * kMilliUs;
constexpr Us kKeepUs = 120 * kSecondUs;  // of results
constexpr Us kLeaseUs = 3600 * kSecondUs;
constexpr Us kCutStepUs = 400 * kMilliUs;
constexpr int kCutSteps = 6;

std::string lotName(std::size_t lot) { return absl::StrCat("lot-", lot); }
}  // namespace

LotRoomRig::LotRoomRig(std::uint64_t seed, std::size_t ringFiles, std::size_t fileBytes)
    : world_(seed), chance_(seed), seed_(seed) {
  for (std::size_t i = 0; i < kReplicas; ++i) addresses_.push_back({1, static_cast<std::uint16_t>(1 + i)});
  for (std::size_t i = 0; i < kReplicas; ++i) {
    hosts_.push_back(&world_.addHost(absl::StrCat("store-", i), absl::StrCat("zone-", i), addresses_[i],
                                     {2, static_cast<std::uint16_t>(1 + i)}));
    hosts_[i]->disk = std::make_unique<SimDisk>(*hosts_[i], ringFiles, fileBytes);
    processes_.emplace_back();
    start(i);
  }
  SimHost& client = world_.addHost("client", "zone-0", kLotClient, {2, 99});
  client.rise();
  clientPorts_ = std::make_unique<Ports>(client.ports());
  rpc_ = std::make_unique<RpcEndpoint>(client, client, client.chance);
  client_ = std::make_unique<ChainClient>(*clientPorts_, *rpc_, addresses_);
  whole(kLimitUs);
  send(LockWish{{1, 1}, kSession});
  for (int i = 0; i < kCutSteps; ++i) moveCut(kCutStepUs);
}

LotRoomRig::~LotRoomRig() {
  room_.clear();
  processes_.clear();
}

Task LotRoomRig::sending(Bytes command, std::optional<ChainAnswer>& answer) {
  Job<ChainAnswer> job = client_->submit(std::move(command), kLimitUs, kLimitUs, WhenFull::kTellAtOnce);
  ChainAnswer given = co_await job;
  answer = std::move(given);
}

Task LotRoomRig::asking(Bytes query, std::optional<ChainAnswer>& answer) {
  Job<ChainAnswer> job = client_->read(std::move(query), 0, kLimitUs);
  ChainAnswer given = co_await job;
  answer = std::move(given);
}

ChainAnswer LotRoomRig::wait(std::optional<ChainAnswer>& answer) {
  while (!answer) world_.runUntil(world_.nowUs() + kStepUs);
  return std::move(*answer);
}

ChainAnswer LotRoomRig::send(const StoreCommand& command) {
  std::optional<ChainAnswer> answer;
  room_.start(sending(pack(command), answer));
  return wait(answer);
}

ChainAnswer LotRoomRig::ask(const StoreQuery& query) {
  std::optional<ChainAnswer> answer;
  room_.start(asking(pack(query), answer));
  return wait(answer);
}

void LotRoomRig::moveCut(Us byUs) {
  send(CutProposal{1, kSession, ++round_, byUs, 0, byUs, 0, {10 * kSecondUs, 10 * kSecondUs}, 2});
}

void LotRoomRig::passTime(Us byUs) {
  moveCut(byUs);
  send(Sweep{});
}

void LotRoomRig::expireAll() {
  for (Us movedUs = 0; movedUs <= kKeepUs; movedUs += kSecondUs) passTime(kSecondUs);
}

// Letters at random: what a result of the deployment's workers takes, compressed as nodes store it.
Bytes LotRoomRig::resultOf(std::size_t lot, std::size_t item) const {
  Chance chance(seed_ ^ spread(absl::StrCat(lot, ".", item)));
  Bytes text;
  for (std::size_t event = 1; event <= kEvents; ++event) {
    absl::StrAppend(&text, event > 1 ? "\n" : "", "3b.38e.", event, ".", hexText(chance.next()), ".");
    for (std::size_t i = 0; i < kEventLetters; ++i) text += static_cast<char>('a' + chance.below(26));
  }
  return storedText(text);
}

bool LotRoomRig::submitLot(std::size_t number) {
  SubmitLot lot;
  lot.name = lotName(number);
  lot.route = "bulk";
  lot.digest = number + 1;
  lot.keepUs = kKeepUs;
  lot.node = kLotNode;
  lot.licenceUs = kLeaseUs;
  lot.atOnce = kLotItems;
  lot.slotCap = 1 << 20;
  for (std::size_t i = 0; i < kLotItems; ++i)
    lot.items.push_back({absl::StrCat(lot.name, ".", i), Bytes(kItemBodyBytes, 'b')});
  const ChainAnswer answer = send(lot);
  if (!std::holds_alternative<Bytes>(answer)) return false;
  auto verdict = unpack<StoreVerdict>(std::get<Bytes>(answer));
  auto* taken = std::get_if<StoreVerdict>(&verdict);
  return taken != nullptr && taken->outcome == StoreOutcome::kDone && taken->granted.size() == kLotItems;
}

bool LotRoomRig::sealLot(std::size_t number) {
  bool taken = true;
  for (std::size_t from = 0; from < kLotItems; from += kItemsInSeal) {
    SealRuns seal;
    for (std::size_t i = from; i < std::min(from + kItemsInSeal, kLotItems); ++i)
      seal.runs.push_back({{lotName(number), static_cast<std::uint32_t>(i), 1}, false, resultOf(number, i)});
    taken &= std::holds_alternative<Bytes>(send(seal));
  }
  return taken;
}

bool LotRoomRig::readsBack(std::size_t number) {
  LotAsk query;
  query.lot = lotName(number);
  query.results = true;
  query.count = kLotItems;
  const ChainAnswer answer = ask(query);
  if (!std::holds_alternative<Bytes>(answer)) return false;
  auto verdict = unpack<LotVerdict>(std::get<Bytes>(answer));
  auto* told = std::get_if<LotVerdict>(&verdict);
  if (told == nullptr || told->sights.size() != kLotItems) return false;
  for (const ItemSight& sight : told->sights)
    if (sight.answer != resultOf(number, sight.item)) return false;
  return true;
}

void LotRoomRig::kill(std::size_t i) {
  processes_[i].reset();
  hosts_[i]->fall();
  hosts_[i]->disk->losePower(chance_);
}

void LotRoomRig::wipe(std::size_t i) {
  kill(i);
  hosts_[i]->disk->wipe();
}

void LotRoomRig::start(std::size_t i) {
  hosts_[i]->rise();
  ReplicaPlan plan;
  plan.zone = hosts_[i]->zone();
  plan.founders = addresses_;
  plan.memoryBytes = kMemoryBytes;
  processes_[i] = std::make_unique<LotRoomProcess>(*hosts_[i], plan);
}

void LotRoomRig::killAllAndStart() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) kill(i);
  for (std::size_t i = 0; i < hosts_.size(); ++i) start(i);
}

bool LotRoomRig::whole(Us withinUs) {
  const Us untilUs = world_.nowUs() + withinUs;
  while (world_.nowUs() < untilUs) {
    bool all = true;
    for (const auto& process : processes_)
      all &=
          process != nullptr && process->replica.active() && process->replica.view().chain.size() == processes_.size();
    if (all) return true;
    world_.runUntil(world_.nowUs() + kStepUs);
  }
  return false;
}

}  // namespace stonemount
