#include "simulator/exploration_disk.h"

namespace stonemount {

namespace {
constexpr Us kSyncUs = 1500;
constexpr Us kStallUs = 1500 * kMilliUs;
}  // namespace

ExplorationDisk::ExplorationDisk(Timers& timers, SyncWatcher& watcher, std::size_t place, std::size_t files,
                                 std::size_t bytes)
    : timers_(timers), watcher_(watcher), place_(place), bytes_(bytes), lasting_(files), timer_(*this) {}

std::variant<Bytes, DiskFailure> ExplorationDisk::read(std::size_t file) {
  Bytes whole = lasting_[file];
  whole.resize(bytes_, '\0');
  return whole;
}

std::variant<Bytes, DiskFailure> ExplorationDisk::readHead(std::size_t file, std::size_t wanted) {
  Bytes head = lasting_[file].substr(0, wanted);
  head.resize(wanted, '\0');
  return head;
}

void ExplorationDisk::write(std::size_t file, std::size_t offset, Bytes bytes) {
  STONEMOUNT_INVARIANT(offset + bytes.size() <= bytes_);
  written_.push_back({file, offset, std::move(bytes)});
}

void ExplorationDisk::sync(SyncDone& done) {
  STONEMOUNT_INVARIANT(waiting_ == nullptr);
  waiting_ = &done;
  for (Write& write : written_) syncing_.push_back(std::move(write));
  written_.clear();
  fate_ = watcher_.syncing(place_);
  timers_.arm(fate_ == SyncFate::kStalls ? kStallUs : kSyncUs, timer_);
}

void ExplorationDisk::forget(SyncDone& done) {
  if (waiting_ == &done) waiting_ = nullptr;
}

void ExplorationDisk::keep(const Write& write, std::size_t bytes) {
  Bytes& file = lasting_[write.file];
  if (file.size() < write.offset + bytes) file.resize(write.offset + bytes, '\0');
  file.replace(write.offset, bytes, write.bytes, 0, bytes);
}

void ExplorationDisk::keepFirstHalf() {
  const std::size_t half = syncing_.size() / 2;
  for (std::size_t i = 0; i < half; ++i) keep(syncing_[i], syncing_[i].bytes.size());
  if (half < syncing_.size()) keep(syncing_[half], syncing_[half].bytes.size() / 2);
}

void ExplorationDisk::finish() {
  switch (fate_) {
    case SyncFate::kLostWithPower:
      return watcher_.powerGoes(place_, DiskLoss::kUnsynced);
    case SyncFate::kTornWithPower:
      return watcher_.powerGoes(place_, DiskLoss::kTorn);
    case SyncFate::kLastsThenPower:
      return watcher_.powerGoes(place_, DiskLoss::kNothing);
    case SyncFate::kLasts:
    case SyncFate::kFails:
    case SyncFate::kStalls:
      break;
  }
  const bool failed = fate_ == SyncFate::kFails;
  if (!failed) {
    for (const Write& write : syncing_) keep(write, write.bytes.size());
    syncing_.clear();
  }
  SyncDone* done = std::exchange(waiting_, nullptr);
  if (done == nullptr) return;
  done->failed = failed;
  done->proceed();
}

void ExplorationDisk::stop(DiskLoss loss) {
  timers_.disarm(timer_);
  waiting_ = nullptr;
  for (Write& write : written_) syncing_.push_back(std::move(write));
  written_.clear();
  if (loss == DiskLoss::kNothing)
    for (const Write& write : syncing_) keep(write, write.bytes.size());
  if (loss == DiskLoss::kTorn) keepFirstHalf();
  syncing_.clear();
  if (loss != DiskLoss::kAll) return;
  for (Bytes& file : lasting_) file.clear();
}

}  // namespace stonemount
