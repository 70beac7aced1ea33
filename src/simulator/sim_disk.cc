#include "simulator/sim_disk.h"

#include <algorithm>

#include "simulator/world.h"

namespace stonemount {

namespace {
constexpr Us kSyncUs = 1500;
}

class SyncEvent : public Continuation {
 public:
  SyncEvent(SimDisk& disk, SimHost& host) : disk_(disk), host_(host) {}
  ~SyncEvent() override { host_.disarm(*this); }
  void proceed() override { disk_.finish(); }

 private:
  SimDisk& disk_;
  SimHost& host_;
};

SimDisk::SimDisk(SimHost& host, std::size_t files, std::size_t bytes) : host_(host), bytes_(bytes), lasting_(files) {}

std::variant<Bytes, DiskFailure> SimDisk::read(std::size_t file) {
  if (failing) return DiskFailure{};
  Bytes bytes = lasting_[file];
  bytes.resize(bytes_, '\0');
  readBytes += bytes_;
  return bytes;
}

std::variant<Bytes, DiskFailure> SimDisk::readHead(std::size_t file, std::size_t wanted) {
  if (failing) return DiskFailure{};
  Bytes bytes = lasting_[file].substr(0, wanted);
  bytes.resize(wanted, '\0');
  readBytes += wanted;
  return bytes;
}

void SimDisk::write(std::size_t file, std::size_t offset, Bytes bytes) {
  STONEMOUNT_INVARIANT(offset + bytes.size() <= bytes_);
  gathered_.push_back({file, offset, std::move(bytes)});
}

void SimDisk::sync(SyncDone& done) {
  STONEMOUNT_INVARIANT(waiting_ == nullptr);
  waiting_ = &done;
  for (Piece& piece : gathered_) syncing_.push_back(std::move(piece));
  gathered_.clear();
  Us waitUs = kSyncUs + static_cast<Us>(host_.chance.below(kSyncUs)) + extraUs;
  waitUs = std::max(waitUs, stalledUntilUs - host_.monoUs());
  timer_ = std::make_unique<SyncEvent>(*this, host_);
  host_.arm(waitUs, *timer_);
}

void SimDisk::forget(SyncDone& done) {
  if (waiting_ == &done) waiting_ = nullptr;
}

void SimDisk::keep(const Piece& piece, std::size_t bytes) {
  Bytes& file = lasting_[piece.file];
  if (file.size() < piece.offset + bytes) file.resize(piece.offset + bytes, '\0');
  file.replace(piece.offset, bytes, piece.bytes, 0, bytes);
}

void SimDisk::finish() {
  const bool lasts = !failing && !full;
  if (lasts) {
    for (const Piece& piece : syncing_) keep(piece, piece.bytes.size());
    syncing_.clear();
  }
  SyncDone* done = std::exchange(waiting_, nullptr);
  if (done == nullptr) return;
  done->failed = !lasts;
  done->proceed();
}

void SimDisk::losePower(Chance& chance) {
  timer_.reset();
  waiting_ = nullptr;
  for (Piece& piece : gathered_) syncing_.push_back(std::move(piece));
  gathered_.clear();
  std::vector<std::size_t> turns;  // the first piece of each file's turn
  for (std::size_t i = 0; i < syncing_.size(); ++i)
    if (i == 0 || syncing_[i].file != syncing_[i - 1].file) turns.push_back(i);
  const std::size_t turn = chance.below(turns.size() + 1);
  const std::size_t from = turn < turns.size() ? turns[turn] : syncing_.size();
  const std::size_t to = turn + 1 < turns.size() ? turns[turn + 1] : syncing_.size();
  for (std::size_t i = 0; i < to; ++i) {
    const std::size_t whole = syncing_[i].bytes.size();
    if (i < from || chance.oneIn(2))
      keep(syncing_[i], whole);
    else if (chance.oneIn(2))
      keep(syncing_[i], chance.below(whole + 1));
  }
  syncing_.clear();
}

void SimDisk::wipe() {
  for (Bytes& file : lasting_) file.clear();
}

void SimDisk::corrupt(Chance& chance) {
  Bytes& file = lasting_[chance.below(lasting_.size())];
  if (!file.empty()) file[chance.below(file.size())] ^= static_cast<char>(1 + chance.below(255));
}

}  // namespace stonemount
