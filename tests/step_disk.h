// A disk of which every state that a loss of power may leave can be listed (design.md 13.2).
#pragma once

#include "write_ahead_log/write_ahead_log.h"

namespace stonemount {

class StepDisk : public Disk {
 public:
  StepDisk(std::size_t files, std::size_t bytes) : bytes_(bytes), lasting_(files, Bytes(bytes, '\0')) {}
  std::size_t fileCount() const override { return lasting_.size(); }
  std::size_t fileBytes() const override { return bytes_; }
  std::variant<Bytes, DiskFailure> read(std::size_t file) override { return lasting_[file]; }
  void write(std::size_t file, std::size_t offset, Bytes bytes) override {
    pieces_.push_back({file, offset, std::move(bytes)});
  }
  void sync(SyncDone& done) override { waiting_ = &done; }
  void forget(SyncDone& done) override {
    if (waiting_ == &done) waiting_ = nullptr;
  }
  // All that was written lasts, and who waits for it is told.
  void finish() {
    for (const Piece& piece : pieces_) keep(piece, 0, piece.bytes.size());
    pieces_.clear();
    if (SyncDone* done = std::exchange(waiting_, nullptr)) done->proceed();
  }
  // A whole sync of that log.
  void finishWhole(WriteAheadLog& wal) {
    TaskRoom room;
    room.start(syncing(wal));
    finish();
  }
  // Files are synced one after the other. In the one whose turn it is: what was written up to a place is there and
  // no more; the next write is torn at some byte; or one is missing and a later one is there.
  std::vector<StepDisk> everyCut() const {
    std::vector<StepDisk> cuts;
    for (std::size_t i = 0; i <= pieces_.size(); ++i) {
      cuts.push_back(after(i));
      cuts.back().told = "before piece " + std::to_string(i);
      if (i == pieces_.size()) break;
      const std::size_t whole = pieces_[i].bytes.size();
      for (const std::size_t torn : {std::size_t{1}, std::size_t{9}, kRecordHeaderBytes - 1, kRecordHeaderBytes,
                                     kRecordHeaderBytes + 1, whole / 2, whole - 1}) {
        if (torn >= whole) continue;
        cuts.push_back(after(i));
        cuts.back().keep(pieces_[i], 0, torn);
        cuts.back().told = "piece " + std::to_string(i) + " torn at " + std::to_string(torn);
        cuts.push_back(after(i));
        cuts.back().keep(pieces_[i], torn, whole - torn);
        cuts.back().told = "piece " + std::to_string(i) + " from " + std::to_string(torn);
      }
      for (std::size_t later = i + 1; later < pieces_.size() && pieces_[later].file == pieces_[i].file; ++later) {
        cuts.push_back(after(i));
        cuts.back().keep(pieces_[later], 0, pieces_[later].bytes.size());
        cuts.back().told = "piece " + std::to_string(i) + " missing, " + std::to_string(later) + " there";
      }
    }
    return cuts;
  }
  std::string told;  // how this one came about

 private:
  struct Piece {
    std::size_t file;
    std::size_t offset;
    Bytes bytes;
  };
  static Task syncing(WriteAheadLog& wal) {
    Job<Done> job = wal.sync();
    co_await job;
  }
  StepDisk after(std::size_t pieces) const {
    StepDisk left(*this);
    for (std::size_t i = 0; i < pieces; ++i) left.keep(pieces_[i], 0, pieces_[i].bytes.size());
    left.pieces_.clear();
    left.waiting_ = nullptr;
    return left;
  }
  void keep(const Piece& piece, std::size_t from, std::size_t length) {
    lasting_[piece.file].replace(piece.offset + from, length, piece.bytes, from, length);
  }
  std::size_t bytes_;
  std::vector<Bytes> lasting_;
  std::vector<Piece> pieces_;
  SyncDone* waiting_ = nullptr;
};

}  // namespace stonemount
