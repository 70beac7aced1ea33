// The disk port on real files: writes and syncs happen on a thread of their own (design.md 5.3).
#pragma once

#include <condition_variable>
#include <mutex>
#include <thread>

#include "adapters/loop.h"

namespace stonemount {

class DiskFile : public Disk {
 public:
  DiskFile(Loop& loop, std::string folder, std::size_t files, std::size_t bytes);
  ~DiskFile() override;
  bool open();  // preallocates what is missing
  std::size_t fileCount() const override { return files_; }
  std::size_t fileBytes() const override { return bytes_; }
  std::variant<Bytes, DiskFailure> read(std::size_t file) override;
  std::variant<Bytes, DiskFailure> readHead(std::size_t file, std::size_t wanted) override;
  void write(std::size_t file, std::size_t offset, Bytes bytes) override;
  void sync(SyncDone& done) override;
  void forget(SyncDone& done) override;

 private:
  struct Piece {
    std::size_t file;
    std::size_t offset;
    Bytes bytes;
  };
  void work();
  bool carryOut(const std::vector<Piece>& pieces);
  bool writeWhole(const Piece& piece);
  static void onDone(evutil_socket_t, short, void* self);
  Loop& loop_;
  std::string folder_;
  std::size_t files_;
  std::size_t bytes_;
  std::vector<int> handles_;
  std::vector<Piece> gathered_;  // written since the last sync was asked for
  SyncDone* waiting_ = nullptr;
  event* done_ = nullptr;
  std::mutex mutex_;
  std::condition_variable news_;
  std::vector<Piece> handed_;   // not known to last yet
  std::uint64_t asked_ = 0;     // syncs asked for so far
  std::uint64_t finished_ = 0;  // how many of them are done
  bool failed_ = false;         // the newest one that is
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace stonemount
