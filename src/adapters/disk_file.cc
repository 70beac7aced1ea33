#include "adapters/disk_file.h"

#include <absl/strings/str_cat.h>
#include <errno.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace stonemount {

DiskFile::DiskFile(Loop& loop, std::string folder, std::size_t files, std::size_t bytes)
    : loop_(loop), folder_(std::move(folder)), files_(files), bytes_(bytes) {}

DiskFile::~DiskFile() {
  if (thread_.joinable()) {
    {
      std::lock_guard<std::mutex> lock(mutex_);
      stopping_ = true;
    }
    news_.notify_all();
    thread_.join();
  }
  if (done_ != nullptr) event_free(done_);
  for (const int handle : handles_) close(handle);
}

namespace {
bool syncFolder(const std::string& path) {
  const int handle = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (handle < 0) return false;
  const bool synced = fsync(handle) == 0;
  close(handle);
  return synced;
}
std::string parentOf(std::string path) {
  while (path.size() > 1 && path.back() == '/') path.pop_back();
  const std::size_t slash = path.rfind('/');
  if (slash == std::string::npos) return ".";
  return slash == 0 ? "/" : path.substr(0, slash);
}
}  // namespace

// A name lasts once its folder was synced after it was made, and by itself: so the folder is synced after the last
// file was made and before anything is written, also where an earlier life made the files and was killed before it
// came to that. Until then nothing that counts is in any of them.
bool DiskFile::open() {
  mkdir(folder_.c_str(), 0755);
  for (std::size_t i = 0; i < files_; ++i) {
    const std::string path = absl::StrCat(folder_, "/ring-", i);
    const int handle = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (handle < 0) return false;
    handles_.push_back(handle);
    struct stat about {};
    fstat(handle, &about);
    if (static_cast<std::size_t>(about.st_size) < bytes_) {
      if (posix_fallocate(handle, 0, static_cast<off_t>(bytes_)) != 0) return false;
      if (fsync(handle) != 0) return false;
    }
  }
  if (!syncFolder(folder_)) return false;
  syncFolder(parentOf(folder_));  // where the folder itself was made here; it may not be ours to open
  done_ = event_new(loop_.base(), -1, EV_PERSIST, &DiskFile::onDone, this);
  event_add(done_, nullptr);
  thread_ = std::thread(&DiskFile::work, this);
  return true;
}

std::variant<Bytes, DiskFailure> DiskFile::read(std::size_t file) { return readHead(file, bytes_); }

std::variant<Bytes, DiskFailure> DiskFile::readHead(std::size_t file, std::size_t wanted) {
  Bytes bytes(wanted, '\0');
  std::size_t at = 0;
  while (at < wanted) {
    const ssize_t got = pread(handles_[file], bytes.data() + at, wanted - at, static_cast<off_t>(at));
    if (got < 0) return DiskFailure{};
    if (got == 0) break;
    at += static_cast<std::size_t>(got);
  }
  return bytes;
}

void DiskFile::write(std::size_t file, std::size_t offset, Bytes bytes) {
  gathered_.push_back({file, offset, std::move(bytes)});
}

void DiskFile::sync(SyncDone& done) {
  STONEMOUNT_INVARIANT(waiting_ == nullptr);
  waiting_ = &done;
  {
    std::lock_guard<std::mutex> lock(mutex_);
    for (Piece& piece : gathered_) handed_.push_back(std::move(piece));  // behind those of one that was forgotten
    gathered_.clear();
    ++asked_;
  }
  news_.notify_all();
}

void DiskFile::forget(SyncDone& done) {
  if (waiting_ == &done) waiting_ = nullptr;
}

bool DiskFile::writeWhole(const Piece& piece) {
  std::size_t at = 0;
  while (at < piece.bytes.size()) {
    const ssize_t put = pwrite(handles_[piece.file], piece.bytes.data() + at, piece.bytes.size() - at,
                               static_cast<off_t>(piece.offset + at));
    if (put < 0 && errno == EINTR) continue;
    if (put <= 0) return false;
    at += static_cast<std::size_t>(put);
  }
  return true;
}

bool DiskFile::carryOut(const std::vector<Piece>& pieces) {
  for (std::size_t i = 0; i < pieces.size(); ++i) {
    const Piece& piece = pieces[i];
    if (!writeWhole(piece)) return false;
    // A file lasts before the next is written: after a loss of power no later record stands behind a gap,
    // which would look like the loss of what was synced (design.md 5.5).
    const bool ends = i + 1 == pieces.size() || pieces[i + 1].file != piece.file;
    if (ends && fdatasync(handles_[piece.file]) != 0) return false;
  }
  return true;
}

void DiskFile::work() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    while (asked_ == finished_ && !stopping_) news_.wait(lock);
    if (stopping_) return;
    const std::uint64_t upTo = asked_;
    std::vector<Piece> pieces = std::exchange(handed_, {});
    lock.unlock();
    const bool well = carryOut(pieces);
    lock.lock();
    finished_ = upTo;
    failed_ = !well;
    // The kernel may forget what it could not write once it has said so: all of it is written again, and first.
    if (!well)
      handed_.insert(handed_.begin(), std::make_move_iterator(pieces.begin()), std::make_move_iterator(pieces.end()));
    event_active(done_, EV_READ, 0);
  }
}

void DiskFile::onDone(evutil_socket_t, short, void* given) {
  DiskFile& self = *static_cast<DiskFile*>(given);
  {
    std::lock_guard<std::mutex> lock(self.mutex_);
    if (self.finished_ != self.asked_) return;  // of one that was forgotten: the next is still under way
  }
  SyncDone* done = std::exchange(self.waiting_, nullptr);
  if (done == nullptr) return;
  done->failed = self.failed_;
  done->proceed();
}

}  // namespace stonemount
