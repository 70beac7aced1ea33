// A judge that cannot find fault shows nothing: each line of the never list is planted in a fleet that is
// well, and has to be noticed (docs/failures.md).
#include <absl/strings/str_cat.h>

#include <cstdio>

#include "expect.h"
#include "simulator/fault_schedule.h"

using namespace stonemount;

namespace {

bool named(const std::vector<std::string>& faults, const std::string& text) {
  for (const std::string& fault : faults)
    if (fault.find(text) != std::string::npos) return true;
  return false;
}

using Plant = void (*)(FaultSchedule&);
void run(const char* text, Plant plant) {
  FaultSchedulePlan plan;
  plan.lengthUs = 3 * kSecondUs;
  plan.faults = {Fault::kPush};
  plan.lateFault = false;
  plan.settleUs = 60 * kSecondUs;
  FaultSchedule chaos(7, portaviaShape(), plan);
  chaos.run();
  expect(chaos.judge().faults().empty(), absl::StrCat("nothing is found before the planting of: ", text));
  plant(chaos);
  chaos.judge().look();
  chaos.judge().conclude();
  expect(named(chaos.judge().faults(), text), absl::StrCat("planted, and noticed: ", text));
}

Part& worker(FaultSchedule& chaos) { return *chaos.fleet().of(PartKind::kWorker)[0]; }
Part& caller(FaultSchedule& chaos) { return *chaos.fleet().of(PartKind::kCaller)[0]; }
WorkerLedger::Start lastStart(FaultSchedule& chaos, bool lot) {
  for (auto start = worker(chaos).workerLedger.starts.rbegin(); start != worker(chaos).workerLedger.starts.rend();
       ++start)
    if (start->lot == lot && !start->lookup) return *start;
  return {};
}
LotRecord& lot(FaultSchedule& chaos) { return caller(chaos).callerLedger.lots.begin()->second; }

void lotLost(FaultSchedule& chaos) { lot(chaos).complete = false; }
void lotLacks(FaultSchedule& chaos) { lot(chaos).results.erase(lot(chaos).results.begin()); }
void streamTwice(FaultSchedule& chaos) { worker(chaos).workerLedger.starts.push_back(lastStart(chaos, false)); }
void toldNever(FaultSchedule& chaos) {
  caller(chaos).callerLedger.toldNeverRuns.push_back(lastStart(chaos, false).prompt);
}
void leavingStarts(FaultSchedule& chaos) {
  const Us atUs = worker(chaos).host->worldUs(lastStart(chaos, false).atUs);
  worker(chaos).leaves.emplace_back(atUs - 3 * kSecondUs - 1, atUs + kSecondUs);
}
void evacuatedStarts(FaultSchedule& chaos) {
  chaos.ledger().zoneEvacuated[worker(chaos).host->zone()] =
      worker(chaos).host->worldUs(lastStart(chaos, false).atUs) - 5 * kSecondUs - 1;
}
void endedStarts(FaultSchedule& chaos) {
  const WorkerLedger::Start start = lastStart(chaos, true);
  for (Part* part : chaos.fleet().of(PartKind::kCaller))
    for (const auto& [key, record] : part->callerLedger.lots)
      for (const Bytes& prompt : record.prompts)
        if (prompt == start.prompt)
          chaos.ledger().lotEnded[record.lot] = worker(chaos).host->worldUs(start.atUs) - 3 * kSecondUs - 1;
}
void configIgnored(FaultSchedule& chaos) {
  chaos.ledger().configAcked[1000] = chaos.fleet().world().nowUs() - 2 * kSecondUs - 1;
}
void configBack(FaultSchedule& chaos) { chaos.fleet().of(PartKind::kNode)[0]->seenControl += 1; }
void coldFlooded(FaultSchedule& chaos) { worker(chaos).workerLedger.worstExcess = 9; }
void unserved(FaultSchedule& chaos) {
  for (auto& [atUs, well] : caller(chaos).callerLedger.outcomes) well = false;
}
void unread(FaultSchedule& chaos) { caller(chaos).callerLedger.reads.back().second = false; }

// What only the chains' logs show is put into them.
void cutAhead(FaultSchedule& chaos) { chaos.judge().terms.seeCut({1, 1, {}, 101, true}, 100, 100, true); }
void cutBack(FaultSchedule& chaos) {
  CutState cut = chaos.fleet().of(PartKind::kStore)[0]->store->machine().state().cut;
  --cut.cutUs;
  chaos.judge().terms.seeCut(cut, chaos.fleet().world().nowUs(), World::kStartWallUs + chaos.fleet().world().nowUs(),
                             true);
}
void cutFast(FaultSchedule& chaos) {
  CutState cut = chaos.fleet().of(PartKind::kStore)[0]->store->machine().state().cut;
  const Us nowUs = chaos.fleet().world().nowUs();
  chaos.judge().terms.seeCut(cut, nowUs, World::kStartWallUs + nowUs, true);
  cut.cutUs += 2;
  chaos.judge().terms.seeCut(cut, nowUs + 1, World::kStartWallUs + nowUs + 1, true);
}
void epochShared(FaultSchedule& chaos) {
  CutState cut = chaos.fleet().of(PartKind::kStore)[0]->store->machine().state().cut;
  ++cut.session;
  chaos.judge().terms.seeCut(cut, chaos.fleet().world().nowUs(), World::kStartWallUs + chaos.fleet().world().nowUs(),
                             true);
}
template <Term term>
void early(FaultSchedule& chaos) {
  chaos.judge().terms.seeTerm({term, "planted", term == Term::kClose ? 101 : 100, false}, 1, 1);
  chaos.judge().terms.seeTerm({term, "planted", term == Term::kClose ? 101 : 0, true}, 100, 100);
}
// Two members apply different entries in one place; the first of them, or the second, is acknowledged.
template <bool firstAcknowledged>
void entriesDiffer(FaultSchedule& chaos) {
  Entry entry;
  entry.index = 1'000'000;
  entry.command = "one";
  chaos.judge().entries.see(PartKind::kStore, "store-1", entry, firstAcknowledged);
  entry.command = "other";
  chaos.judge().entries.see(PartKind::kStore, "store-2", entry, !firstAcknowledged);
}

// A node that lies about one lot, and what its caller makes of it.
class Liar : public sigc::trackable {
 public:
  Liar(SimHost& host, std::vector<std::string> bodies) : bodies_(std::move(bodies)) {
    host.asked.connect(sigc::mem_fun(*this, &Liar::onAsked));
  }

 private:
  void onAsked(const HttpAsk& ask, ReplyPtr reply) {
    if (ask.method == "POST") return reply->whole(201, {}, R"({"lot":"lot-1"})");
    const std::string body = bodies_[std::min(at_++, bodies_.size() - 1)];
    reply->whole(body.empty() ? 404 : 200, {}, body);
  }
  std::vector<std::string> bodies_;
  std::size_t at_ = 0;
};

class LiveLiar : public sigc::trackable {
 public:
  LiveLiar(SimHost& host, std::string body) : body_(std::move(body)) {
    host.asked.connect(sigc::mem_fun(*this, &LiveLiar::onAsked));
  }

 private:
  void onAsked(const HttpAsk&, ReplyPtr reply) { reply->whole(200, {}, body_); }
  std::string body_;
};

// A result as a worker would have given it; `parts` short of all of them, or joined from two runs.
std::string result(const Bytes& prompt, const std::string& salt, std::uint32_t parts, const std::string& other = "") {
  Bytes answer;
  for (std::uint32_t i = 0; i < parts; ++i) answer += rehearsedPart(prompt, i < 2 || other.empty() ? salt : other, i);
  JsonOut out;
  out.object().field("id", "item-0").field("state", "sealed").field("answer", answer).closeObject();
  return out.take();
}

// A caller that knows one node, and that one lies.
struct Lie {
  explicit Lie(const CallerPlan& given) : plan(given) {
    node.rise();
    host.rise();
    plan.name = "caller";
    plan.nodes = {{1, 2}};
    plan.lotPatienceUs = 8 * kSecondUs;
  }
  void tell(Us lengthUs) {
    RehearseCaller caller(ports, plan, ledger);
    caller.begin();
    world.runUntil(lengthUs);
  }
  CallerPlan plan;
  World world{3};
  SimHost& node = world.addHost("node", "zone", {1, 1}, {1, 2});
  SimHost& host = world.addHost("caller", "zone", {1, 3}, {1, 4});
  Ports ports = host.ports();
  CallerLedger ledger;
};

CallerPlan oneLot() {
  CallerPlan plan;
  plan.event = "night";
  plan.lots = plan.lotItems = 1;
  return plan;
}

void lie(const char* text, const std::vector<std::string>& results) {
  std::vector<std::string> bodies;
  for (const std::string& one : results)
    bodies.push_back(one == "missing" ? "" : absl::StrCat(R"({"state":"open","results":[)", one, "]}"));
  Lie now(oneLot());
  Liar liar(now.node, bodies);
  now.tell(60 * kSecondUs);
  expect(named(now.ledger.faults, text), absl::StrCat("told by a lying node, and noticed: ", text));
}

// The same for a live answer: sealed, and for someone else.
void lieLive(const Bytes& answer, const char* what) {
  JsonOut out;
  out.object().field("answer", answer).key("seal").object().closeObject().closeObject();
  CallerPlan plan;
  plan.wholeEveryUs = kSecondUs;
  Lie now(plan);
  LiveLiar liar(now.node, out.take());
  now.tell(5 * kSecondUs);
  expect(named(now.ledger.faults, "success that is not the whole right answer"), what);
}

// The one prompt that the caller of `lie` hands in: it comes from its seed.
Bytes lyingPrompt() {
  Lie now(oneLot());
  Liar liar(now.node, {R"({"state":"open","results":[]})"});
  now.tell(kSecondUs);
  return now.ledger.lots.begin()->second.prompts.front();
}
}  // namespace

int main() {
  run("accepted lot not complete", lotLost);
  run("complete lot lacks results", lotLacks);
  run("a stream ran twice", streamTwice);
  run("ran though told it never would", toldNever);
  run("started at a leaving worker", leavingStarts);
  run("started in an evacuated zone", evacuatedStarts);
  run("an ended lot started an item", endedStarts);
  run("is at config", configIgnored);
  run("went back to an older configuration", configBack);
  run("was flooded", coldFlooded);
  run("mostly unserved", unserved);
  run("was not read at rest", unread);
  run("ahead of true time", cutAhead);
  run("the cut went back", cutBack);
  run("faster than true time", cutFast);
  run("has two holders", epochShared);
  run("expired early: licence", early<Term::kLicence>);
  run("expired early: close", early<Term::kClose>);
  run("expired early: quota window", early<Term::kQuota>);
  run("expired early: results", early<Term::kResults>);
  run("expired early: key", early<Term::kKey>);
  run("applied another entry", entriesDiffer<true>);
  run("differ at", entriesDiffer<false>);
  const Bytes prompt = lyingPrompt();
  const std::string whole = result(prompt, "run-1", 4);
  lie("wrong or partial answer", {result(prompt, "run-1", 3)});
  lie("wrong or partial answer", {result(prompt, "run-1", 4, "run-2")});
  lie("wrong or partial answer", {result("another prompt", "run-1", 4)});
  lie("item listed twice", {absl::StrCat(whole, ",", whole)});
  lie("result changed", {whole, result(prompt, "run-2", 4)});
  lie("result gone", {whole, ""});
  lie("reads as missing", {whole, whole, whole, "missing"});
  lieLive(rehearsedPart("another", "run-1", 0), "an answer meant for another is noticed");
  return expectationsVerdict();
}
