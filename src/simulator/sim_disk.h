// A simulated disk: what was synced lasts; what was not may be lost, whole or in part (design.md 13.2).
#pragma once

#include "stonemount.h"

namespace stonemount {

class SimHost;

class SimDisk : public Disk {
 public:
  SimDisk(SimHost& host, std::size_t files, std::size_t bytes);
  std::size_t fileCount() const override { return lasting_.size(); }
  std::size_t fileBytes() const override { return bytes_; }
  std::variant<Bytes, DiskFailure> read(std::size_t file) override;
  std::variant<Bytes, DiskFailure> readHead(std::size_t file, std::size_t wanted) override;
  std::uint64_t readBytes = 0;
  void write(std::size_t file, std::size_t offset, Bytes bytes) override;
  void sync(SyncDone& done) override;
  void forget(SyncDone& done) override;
  // The process is gone. Lost power may keep any part of what was not synced: files are synced one after
  // the other, and in the one whose turn it was each write is there, missing, or torn at any byte.
  void losePower(Chance& chance);
  void wipe();
  void corrupt(Chance& chance);  // one byte of what had lasted
  Us extraUs = 0;                // a slow disk
  Us stalledUntilUs = 0;         // a stalled one
  bool failing = false;          // neither reads nor writes
  bool full = false;             // takes no more bytes

 private:
  friend class SyncEvent;
  struct Piece {
    std::size_t file;
    std::size_t offset;
    Bytes bytes;
  };
  void keep(const Piece& piece, std::size_t bytes);
  void finish();
  SimHost& host_;
  std::size_t bytes_;
  std::vector<Bytes> lasting_;
  std::vector<Piece> gathered_;
  std::vector<Piece> syncing_;
  SyncDone* waiting_ = nullptr;
  std::unique_ptr<Continuation> timer_;
};

}  // namespace stonemount
