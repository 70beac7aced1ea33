// Requests for room at the head, before a long command is sent (design.md 6.3).
#include "replication/replica.h"

namespace stonemount {

namespace {
constexpr Us kLookAgainUs = 50 * kMilliUs;  // while requests wait
}  // namespace

void Replica::onRoomRequest(const Asked& asked) {
  auto message = unpack<RoomRequest>(asked.body);
  auto* request = std::get_if<RoomRequest>(&message);
  if (request == nullptr) return;
  if (std::optional<ChainOutcome> refusal = notHead(request->revision)) return tell(asked, *refusal);
  if (knows(request->id, asked)) return;
  if (incomingRoom_.waiting().size() >= IncomingRoom::kMostWaiting) return tell(asked, ChainOutcome::kBusy);
  incomingRoom_.waiting().push_back({asked, *request, ports_.clock.monoUs()});
  answerRoomRequests();
  if (!incomingRoom_.waiting().empty() && !roomWatched_) room_.start(watchRoomRequests());
}

// In the order in which they came: a long command does not wait for ever behind shorter ones.
void Replica::answerRoomRequests() {
  incomingRoom_.expire(ports_.clock.monoUs());
  std::deque<IncomingRoom::Waiting>& waiting = incomingRoom_.waiting();
  while (!waiting.empty()) {
    const std::optional<ChainOutcome> outcome = roomFor(waiting.front());
    if (!outcome) return;
    tell(waiting.front().asked, *outcome);
    waiting.pop_front();
  }
}

// None: it waits on. What comes at one moment is more than a window allows for that moment only, so neither a link nor
// a chain that is full refuses at once; a ring that is full does.
std::optional<ChainOutcome> Replica::roomFor(const IncomingRoom::Waiting& waiting) {
  const RoomRequest& request = waiting.request;
  if (std::optional<ChainOutcome> refusal = notHead(request.revision)) return refusal;
  ChainOutcome outcome = admission(request.bytes, request.enlarges);
  if (outcome == ChainOutcome::kDone) outcome = promiseRoom(waiting);
  const bool waits = ports_.clock.monoUs() - waiting.sinceUs < IncomingRoom::kWaitUs;
  if (outcome == ChainOutcome::kBusy && waits) return std::nullopt;
  return outcome;
}

// What is under way counts as taken, and one command is allowed whatever its length.
ChainOutcome Replica::promiseRoom(const IncomingRoom::Waiting& waiting) {
  const RoomRequest& request = waiting.request;
  const std::size_t bound = request.enlarges ? commitWindow_.bytes() : kUncommittedBytes;
  const std::size_t coming = uncommittedBytes() + incomingRoom_.bytes();
  if (coming > 0 && coming + request.bytes > bound) {
    commitWindow_.limited();
    logBacklogFull(coming);
    return ChainOutcome::kBusy;
  }
  const bool fits = incomingRoom_.promise(waiting.asked.peer, request.bytes, ports_.clock.monoUs());
  return fits ? ChainOutcome::kRoom : ChainOutcome::kBusy;
}

// Runs while requests wait.
Task Replica::watchRoomRequests() {
  roomWatched_ = true;
  while (!incomingRoom_.waiting().empty()) {
    Pause pause(ports_.timers, kLookAgainUs);
    co_await pause;
    answerRoomRequests();
  }
  roomWatched_ = false;
}

}  // namespace stonemount
