// What operators look at: status, clock, chains, workers, events (docs/operators/commands.md).
#include <absl/strings/str_cat.h>

#include "config/json.h"
#include "node/node.h"
#include "node/peek.h"

namespace stonemount {

namespace {
// The margin is written too: what may be lost now, and is borne.
void writeChain(JsonOut& out, const ChainSight& sight) {
  out.object().field("revision", sight.view.revision).key("chain").array();
  for (const Seat& seat : sight.view.chain) out.text(addressText(seat.address));
  out.closeArray().key("members").array();
  for (const MemberSight& line : sight.members) {
    out.object().field("address", addressText(line.seat.address)).field("zone", line.seat.zone);
    out.field("standing", line.pong ? replicaStateText(line.pong->state) : "silent")
        .field("inChain", holdsSeat(sight.view.chain, line.seat.address, line.seat.incarnation));
    out.closeObject();
  }
  const LossMargin margin = lossMarginOf(sight.view, sight.members);
  out.closeArray().field("bearsMachines", margin.machines).field("bearsZone", margin.anyZone);
  out.field("soundVoters", margin.soundVoters).field("soundCopies", margin.soundCopies).closeObject();
}

void writeClock(JsonOut& out, const ClockVerdict& clock) {
  const CutState& cut = clock.cut;
  out.object().field("epoch", cut.epoch).field("cutUs", cut.cutUs).field("certain", cut.certain);
  out.field("cause", doubtText(cut.doubt)).field("lagUs", cut.lagUs).field("sampler", addressText(cut.holder));
  out.field("wallAgreed", cut.wallAgreed).field("doubts", cut.doubts).field("pausedExpiries", clock.pausedExpiries);
  out.field("lateExpiries", clock.lateExpiries).field("expired", clock.expired).field("licences", clock.licences);
  out.field("pendingSlots", clock.pendingSlots).field("tombstones", clock.tombstones);
  out.field("lots", clock.lots).field("items", clock.items).closeObject();
}
}  // namespace

Task Node::showClock(ReplyPtr reply) {
  Job<ChainAnswer> asking = store_.read(pack(StoreQuery(ClockAsk{})), 0, 3 * kSecondUs);
  ChainAnswer answer = co_await asking;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) {
    chainFailed(*reply, *failure, false);
    co_return;
  }
  auto read = unpack<ClockVerdict>(std::get<Bytes>(answer));
  JsonOut out;
  if (auto* clock = std::get_if<ClockVerdict>(&read)) writeClock(out, *clock);
  reply->whole(200, {}, out.take() + "\n");
}

Task Node::showStatus(ReplyPtr reply) {
  Job<ChainSight> peekingCore = peekChain(rpc_, core_);
  const ChainSight core = co_await peekingCore;
  Job<ChainSight> peekingStore = peekChain(rpc_, store_);
  const ChainSight store = co_await peekingStore;
  Job<ChainAnswer> askingCore = askCore(NewsAsk{0});
  ChainAnswer control = co_await askingCore;
  Job<ChainAnswer> askingStore = store_.read(pack(StoreQuery(ClockAsk{})), 0, 3 * kSecondUs);
  ChainAnswer clock = co_await askingStore;
  JsonOut out;
  out.object().key("core");
  writeChain(out, core);
  out.key("store");
  writeChain(out, store);
  out.key("controlStandbys").array();
  for (const PeerRecord& record : gossip_.alive(Role::kStandby)) out.text(addressText(record.wire));
  out.closeArray();
  if (std::holds_alternative<Bytes>(control)) {
    auto read = unpack<ControlNews>(std::get<Bytes>(control));
    if (auto* news = std::get_if<ControlNews>(&read)) {
      out.field("config", news->configRevision).field("routes", news->routes.size());
      out.field("workers", news->workers.size()).key("evacuated").array();
      for (const auto& [zone, state] : news->zones)
        if (state.evacuated) out.text(zone);
      out.closeArray();
    }
  } else {
    out.field("control", "unreachable");
  }
  if (std::holds_alternative<Bytes>(clock)) {
    auto read = unpack<ClockVerdict>(std::get<Bytes>(clock));
    if (auto* verdict = std::get_if<ClockVerdict>(&read)) {
      out.field("epoch", verdict->cut.epoch).field("certain", verdict->cut.certain).field("lots", verdict->lots);
    }
  } else {
    out.field("storeState", "unreachable");
  }
  out.closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

Task Node::showStore(ReplyPtr reply) {
  Job<ChainSight> peeking = peekChain(rpc_, store_);
  const ChainSight store = co_await peeking;
  JsonOut out;
  writeChain(out, store);
  reply->whole(200, {}, out.take() + "\n");
}

Task Node::showEvents(std::string name, ReplyPtr reply) {
  Job<ChainAnswer> asking = store_.read(pack(StoreQuery(EventsAsk{name})), 0, 3 * kSecondUs);
  ChainAnswer answer = co_await asking;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) {
    chainFailed(*reply, *failure, false);
    co_return;
  }
  auto read = unpack<EventsVerdict>(std::get<Bytes>(answer));
  auto* verdict = std::get_if<EventsVerdict>(&read);
  if (verdict == nullptr || (!name.empty() && verdict->events.empty())) {
    sendVerdict(*reply, 404, "unknown_event", {{"event", name}});
    co_return;
  }
  JsonOut out;
  out.object().key("events").array();
  for (const EventSight& event : verdict->events) {
    out.object().field("name", event.name).field("startUs", event.startUs).field("closeUs", event.closeUs);
    out.field("state", event.closed ? "closed" : event.open ? "open" : "not_open_yet").field("lots", event.lots);
    if (event.quota != 0) out.field("quota", event.quota).field("windowUs", event.windowUs);
    out.closeObject();
  }
  out.closeArray().closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

Task Node::showWorkers(ReplyPtr reply) {
  Job<ChainAnswer> asking = askCore(NewsAsk{0});
  ChainAnswer answer = co_await asking;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) {
    chainFailed(*reply, *failure, false);
    co_return;
  }
  auto read = unpack<ControlNews>(std::get<Bytes>(answer));
  JsonOut out;
  out.object().key("workers").array();
  if (auto* news = std::get_if<ControlNews>(&read)) {
    for (const ListedWorker& worker : news->workers) {
      out.object().field("address", addressText(worker.address)).field("pool", worker.pool);
      out.field("zone", worker.zone).field("slots", worker.slots).field("leaving", worker.leaving).closeObject();
    }
  }
  out.closeArray().closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

Task Node::changeVoters(HttpAsk ask, bool core, std::string verb, ReplyPtr reply) {
  JsonVerdict read = parseJson(ask.body);
  const auto* document = std::get_if<JsonDocument>(&read);
  ChangeVoters wish;
  bool sound = document != nullptr && (verb == "add" || verb == "retire" || verb == "replace");
  if (sound && verb != "retire") {
    auto parsed = parseAddress(jsonString(*document, "add"));
    if (auto* address = std::get_if<Address>(&parsed)) wish.add = *address;
    sound = wish.add.set();
  }
  if (sound && verb != "add") {
    auto parsed = parseAddress(jsonString(*document, "remove"));
    if (auto* address = std::get_if<Address>(&parsed)) wish.remove = *address;
    sound = wish.remove.set();
  }
  if (!sound) {
    sendVerdict(*reply, 400, "bad_request", {{"field", "add, remove"}, {"why", "are not IP numbers with ports"}});
    co_return;
  }
  Job<std::variant<ChangeReply, PeerSilent>> sending = (core ? core_ : store_).changeVoters(wish, 8 * kSecondUs);
  const std::variant<ChangeReply, PeerSilent> answer = co_await sending;
  auto* verdict = std::get_if<ChangeReply>(&answer);
  if (verdict == nullptr) {
    sendVerdict(*reply, 503, "chain_silent", {{"taken", "unknown"}}, 1);
  } else if (verdict->outcome == ChangeOutcome::kDone) {
    JsonOut out;
    out.object().field("verdict", "done").closeObject();
    reply->whole(200, {}, out.take() + "\n");
  } else if (verdict->outcome == ChangeOutcome::kUnknown) {
    sendVerdict(*reply, 404, "unknown_member");
  } else if (verdict->outcome == ChangeOutcome::kTooFew) {
    sendVerdict(*reply, 409, "too_few_would_remain", {{"why", "two zones must keep a copy"}});
  } else {
    const bool notReady = verdict->outcome == ChangeOutcome::kNotReady;
    sendVerdict(*reply, 503, notReady ? "not_ready" : "busy", {{"taken", "no"}}, 2);
  }
}

}  // namespace stonemount
