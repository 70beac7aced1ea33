// Power is cut at every step of writing a ring, its checkpoints and its long records among them, with every part of the
// write that was under way kept: what is read back holds a whole checkpoint, the older or the newer, and all records
// that were synced after it (design.md 5.1, 5.2). Exhaustive: no seeds.
#include <cstdio>

#include "simulator/world.h"
#include "step_disk.h"
#include "write_ahead_log/write_ahead_log.h"

using namespace stonemount;

namespace {
int passed = 0, failed = 0;
void expect(bool well, const std::string& what) {
  ++(well ? passed : failed);
  if (!well && failed < 20) std::printf("FAILED %s\n", what.c_str());
}

// What a ring was told to keep, and how much of it is synced.
struct Promise {
  struct State {
    Bytes bytes;
    std::size_t from = 0;  // entries before it are in it
  };
  std::vector<Bytes> entries;  // all that were ever appended
  std::size_t synced = 0;      // of them
  std::vector<State> states;   // of the checkpoints begun; the first is the one that counts
};

// The content must be a whole state of the promise and the entries after it, to a place not before the synced end.
// The number of entries in all, or nothing where a promise was broken.
std::optional<std::size_t> holds(const OpenResult& opened, const Promise& promise) {
  if (std::holds_alternative<LogEmpty>(opened))
    return promise.synced == 0 && promise.states.front().from == 0 ? std::optional<std::size_t>(0) : std::nullopt;
  auto* content = std::get_if<LogContent>(&opened);
  if (content == nullptr) return std::nullopt;
  for (const Promise::State& state : promise.states) {
    if (content->checkpoint != state.bytes) continue;
    const std::size_t end = state.from + content->records.size();
    if (end < promise.synced || end > promise.entries.size()) return std::nullopt;
    for (std::size_t i = 0; i < content->records.size(); ++i)
      if (content->records[i].body != promise.entries[state.from + i]) return std::nullopt;
    return end;
  }
  return std::nullopt;
}

struct Scene {
  Scene(std::size_t files, std::size_t bytes) : world(1), host(world.addHost("m", "z", {1, 1}, {1, 2})) {
    host.rise();
    disk = std::make_unique<StepDisk>(files, bytes);
    promise.states.push_back({});
    wal = std::make_unique<WriteAheadLog>(*disk, host, host);
    wal->open();
  }
  bool append(std::size_t length) {
    Bytes body = std::to_string(promise.entries.size()) + ":" + Bytes(length, 'e');
    if (!std::holds_alternative<std::uint64_t>(wal->append(RecordKind::kEntry, body))) return false;
    promise.entries.push_back(std::move(body));
    return true;
  }
  void begin(std::size_t length) {
    promise.states.push_back(
        {"state " + std::to_string(promise.entries.size()) + Bytes(length, 's'), promise.entries.size()});
    wal->beginCheckpoint(promise.states.back().bytes);
  }
  Task syncOnce() {
    Job<Done> job = wal->sync();
    co_await job;
  }
  // Every cut of this sync is tried before it is let through.
  void sync() {
    TaskRoom room;
    room.start(syncOnce());
    tryCuts();
    disk->finish();
    promise.synced = promise.entries.size();
    if (promise.states.size() > 1 && !wal->checkpointing()) promise.states.erase(promise.states.begin());
  }
  void tryCuts() {
    for (const StepDisk& left : disk->everyCut()) {
      StepDisk again = left;
      WriteAheadLog reopened(again, host, host);
      const OpenResult opened = reopened.open();
      ++cuts;
      expect(holds(opened, promise).has_value(),
             "cut " + std::to_string(cuts) + " at entry " + std::to_string(promise.entries.size()) + " " + again.told);
    }
  }
  World world;
  SimHost& host;
  std::unique_ptr<StepDisk> disk;
  std::unique_ptr<WriteAheadLog> wal;
  Promise promise;
  std::size_t cuts = 0;
};

// Three times round the ring, with entries between the parts of each checkpoint.
void everyStep(std::size_t entryBytes, std::size_t stateBytes, std::size_t partsAtATime, std::size_t files) {
  Scene scene(files, 8 << 10);
  std::size_t checkpoints = 0;
  for (int round = 0; round < 200 && checkpoints < 8; ++round) {
    expect(scene.append(entryBytes) && scene.append(entryBytes / 3), "the ring takes what comes");
    if (!scene.wal->checkpointing() && scene.wal->wantsCheckpoint(stateBytes, scene.wal->ringBytes() / 4))
      scene.begin(stateBytes), ++checkpoints;
    if (scene.wal->checkpointing()) expect(scene.wal->pumpCheckpoint(partsAtATime), "and its checkpoints");
    scene.sync();
  }
  expect(checkpoints == 8, "eight checkpoints were written");
  std::printf("entries of %zu, state of %zu: %zu cuts tried\n", entryBytes, stateBytes, scene.cuts);
}

// A process that ends in the middle of each checkpoint: its parts are left in the ring. How often in a row that may
// happen before the ring is full; and one that is let through frees it all.
void deathsInARow(std::size_t partOfRing, std::size_t least) {
  constexpr std::size_t kFiles = 16, kBytes = 64 << 10;
  const std::size_t stateBytes = kFiles * kBytes / partOfRing - 4096;
  std::size_t borne = 0;
  for (std::size_t deaths = 0; deaths < 12; ++deaths) {
    Scene scene(kFiles, kBytes);
    scene.begin(stateBytes);
    expect(scene.wal->pumpCheckpoint(100), "the first checkpoint fits");
    scene.disk->finishWhole(*scene.wal);
    while (!scene.wal->wantsCheckpoint(stateBytes, scene.wal->ringBytes() / 4)) scene.append(900);
    bool well = true;
    for (std::size_t i = 0; i <= deaths && well; ++i) {
      scene.wal->beginCheckpoint(Bytes(stateBytes, 's'));
      well = scene.wal->pumpCheckpoint(stateBytes / (16 << 10));  // all but its end
      scene.disk->finishWhole(*scene.wal);
      if (i == deaths) break;
      scene.wal = std::make_unique<WriteAheadLog>(*scene.disk, scene.host, scene.host);
      expect(std::holds_alternative<LogContent>(scene.wal->open()), "a ring with half a checkpoint opens");
      well = well && scene.append(900);
    }
    well = well && scene.wal->pumpCheckpoint(100);
    scene.disk->finishWhole(*scene.wal);
    if (!well || scene.wal->checkpointing()) break;
    for (int i = 0; i < 200; ++i) well = well && scene.append(900);
    expect(well, "and what it left is free again");
    borne = deaths;
  }
  std::printf("state of 1/%zu of the ring: %zu deaths in a row within a checkpoint are borne\n", partOfRing, borne);
  expect(borne >= least, "so many deaths in a row within a checkpoint are borne");
}

// Started over and over, with less than an eighth of the ring between: a checkpoint comes all the same.
void startsOften() {
  Scene scene(8, 64 << 10);
  bool well = true;
  std::size_t checkpoints = 0;
  for (int life = 0; life < 100; ++life) {
    for (int i = 0; i < 20; ++i) well = well && scene.append(900);
    if (scene.wal->wantsCheckpoint(1000, scene.wal->ringBytes() / 4)) {
      scene.begin(1000);
      well = well && scene.wal->pumpCheckpoint(100);
      ++checkpoints;
    }
    scene.disk->finishWhole(*scene.wal);
    scene.promise.synced = scene.promise.entries.size();
    if (scene.promise.states.size() > 1) scene.promise.states.erase(scene.promise.states.begin());
    scene.wal = std::make_unique<WriteAheadLog>(*scene.disk, scene.host, scene.host);
    const OpenResult opened = scene.wal->open();
    expect(holds(opened, scene.promise) == scene.promise.synced, "each life finds what the one before it synced");
  }
  expect(well && checkpoints > 10, "a ring that is opened often never fills: " + std::to_string(checkpoints));
}

// Pieces of a long record whose last one was lost are no part of the next long record.
void piecesOfAnEarlierLife() {
  Scene scene(8, 8 << 10);
  scene.append(100);
  scene.sync();
  scene.append(7000);  // in pieces, the last of which is lost
  TaskRoom room;
  room.start(scene.syncOnce());
  const std::vector<StepDisk> cuts = scene.disk->everyCut();
  std::size_t tried = 0;
  for (const StepDisk& left : cuts) {
    StepDisk again = left;
    WriteAheadLog next(again, scene.host, scene.host);
    const std::optional<std::size_t> end = holds(next.open(), scene.promise);
    expect(end.has_value(), "a long record is there as a whole or not at all");
    Bytes body(6500, 'n');
    next.append(RecordKind::kEntry, body);
    again.finishWhole(next);
    WriteAheadLog last(again, scene.host, scene.host);
    const OpenResult opened = last.open();
    auto* content = std::get_if<LogContent>(&opened);
    expect(content != nullptr && content->records.back().body == body, "and the next one is itself");
    ++tried;
  }
  std::printf("long records: %zu cuts tried\n", tried);
}
}  // namespace

int main() {
  everyStep(300, 3000, 1, 6);
  everyStep(1500, 6000, 1, 6);
  everyStep(5000, 9000, 8, 10);  // each entry in pieces
  startsOften();
  piecesOfAnEarlierLife();
  deathsInARow(4, 1);   // the most that the head lets the state grow to
  deathsInARow(10, 5);  // 10,000 routes on a disk of 64 MB
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
