// Checkpoints whose long values are written once: whatever a loss of power keeps, what is read back is a whole
// checkpoint, the older or the newer, with every value that it names, and the records after it; files of dead values
// come back to the ring (design.md 5.6).
#include "expect.h"
#include "simulator/world.h"
#include "step_disk.h"
#include "write_ahead_log/write_ahead_log.h"

using namespace stonemount;

namespace {
constexpr std::size_t kFileBytes = 16 << 10;
constexpr std::uint64_t kSeeds = 40;
constexpr int kRounds = 160;

struct Promise {
  Bytes state;
  std::vector<SharedBytes> values;
  std::size_t entries = 0;  // that were appended before it began
};

class Scene {
 public:
  Scene(std::uint64_t seed, std::size_t files)
      : world_(seed), host_(world_.addHost("m", "z", {1, 1}, {1, 2})), chance_(seed), disk_(files, kFileBytes) {
    host_.rise();
    wal_ = std::make_unique<WriteAheadLog>(disk_, host_, host_);
    wal_->open();
    promises_.emplace_back();
  }
  // Values come and go so that so much of the ring lives, and checkpoints follow one another.
  void round(std::size_t liveBytes) {
    appendEntry();
    if (!wal_->checkpointing() && chance_.oneIn(2)) {
      changeValues(liveBytes);
      begin();
    }
    if (wal_->checkpointing()) expect(wal_->pumpCheckpoint(1 + chance_.below(2)), "a checkpoint finds room");
    const bool tries = chance_.oneIn(6);
    sync(tries);
    if (chance_.oneIn(20)) losePower();
  }
  // All values die; one checkpoint later their files are free.
  void forgetAll() {
    live_.clear();
    while (wal_->checkpointing()) {
      wal_->pumpCheckpoint(100);
      sync(false);
    }
    begin();
    wal_->pumpCheckpoint(100);
    sync(false);
    expect(wal_->valueFiles() == 0, "no file is kept for dead values: " + std::to_string(wal_->valueFiles()));
  }
  std::size_t written() const { return written_; }
  std::size_t mostFiles() const { return mostFiles_; }

 private:
  // No two are alike: what an earlier life left on the disk must not look like what was written there since.
  Bytes randomBytes(std::size_t length) {
    Bytes bytes;
    while (bytes.size() < length) bytes += hexText(chance_.next());
    return bytes;
  }
  void appendEntry() {
    Bytes body = randomBytes(8 + chance_.below(300));
    const bool taken = std::holds_alternative<std::uint64_t>(wal_->append(RecordKind::kEntry, body));
    expect(taken, "an entry finds room");
    if (taken) entries_.push_back(std::move(body));
  }
  // The oldest go first, and now and then some other.
  void changeValues(std::size_t liveBytes) {
    std::size_t bytes = 0;
    for (const SharedBytes& value : live_) bytes += value.size();
    const std::size_t added = 2 + chance_.below(6);
    for (std::size_t i = 0; i < added; ++i) {
      live_.push_back(SharedBytes(randomBytes(kLeastValueBytes + chance_.below(1500))));
      bytes += live_.back().size();
      written_ += live_.back().size();
    }
    while (bytes > liveBytes) {
      const std::size_t victim = chance_.oneIn(5) ? chance_.below(live_.size()) : 0;
      bytes -= live_[victim].size();
      live_.erase(live_.begin() + static_cast<std::ptrdiff_t>(victim));
    }
  }
  void begin() {
    Promise promise{"state " + std::to_string(entries_.size()) + Bytes(chance_.below(2000), 's'), live_,
                    entries_.size()};
    if (chance_.oneIn(4) && !live_.empty()) promise.values.push_back(live_.front());  // one value named twice
    wal_->beginCheckpoint(std::make_shared<const SavedState>(SavedState{promise.state, promise.values}));
    promises_.push_back(std::move(promise));
  }
  static Task syncOnce(WriteAheadLog& wal) {
    Job<Done> job = wal.sync();
    co_await job;
  }
  void sync(bool triesEveryCut) {
    TaskRoom room;
    room.start(syncOnce(*wal_));
    if (triesEveryCut)
      for (StepDisk& left : disk_.everyCut()) {
        WriteAheadLog reopened(left, host_, host_);
        expect(holds(reopened.open()).has_value(), "what is read back was promised, " + left.told);
      }
    disk_.finish();
    syncedEntries_ = entries_.size();
    if (promises_.size() > 1 && !wal_->checkpointing()) promises_.erase(promises_.begin());
    mostFiles_ = std::max(mostFiles_, wal_->valueFiles());
  }
  // A write torn at its first byte may complete what an earlier life left there, which was never synced either.
  bool mayStand(const Bytes& body, std::size_t entry) const {
    return body == entries_[entry] || (entry >= syncedEntries_ && lost_.contains(body));
  }
  // Which of the promises it is.
  std::optional<std::size_t> holds(const OpenResult& opened) {
    if (std::holds_alternative<LogEmpty>(opened))
      return syncedEntries_ == 0 && promises_.front().entries == 0 ? std::optional<std::size_t>(0) : std::nullopt;
    auto* content = std::get_if<LogContent>(&opened);
    if (content == nullptr) return std::nullopt;
    for (std::size_t i = 0; i < promises_.size(); ++i) {
      const Promise& promise = promises_[i];
      if (content->checkpoint != promise.state || content->values != promise.values) continue;
      const std::size_t end = promise.entries + content->records.size();
      if (end < syncedEntries_ || end > entries_.size()) return std::nullopt;
      for (std::size_t entry = promise.entries; entry < end; ++entry)
        if (!mayStand(content->records[entry - promise.entries].body, entry)) return std::nullopt;
      return i;
    }
    return std::nullopt;
  }
  // One of the states that a loss of power may leave, at any step of the next sync.
  void losePower() {
    appendEntry();
    if (wal_->checkpointing()) wal_->pumpCheckpoint(1);
    std::vector<StepDisk> cuts = disk_.everyCut();
    wal_.reset();
    disk_ = cuts[chance_.below(cuts.size())];
    wal_ = std::make_unique<WriteAheadLog>(disk_, host_, host_);
    const OpenResult opened = wal_->open();
    const std::optional<std::size_t> kept = holds(opened);
    expect(kept.has_value(), "a ring opens after a loss of power");
    if (!kept) return;
    promises_ = {promises_[*kept]};
    auto* content = std::get_if<LogContent>(&opened);
    const std::size_t keptEntries = promises_.front().entries + (content != nullptr ? content->records.size() : 0);
    for (std::size_t entry = keptEntries; entry < entries_.size(); ++entry) lost_.insert(entries_[entry]);
    entries_.resize(keptEntries);
    for (std::size_t entry = promises_.front().entries; entry < keptEntries; ++entry)
      entries_[entry] = content->records[entry - promises_.front().entries].body;
    syncedEntries_ = entries_.size();
    live_ = content != nullptr ? content->values : std::vector<SharedBytes>();
    promises_.front().values = live_;
  }
  World world_;
  SimHost& host_;
  Chance chance_;
  StepDisk disk_;
  std::unique_ptr<WriteAheadLog> wal_;
  std::vector<SharedBytes> live_;
  std::vector<Bytes> entries_;
  std::set<Bytes> lost_;           // appended, and gone with an earlier life
  std::vector<Promise> promises_;  // the first is the one that counts
  std::size_t syncedEntries_ = 0;
  std::size_t written_ = 0;
  std::size_t mostFiles_ = 0;
};

// Packed beside and read again; a value that is missing, or of another length, is refused.
void statesAreWholeOrRefused() {
  const std::vector<SharedBytes> list = {SharedBytes("short"), SharedBytes(Bytes(kLeastValueBytes, 'a')),
                                         SharedBytes(Bytes(5000, 'b')), SharedBytes()};
  const SavedState saved = packBeside(list);
  expect(saved.values.size() == 2 && saved.bytes.size() < 100, "long values stand beside the state");
  auto read = unpack<std::vector<SharedBytes>>(saved.bytes, &saved.values);
  expect(std::holds_alternative<std::vector<SharedBytes>>(read) && std::get<std::vector<SharedBytes>>(read) == list,
         "and are read with it");
  const std::vector<SharedBytes> fewer = {saved.values[0]}, others = {saved.values[1], saved.values[0]};
  using Read = std::vector<SharedBytes>;
  expect(std::holds_alternative<BadBytes>(unpack<Read>(saved.bytes)), "a state without its values is refused");
  expect(std::holds_alternative<BadBytes>(unpack<Read>(saved.bytes, &fewer)), "so is one with too few");
  expect(std::holds_alternative<BadBytes>(unpack<Read>(saved.bytes, &others)), "so is one with others");
  const Bytes whole = pack(list);
  expect(std::holds_alternative<Read>(unpack<Read>(whole)), "packed whole it needs none");
}
}  // namespace

int main() {
  statesAreWholeOrRefused();
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const std::size_t files = 8 + seed % 3 * 8;
    // At most so much lives that the log keeps what a state of 2 KiB and its entries need.
    const std::size_t liveBytes = (files - 4) * kFileBytes * (2 + seed % 3) / 5;
    Scene scene(seed, files);
    for (int i = 0; i < kRounds; ++i) scene.round(liveBytes);
    scene.forgetAll();
    if (seed <= 3)
      std::printf("%zu files: %zu bytes of values written, %zu live at most, in %zu files\n", files, scene.written(),
                  liveBytes, scene.mostFiles());
  }
  return expectationsVerdict();
}
