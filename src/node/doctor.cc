// The doctor: looks for common faults from wherever it is asked, and says what to do
// (docs/operators/doctor.md lists the codes).
#include <absl/strings/str_cat.h>

#include "config/json.h"
#include "node/node.h"
#include "node/peek.h"

namespace stonemount {

namespace {
constexpr Us kLagUs = 60 * kSecondUs;
constexpr Us kSlowUs = 500 * kMilliUs;
constexpr std::uint32_t kLotsLookedAt = 64;  // of each kind

struct Finding {
  std::string code;
  std::string what;
  std::string advice;
};
using Findings = std::vector<Finding>;

void lookAtChain(const std::string& name, const ChainSight& sight, Findings& findings) {
  const std::string number = name == "core" ? "1" : "2";
  if (sight.view.revision == 0) {
    findings.push_back({"D" + number + "01", name + ": no member tells a view",
                        "start the " + name + " machines; check their founders and seeds"});
    return;
  }
  const std::size_t members = sight.view.voters.size() + sight.view.nonVoters.size();
  if (!acknowledges(sight.view))
    findings.push_back({"D" + number + "02",
                        name + ": the chain lies in one zone or has too few members; writes and reads are refused",
                        "bring back the " + name + " machines; one in another zone, if it lies in one"});
  else if (sight.view.chain.size() < members)
    findings.push_back({"D" + number + "03",
                        absl::StrCat(name, ": ", sight.view.chain.size(), " of ", members, " members in the chain"),
                        "see which member is silent or broken; replace it if it does not return"});
  if (sight.view.voters.size() < 3)
    findings.push_back(
        {"D" + number + "04", name + ": fewer than three voters; no loss can be mended", "add a " + name + " machine"});
  const LossMargin margin = lossMarginOf(sight.view, sight.members);
  if (margin.machines == 0)
    findings.push_back({"D" + number + "11",
                        absl::StrCat(name, ": no further loss is borne; ", margin.soundVoters, " voters answer, ",
                                     margin.majority, " are a majority, ", margin.soundCopies, " whole copies"),
                        "take nothing away now; bring back or replace what is silent, slow or behind"});
  if (!outlivesZones(sight.view.voters))
    findings.push_back({"D" + number + "10", name + ": the loss of one zone would leave no majority of voters",
                        "spread the " + name + " machines over three zones, none with half of them"});
  for (const MemberSight& line : sight.members) {
    const std::string who = name + " " + addressText(line.seat.address);
    if (!line.pong) {
      findings.push_back({"D" + number + "05", who + " is silent", "see whether its process and machine run"});
      continue;
    }
    if (!diskAnswers(*line.pong, kDiskLostUs))
      findings.push_back(
          {"D" + number + "06", who + ": its disk takes no bytes, or holds what it cannot read",
           "it counts as lost; it comes back by itself once the disk takes bytes, else replace the disk"});
    if (line.pong->stalledUs > kSlowUs || line.pong->worstSyncUs > kSlowUs)
      findings.push_back({"D" + number + "07", who + ": slow disk",
                          "look at the disk; the chain goes on without it while it is slow"});
    if (line.pong->revision != sight.view.revision)
      findings.push_back({"D" + number + "08", who + " holds another view revision",
                          "normal for a second after a change; if it stays, see its log"});
    if (line.pong->zone != line.seat.zone)
      findings.push_back({"D" + number + "09", who + " says another zone than its seat", "correct its settings"});
  }
}

void lookAtStandbys(const std::vector<PeerRecord>& standbys, Findings& findings) {
  if (standbys.empty()) return;
  findings.push_back({"D112",
                      absl::StrCat("core: ", standbys.size(), " processes without a disk stand by, as ",
                                   addressText(standbys.front().wire)),
                      "no fault where their machines have no disk: they pass calls on; else give them a data folder"});
}

void lookAtClock(const ClockVerdict& clock, Findings& findings) {
  if (!clock.cut.certain)
    findings.push_back(
        {"D301", std::string("the cut is uncertain: ") + doubtText(clock.cut.doubt),
         "lots are kept and wait; it clears by itself once a core and the store's head sample steadily"});
  if (clock.cut.anchored && clock.cut.lagUs > kLagUs)
    findings.push_back({"D302", absl::StrCat("the cut lags wall time by ", clock.cut.lagUs / kSecondUs, " s"),
                        "expiries come late by as much; events made now allow for it"});
  if (clock.cut.certain && !clock.cut.wallAgreed)
    findings.push_back({"D305", "too few wall clocks of cores and stores agree within a second",
                        "events start and close late until most do: put the clocks right"});
  if (clock.pendingSlots > 0)
    findings.push_back({"D303", absl::StrCat(clock.pendingSlots, " freed slots are still charged"),
                        "they are released with the next certain cut"});
}
// A lot of an event is not given up because its route went away: it waits, and someone must know. A standing lot is,
// after a while.
void lookAtLots(const WorkVerdict& work, const ControlState& control, Findings& findings) {
  for (const OpenLot& lot : work.lots)
    if (!control.routes().contains(lot.route) && lotRouteAt(control, lot.route) == nullptr)
      findings.push_back({"D506", lot.lot + " waits for route " + lot.route + ", which is not configured",
                          "put the route back, or end the lot"});
}
}  // namespace

Task Node::doctor(ReplyPtr reply) {
  Findings findings;
  Job<ChainSight> peekingCore = peekChain(rpc_, core_);
  const ChainSight core = co_await peekingCore;
  lookAtChain("core", core, findings);
  lookAtStandbys(gossip_.alive(Role::kStandby), findings);
  Job<ChainSight> peekingStore = peekChain(rpc_, store_);
  const ChainSight store = co_await peekingStore;
  lookAtChain("store", store, findings);
  Job<ChainAnswer> asking = store_.read(pack(StoreQuery(ClockAsk{})), 0, 2 * kSecondUs);
  ChainAnswer answer = co_await asking;
  if (std::holds_alternative<Bytes>(answer)) {
    auto read = unpack<ClockVerdict>(std::get<Bytes>(answer));
    if (auto* clock = std::get_if<ClockVerdict>(&read)) lookAtClock(*clock, findings);
  } else {
    findings.push_back({"D304", "the store chain does not answer", "see the findings about the store"});
  }
  const ControlState& control = configCache_.state();
  for (const bool standing : {false, true}) {
    WorkAsk work;
    work.most = kLotsLookedAt;
    work.standing = standing;
    Job<ChainAnswer> askingWork = store_.read(pack(StoreQuery(work)), 0, 2 * kSecondUs);
    ChainAnswer openWork = co_await askingWork;
    if (!std::holds_alternative<Bytes>(openWork) || !configCache_.ready()) continue;
    auto read = unpack<WorkVerdict>(std::get<Bytes>(openWork));
    if (auto* verdict = std::get_if<WorkVerdict>(&read)) lookAtLots(*verdict, control, findings);
  }
  if (!configCache_.ready())
    findings.push_back({"D401", "no configuration has reached this node", "push one; see core"});
  Revision newest = control.revision();
  for (const PeerRecord& record : gossip_.alive(Role::kNode)) newest = std::max(newest, record.control);
  for (const PeerRecord& record : gossip_.alive(Role::kNode))
    if (record.control < newest)
      findings.push_back(
          {"D402",
           absl::StrCat("node ", addressText(record.wire), " is at control revision ", record.control, " of ", newest),
           "normal for a second; else see its way to the core"});
  absl::btree_set<std::string> pools;
  // Where requests are passed through, workers are asked nothing: the list and their answers tell.
  for (const auto& [name, pool] : control.pools())
    if (pools_ != nullptr && pools_->serves(name)) pools.insert(name);
  for (const auto& [address, sight] : board_.sights()) {
    const std::string who = "worker " + addressText(address);
    if (pools_ != nullptr || !board_.listed(address)) continue;
    const bool silent = sight.reportedUs < 0 || ports_.clock.monoUs() - sight.reportedUs > 3 * kSecondUs;
    if (silent)
      findings.push_back({"D501", who + " reports no health", "see its process; the platform lists it"});
    else if (sight.listed.leaving || sight.report.leaving)
      findings.push_back({"D502", who + " is leaving", "nothing new goes there"});
    else
      pools.insert(sight.listed.pool);
    if (!silent && sight.cold()) findings.push_back({"D503", who + " is cold", "its share grows as it answers"});
    if (!silent && sight.report.load >= sight.report.slots && sight.report.slots > 0)
      findings.push_back({"D504", who + " is at its limit", "add workers if it stays so"});
    if (control.evacuated(sight.listed.zone) && sight.report.load > 0)
      findings.push_back({"D601", who + " in an evacuated zone still has work", "it ends by itself"});
  }
  for (const auto& [name, route] : control.routes())
    if (!pools.contains(route.pool))
      findings.push_back(
          {"D505", "route " + name + " has no fit worker in pool " + route.pool, "see the platform's list"});
  std::size_t known = 0;
  for (const Address& seed : settings_.seeds) {
    auto found = gossip_.sights().find(seed);
    known += seed == settings_.wire || (found != gossip_.sights().end() && gossip_.isAlive(found->second)) ? 1 : 0;
  }
  if (known < settings_.seeds.size())
    findings.push_back({"D701", absl::StrCat(known, " of ", settings_.seeds.size(), " seeds of this node are alive"),
                        "correct the seeds in its settings"});
  JsonOut out;
  out.object().field("healthy", findings.empty()).key("findings").array();
  for (const Finding& finding : findings) {
    out.object().field("code", finding.code).field("what", finding.what).field("advice", finding.advice).closeObject();
  }
  out.closeArray().closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

}  // namespace stonemount
