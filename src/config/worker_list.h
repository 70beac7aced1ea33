// The port to whoever keeps the list of workers (design.md 7.7).
#pragma once

#include "config/control_state.h"
#include "runtime/task.h"

namespace stonemount {

struct WorkerList {
  std::optional<std::uint64_t> version;  // the source's own, if it has one: never goes back
  std::vector<ListedWorker> workers;     // the whole list; `coldLeftUs` as it is now
};
enum class ListTrouble : std::uint8_t {
  kUnreachable,
  kBusy,  // asked too often: ask less
  kUnreadable,
};
const char* listTroubleText(ListTrouble trouble);
using WorkerListVerdict = std::variant<WorkerList, ListTrouble>;

class WorkerListSource {
 public:
  virtual ~WorkerListSource() = default;
  // The whole list or nothing of it, within 2 s.
  virtual Job<WorkerListVerdict> fetch() = 0;
};

}  // namespace stonemount
