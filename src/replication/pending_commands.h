// Commands that the head has taken in this view and that are not known to be committed (design.md 6.3). A command that
// is sent again meanwhile is not written again: it waits for the first one's result.
#pragma once

#include <deque>
#include <map>
#include <set>

#include "replication/messages.h"
#include "runtime/rpc_endpoint.h"

namespace stonemount {

// Held in memory by the head alone, for one view. Runs on the replica's loop.
class PendingCommands {
 public:
  // A later request for a command that is pending.
  struct Repeat {
    CommandId id;
    Asked request;  // without its body
  };
  void took(const CommandId& id, std::uint64_t index);
  // True: it is pending, and the request will be answered with it.
  bool joins(const CommandId& id, const Asked& request);
  // Committed in this view, and lately: its result may be told to whoever asks again because the answer came too late.
  bool committed(const CommandId& id) const { return committedIds_.contains(id); }
  // All up to that index are committed; the repeats that wait for them.
  std::vector<Repeat> commit(std::uint64_t index);
  void clear();

 private:
  struct Pending {
    CommandId id;
    std::vector<Asked> repeats;
  };
  std::map<std::uint64_t, Pending> byIndex_;
  std::map<CommandId, std::uint64_t> indexOf_;
  std::set<CommandId> committedIds_;
  std::deque<CommandId> committedOrder_;
};

}  // namespace stonemount
