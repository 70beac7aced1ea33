// The wal against a plain model: whatever was synced is there again after any loss of power;
// what was not synced may be missing only from the end (design.md 5).
#include <rapidcheck.h>

#include "simulator/world.h"
#include "write_ahead_log/group_commit.h"

using namespace stonemount;

namespace {
constexpr std::size_t kFiles = 6;
constexpr std::size_t kFileBytes = 16 << 10;

struct Bench {
  explicit Bench(std::uint64_t seed) : world(seed), host(world.addHost("disk", "zone", {1, 1}, {1, 2})) {
    host.disk = std::make_unique<SimDisk>(host, kFiles, kFileBytes);
    host.rise();
  }
  World world;
  SimHost& host;
};

Task syncOnce(WriteAheadLog& wal, bool& done) {
  Job<Done> job = wal.sync();
  co_await job;
  done = true;
}

struct Model {
  std::vector<Bytes> appended;  // since the newest checkpoint began, or ever
  std::size_t synced = 0;
  Bytes checkpoint;
  bool hasCheckpoint = false;
  Bytes nextCheckpoint;
  std::size_t nextFrom = 0;
  bool nextOpen = false;
};

// What comes back must be the model's, cut somewhere after what was synced.
void agree(const OpenResult& opened, Model& model, bool lost) {
  if (std::holds_alternative<LogEmpty>(opened)) {
    RC_ASSERT(model.synced == 0 && !model.hasCheckpoint);
    model = Model();
    return;
  }
  RC_ASSERT(std::holds_alternative<LogContent>(opened));
  const LogContent& content = std::get<LogContent>(opened);
  // The next checkpoint may just have become whole.
  if (model.nextOpen && content.hasCheckpoint && content.checkpoint == model.nextCheckpoint &&
      (!model.hasCheckpoint || model.checkpoint != model.nextCheckpoint)) {
    model.checkpoint = model.nextCheckpoint;
    model.hasCheckpoint = true;
    model.appended.erase(model.appended.begin(), model.appended.begin() + static_cast<std::ptrdiff_t>(model.nextFrom));
    model.synced -= std::min(model.synced, model.nextFrom);
  }
  RC_ASSERT(content.hasCheckpoint == model.hasCheckpoint);
  if (model.hasCheckpoint) RC_ASSERT(content.checkpoint == model.checkpoint);
  RC_ASSERT(content.records.size() >= model.synced);
  RC_ASSERT(content.records.size() <= model.appended.size());
  if (!lost) RC_ASSERT(content.records.size() == model.appended.size());
  for (std::size_t i = 0; i < content.records.size(); ++i) RC_ASSERT(content.records[i].body == model.appended[i]);
  model.appended.resize(content.records.size());
  model.synced = content.records.size();
  model.nextOpen = false;
}

void keepsWhatWasSynced(std::uint64_t seed) {
  Bench bench(seed);
  Chance chance(seed);
  auto wal = std::make_unique<WriteAheadLog>(*bench.host.disk, bench.host, bench.host);
  Model model;
  agree(wal->open(), model, true);
  for (int step = 0; step < 400; ++step) {
    const std::uint64_t pick = chance.below(20);
    if (pick < 12) {
      Bytes body = hexText(chance.next()) + Bytes(chance.below(600), 'x');
      const AppendResult verdict = wal->append(RecordKind::kEntry, body);
      if (std::holds_alternative<std::uint64_t>(verdict)) model.appended.push_back(body);
    } else if (pick < 16) {
      bool done = false;
      TaskRoom room;
      room.start(syncOnce(*wal, done));
      bench.world.runUntil(bench.world.nowUs() + kSecondUs);
      RC_ASSERT(done);
      model.synced = model.appended.size();
      if (model.nextOpen && !wal->checkpointing()) {
        model.checkpoint = model.nextCheckpoint;
        model.hasCheckpoint = true;
        model.appended.erase(model.appended.begin(),
                             model.appended.begin() + static_cast<std::ptrdiff_t>(model.nextFrom));
        model.synced = model.appended.size();
        model.nextOpen = false;
      }
    } else if (pick == 16 && !wal->checkpointing()) {
      model.nextCheckpoint = hexText(chance.next()) + Bytes(chance.below(9000), 'c');
      model.nextFrom = model.appended.size();
      model.nextOpen = true;
      wal->beginCheckpoint(model.nextCheckpoint);
      wal->pumpCheckpoint(chance.below(2) == 0 ? 1 : 100);
    } else if (pick == 17 && wal->checkpointing()) {
      wal->pumpCheckpoint(100);
    } else if (pick == 18) {
      wal.reset();
      bench.host.fall();
      bench.host.disk->losePower(chance);
      bench.host.rise();
      wal = std::make_unique<WriteAheadLog>(*bench.host.disk, bench.host, bench.host);
      agree(wal->open(), model, true);
    }
  }
}

// A flipped byte is never read as a record that was not written.
void neverInvents(std::uint64_t seed) {
  Bench bench(seed);
  Chance chance(seed);
  std::set<Bytes> written;
  {
    WriteAheadLog wal(*bench.host.disk, bench.host, bench.host);
    wal.open();
    for (int i = 0; i < 40; ++i) {
      Bytes body = hexText(chance.next()) + Bytes(chance.below(900), 'y');
      if (std::holds_alternative<std::uint64_t>(wal.append(RecordKind::kEntry, body))) written.insert(body);
    }
    bool done = false;
    TaskRoom room;
    room.start(syncOnce(wal, done));
    bench.world.runUntil(kSecondUs);
  }
  for (int i = 0; i < 3; ++i) bench.host.disk->corrupt(chance);
  WriteAheadLog again(*bench.host.disk, bench.host, bench.host);
  const OpenResult opened = again.open();
  if (auto* content = std::get_if<LogContent>(&opened))
    for (const Record& record : content->records) RC_ASSERT(written.contains(record.body));
}
// One byte rots anywhere in what was synced, and the mark after it: all of it is read, or the loss is seen.
void lossIsSeen(std::uint64_t seed) {
  Bench bench(seed);
  Chance chance(seed);
  std::size_t written = 0;
  {
    WriteAheadLog wal(*bench.host.disk, bench.host, bench.host);
    wal.open();
    for (int round = 0; round < 3; ++round) {
      for (std::uint64_t i = 1 + chance.below(20); i > 0; --i)
        written += std::holds_alternative<std::uint64_t>(wal.append(RecordKind::kEntry, Bytes(chance.below(900), 'y')))
                       ? 1
                       : 0;
      for (int again = 0; again < 2; ++again) {
        bool done = false;
        TaskRoom room;
        room.start(syncOnce(wal, done));
        bench.world.runUntil(bench.world.nowUs() + kSecondUs);
        if (wal.wantsMark()) wal.append(RecordKind::kMark, Bytes());
      }
    }
  }
  bench.host.disk->corrupt(chance);
  WriteAheadLog again(*bench.host.disk, bench.host, bench.host);
  const OpenResult opened = again.open();
  if (auto* content = std::get_if<LogContent>(&opened))
    RC_ASSERT(content->records.size() == written);
  else
    RC_ASSERT(std::holds_alternative<LogDamaged>(opened));
}
// A ring that was filled many times over opens from its newest files: time and memory go with the state
// and what came since, not with the ring.
void opensFromItsNewest(std::uint64_t seed) {
  World world(seed);
  SimHost& host = world.addHost("disk", "zone", {1, 1}, {1, 2});
  constexpr std::size_t kMany = 32, kBig = 256 << 10;
  host.disk = std::make_unique<SimDisk>(host, kMany, kBig);
  host.rise();
  Chance chance(seed);
  Bytes state;
  std::vector<Bytes> since;
  {
    WriteAheadLog wal(*host.disk, host, host);
    wal.open();
    const std::uint64_t rounds = 10 + chance.below(400);
    for (std::uint64_t round = 0; round < rounds; ++round) {
      for (int i = 0; i < 10; ++i) {
        Bytes body = hexText(chance.next()) + Bytes(chance.below(9000), 'z');
        RC_ASSERT(std::holds_alternative<std::uint64_t>(wal.append(RecordKind::kEntry, body)));
        since.push_back(body);
      }
      if (wal.bytesSinceCheckpoint() > wal.ringBytes() / 8) {
        state = hexText(chance.next()) + Bytes(300 << 10, 's');
        since.clear();
        wal.beginCheckpoint(state);
        RC_ASSERT(wal.pumpCheckpoint(1000));
      }
      bool done = false;
      TaskRoom room;
      room.start(syncOnce(wal, done));
      world.runUntil(world.nowUs() + kSecondUs);
      RC_ASSERT(done);
    }
  }
  host.disk->readBytes = 0;
  WriteAheadLog again(*host.disk, host, host);
  const OpenResult opened = again.open();
  RC_ASSERT(std::holds_alternative<LogContent>(opened));
  const LogContent& content = std::get<LogContent>(opened);
  RC_ASSERT(content.checkpoint == state);
  RC_ASSERT(content.records.size() == since.size());
  for (std::size_t i = 0; i < since.size(); ++i) RC_ASSERT(content.records[i].body == since[i]);
  // An eighth of the ring since the checkpoint, its state, a file at either end, one torn, and the heads.
  RC_ASSERT(host.disk->readBytes <= kMany * kBig / 8 + (300 << 10) + 4 * kBig + kMany * (96 << 10));
}
}  // namespace

// As it stands in records that are on disks: whatever is done at a time, and in parts as in one.
void checksumsAsBefore(const std::string& bytes, std::size_t at) {
  std::uint32_t value = ~0U;
  for (const char byte : bytes) {
    value ^= static_cast<unsigned char>(byte);
    for (int bit = 0; bit < 8; ++bit) value = (value & 1) != 0 ? (value >> 1) ^ 0x82F63B78U : value >> 1;
  }
  RC_ASSERT(checksum(bytes) == ~value);
  const std::string_view view(bytes);
  const std::size_t cut = bytes.empty() ? 0 : at % bytes.size();
  RC_ASSERT(checksum(view.substr(cut), checksum(view.substr(0, cut))) == ~value);
}

int main() {
  bool well = rc::check("what was synced lasts", keepsWhatWasSynced);
  well &= rc::check("nothing is invented from damage", neverInvents);
  well &= rc::check("a loss is seen", lossIsSeen);
  well &= rc::check("checksums are what they were", checksumsAsBefore);
  well &= rc::check("a ring opens from its newest files", opensFromItsNewest);
  return well ? 0 : 1;
}
