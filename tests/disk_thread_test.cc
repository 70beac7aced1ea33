// The disk port on real files and its thread: what was synced is in the files, writes that come while a sync is under
// way belong to the next one, and a disk may be closed at any moment. Built under the thread sanitizer, since on a
// machine with several cores the two threads may take turns at any point (docs/platform.md, "On the machines").
#include <cstdio>

#include "adapters/disk_file.h"
#include "scratch_folder.h"

using namespace stonemount;

namespace {
constexpr std::size_t kFiles = 3;
constexpr std::size_t kBytes = 64 << 10;
int passed = 0, failed = 0;

void expect(bool well, const char* what) {
  ++(well ? passed : failed);
  if (!well) std::printf("FAILED %s\n", what);
}

struct Stopper : public SyncDone {
  explicit Stopper(Loop& given) : loop(given) {}
  void proceed() override { loop.stop(); }
  Loop& loop;
};

using Model = std::vector<Bytes>;

void writeSome(DiskFile& disk, Model& model, Chance& chance) {
  const std::size_t file = chance.below(kFiles);
  const std::size_t offset = chance.below(kBytes - 2048);
  const Bytes bytes(1 + chance.below(2048), static_cast<char>('a' + chance.below(26)));
  model[file].replace(offset, bytes.size(), bytes);
  disk.write(file, offset, bytes);
}

bool holds(DiskFile& disk, const Model& model) {
  for (std::size_t file = 0; file < kFiles; ++file) {
    auto read = disk.read(file);
    if (!std::holds_alternative<Bytes>(read) || std::get<Bytes>(read) != model[file]) return false;
  }
  return true;
}

void keepsWhatWasSynced(std::uint64_t seed) {
  const ScratchFolder folder;
  Chance chance(seed);
  Model model(kFiles, Bytes(kBytes, '\0'));
  {
    Loop loop;
    DiskFile disk(loop, folder.path(), kFiles, kBytes);
    expect(disk.open(), "a new folder opens");
    for (int round = 0; round < 40; ++round) {
      for (std::uint64_t count = chance.below(6); count > 0; --count) writeSome(disk, model, chance);
      const Model synced = model;
      Stopper done(loop);
      disk.sync(done);
      for (std::uint64_t count = chance.below(4); count > 0; --count) writeSome(disk, model, chance);
      loop.run();
      expect(!done.failed, "a sync succeeds");
      expect(holds(disk, synced), "it brought what came before it, and nothing that came later");
    }
    Stopper done(loop);
    disk.sync(done);
    loop.run();
  }
  Loop loop;
  DiskFile again(loop, folder.path(), kFiles, kBytes);
  expect(again.open() && holds(again, model), "and it is there when the disk is opened again");
}

void closesAtAnyMoment(std::uint64_t seed) {
  const ScratchFolder folder;
  Chance chance(seed);
  Model model(kFiles, Bytes(kBytes, '\0'));
  for (int round = 0; round < 12; ++round) {
    Loop loop;
    Stopper done(loop);
    DiskFile disk(loop, folder.path(), kFiles, kBytes);
    expect(disk.open(), "a folder opens after a close in the middle");
    for (int count = 0; count < 8; ++count) writeSome(disk, model, chance);
    disk.sync(done);
    if (chance.oneIn(2)) disk.forget(done);
  }
}
}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    keepsWhatWasSynced(seed);
    closesAtAnyMoment(seed);
  }
  std::printf("disk_thread_test: %d passed, %d failed\n", passed, failed);
  return failed == 0 ? 0 : 1;
}
