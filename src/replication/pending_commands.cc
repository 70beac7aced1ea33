#include "replication/pending_commands.h"

namespace stonemount {

namespace {
// A client gives a try up after a while, so only its newest ones are worth an answer.
constexpr std::size_t kRepeatsKept = 4;
constexpr std::size_t kCommittedKept = 4096;
}  // namespace

void PendingCommands::took(const CommandId& id, std::uint64_t index) {
  byIndex_[index].id = id;
  indexOf_[id] = index;
}

bool PendingCommands::joins(const CommandId& id, const Asked& request) {
  auto found = indexOf_.find(id);
  if (found == indexOf_.end()) return false;
  std::vector<Asked>& repeats = byIndex_[found->second].repeats;
  if (repeats.size() >= kRepeatsKept) repeats.erase(repeats.begin());
  repeats.push_back({request.peer, request.exchange, request.kind, Bytes()});
  return true;
}

std::vector<PendingCommands::Repeat> PendingCommands::commit(std::uint64_t index) {
  std::vector<Repeat> answered;
  while (!byIndex_.empty() && byIndex_.begin()->first <= index) {
    Pending& pending = byIndex_.begin()->second;
    for (Asked& request : pending.repeats) answered.push_back({pending.id, std::move(request)});
    indexOf_.erase(pending.id);
    committedIds_.insert(pending.id);
    committedOrder_.push_back(pending.id);
    byIndex_.erase(byIndex_.begin());
  }
  while (committedOrder_.size() > kCommittedKept) {
    committedIds_.erase(committedOrder_.front());
    committedOrder_.pop_front();
  }
  return answered;
}

void PendingCommands::clear() {
  byIndex_.clear();
  indexOf_.clear();
  committedIds_.clear();
  committedOrder_.clear();
}

}  // namespace stonemount
