#include "control/worker_discovery.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kSubmitUs = 2 * kSecondUs;
constexpr Us kColdSlackUs = 20 * kMilliUs;  // by which what is left may seem to grow though nothing began

struct ByAddress {
  bool operator()(const ListedWorker& left, const ListedWorker& right) const { return left.address < right.address; }
};
}  // namespace

void WorkerDiscovery::forget() {
  coldness_.clear();
  told_.reset();
  toldVersion_ = 0;
  standing_ = 0;
}

// Coldness that began stays to be told until a list with it was taken.
void WorkerDiscovery::noteColdness(std::vector<ListedWorker>& workers) {
  absl::btree_map<Address, Coldness> now;
  for (ListedWorker& worker : workers) {
    Coldness cold{worker.life, worker.coldLeftUs, worker.coldLeftUs > 0};
    auto before = coldness_.find(worker.address);
    if (cold.untold && before != coldness_.end() && before->second.life == cold.life)
      cold.untold = before->second.untold || cold.leftUs > before->second.leftUs + kColdSlackUs;
    if (!cold.untold) worker.coldLeftUs = 0;
    now.emplace(worker.address, std::move(cold));
  }
  coldness_ = std::move(now);
}

bool WorkerDiscovery::same(const std::vector<ListedWorker>& workers) const {
  if (!told_ || told_->size() != workers.size()) return false;
  for (std::size_t i = 0; i < workers.size(); ++i)
    if ((*told_)[i].address != workers[i].address || !(*told_)[i].sameAs(workers[i])) return false;
  return true;
}

Job<Done> WorkerDiscovery::carry() {
  // A chain that holds no configuration may be a new one, which was told nothing yet.
  if (machine_.state().configRevision() == 0) told_.reset();
  // Read before the list is asked for: of two lists from this number on, the chain takes the first.
  const std::uint64_t known = std::max(machine_.platformVersion(), standing_);
  Job<WorkerListVerdict> fetching = source_->fetch();
  WorkerListVerdict verdict = co_await fetching;
  auto* list = std::get_if<WorkerList>(&verdict);
  if (list == nullptr) {
    logDoubt("list_not_heard", {{"why", listTroubleText(std::get<ListTrouble>(verdict))}});
    co_return Done{};
  }
  std::stable_sort(list->workers.begin(), list->workers.end(), ByAddress());
  noteColdness(list->workers);
  const bool older = list->version && *list->version < toldVersion_;
  if (older) co_return Done{};
  if (same(list->workers)) {
    if (list->version) co_return Done{};  // its own version tells how new it is
    Job<Done> confirming = confirm(known + 1);
    co_await confirming;
    co_return Done{};
  }
  Job<Done> submitting = submit(std::move(*list), known);
  co_await submitting;
  co_return Done{};
}

Job<std::optional<ControlVerdict>> WorkerDiscovery::send(ControlCommand command) {
  Job<ChainAnswer> sending = core_.submit(pack(command), kSubmitUs);
  ChainAnswer answer = co_await sending;
  auto* body = std::get_if<Bytes>(&answer);
  if (body == nullptr) co_return std::nullopt;
  auto read = unpack<ControlVerdict>(*body);
  auto* verdict = std::get_if<ControlVerdict>(&read);
  if (verdict == nullptr) co_return std::nullopt;
  standing_ = verdict->platformVersion;
  co_return *verdict;
}

Job<Done> WorkerDiscovery::confirm(std::uint64_t number) {
  ++confirmed;
  Job<std::optional<ControlVerdict>> sending = send(ConfirmWorkers{number});
  const std::optional<ControlVerdict> verdict = co_await sending;
  // Another lister's list came first: what the chain holds may not be what was told here.
  if (verdict && verdict->outcome == ControlOutcome::kOlder) told_.reset();
  co_return Done{};
}

Job<Done> WorkerDiscovery::submit(WorkerList list, std::uint64_t known) {
  const std::uint64_t number = list.version ? *list.version : known + 1;
  ++submitted;
  Job<std::optional<ControlVerdict>> sending = send(PutWorkers{number, !list.version, list.workers});
  const std::optional<ControlVerdict> verdict = co_await sending;
  if (!verdict) co_return Done{};
  if (verdict->outcome == ControlOutcome::kOlder) {
    logEvent("list_came_late", {{"number", absl::StrCat(number)}, {"standing", absl::StrCat(standing_)}});
    co_return Done{};
  }
  toldVersion_ = list.version.value_or(0);
  for (auto& [address, cold] : coldness_) cold.untold = false;
  told_ = std::move(list.workers);
  co_return Done{};
}

}  // namespace stonemount
