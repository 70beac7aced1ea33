// A disk whose every sync is one step of an exploration: it may last, fail, stall, or be cut off by a loss of power
// (docs/design-notes/model-checking.md). Unlike SimDisk it draws nothing by chance.
#pragma once

#include "stonemount.h"

namespace stonemount {

// What becomes of a sync.
enum class SyncFate : std::uint8_t {
  kLasts,
  kFails,           // reported as failed, and nothing of it lasts yet; the next sync writes it again
  kStalls,          // lasts, but late
  kLostWithPower,   // power goes before anything of it was kept
  kTornWithPower,   // power goes with the first half of its writes kept, the next one torn in the middle
  kLastsThenPower,  // all of it was kept; power goes before anyone was told
};

// What a machine keeps of what was not synced when its process goes.
enum class DiskLoss : std::uint8_t { kNothing, kUnsynced, kTorn, kAll };

// Decides the fate of each sync, and is told when power is to go.
class SyncWatcher {
 public:
  virtual ~SyncWatcher() = default;
  virtual SyncFate syncing(std::size_t place) = 0;
  virtual void powerGoes(std::size_t place, DiskLoss loss) = 0;
};

class ExplorationDisk : public Disk {
 public:
  ExplorationDisk(Timers& timers, SyncWatcher& watcher, std::size_t place, std::size_t files, std::size_t bytes);
  std::size_t fileCount() const override { return lasting_.size(); }
  std::size_t fileBytes() const override { return bytes_; }
  std::variant<Bytes, DiskFailure> read(std::size_t file) override;
  std::variant<Bytes, DiskFailure> readHead(std::size_t file, std::size_t wanted) override;
  void write(std::size_t file, std::size_t offset, Bytes bytes) override;
  void sync(SyncDone& done) override;
  void forget(SyncDone& done) override;
  // The process is gone: what was not synced is kept, or lost, as it is told.
  void stop(DiskLoss loss);

 private:
  struct Write {
    std::size_t file = 0;
    std::size_t offset = 0;
    Bytes bytes;
  };
  class Timer : public Continuation {
   public:
    explicit Timer(ExplorationDisk& disk) : disk_(disk) {}
    void proceed() override { disk_.finish(); }

   private:
    ExplorationDisk& disk_;
  };
  void keep(const Write& write, std::size_t bytes);
  void keepFirstHalf();
  void finish();
  Timers& timers_;
  SyncWatcher& watcher_;
  std::size_t place_;
  std::size_t bytes_;
  std::vector<Bytes> lasting_;
  std::vector<Write> written_;  // not yet asked to last
  std::vector<Write> syncing_;
  SyncFate fate_ = SyncFate::kLasts;
  SyncDone* waiting_ = nullptr;
  Timer timer_;
};

}  // namespace stonemount
