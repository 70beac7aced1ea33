// Operators' orders to evacuate or restore a zone (docs/operators/commands.md).
#include <absl/strings/str_cat.h>

#include "config/json.h"
#include "node/node.h"

namespace stonemount {

// The newest order for the zone, as the chain has it now: what this node was told may lag behind an order that was
// acknowledged elsewhere a moment ago. None: the chain did not answer, and the caller was told so.
Job<std::optional<Revision>> Node::zoneOrdered(std::string zone, ReplyPtr reply) {
  const std::map<std::string, ZoneState>& told = configCache_.state().zones();
  const auto known = told.find(zone);
  Revision newest = known == told.end() ? 0 : known->second.changed;
  Job<ChainAnswer> asking = askCore(NewsAsk{configCache_.state().revision()});
  ChainAnswer answer = co_await asking;
  if (auto* failure = std::get_if<ChainFailure>(&answer)) {
    chainFailed(*reply, *failure, false);
    co_return std::nullopt;
  }
  auto read = unpack<ControlNews>(std::get<Bytes>(answer));
  auto* news = std::get_if<ControlNews>(&read);
  if (news == nullptr) {
    sendVerdict(*reply, 503, "control_unreadable", {}, 1);
    co_return std::nullopt;
  }
  for (const auto& [name, state] : news->zones)
    if (name == zone) newest = std::max(newest, state.changed);
  co_return newest;
}

Task Node::setZone(std::string zone, bool evacuated, ReplyPtr reply) {
  Job<std::optional<Revision>> reading = zoneOrdered(zone, reply);
  const std::optional<Revision> seen = co_await reading;
  if (!seen) co_return;
  Job<std::optional<ControlVerdict>> sending = commandCore(SetZoneSince{zone, evacuated, *seen}, reply);
  const std::optional<ControlVerdict> verdict = co_await sending;
  if (!verdict) co_return;
  if (verdict->outcome == ControlOutcome::kUnclear) {  // another order for the zone was taken meanwhile
    sendVerdict(*reply, 503, "unclear", {{"zone", zone}}, 1);
    co_return;
  }
  JsonOut out;
  out.object().field("zone", zone).field("evacuated", evacuated).closeObject();
  reply->whole(200, {}, out.take() + "\n");
}

}  // namespace stonemount
