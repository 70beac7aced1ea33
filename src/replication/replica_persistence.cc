// What a replica keeps on its disk: its memory as a voter, snapshots, and how they are read again (design.md 5, 6.5).
#include <absl/strings/str_cat.h>

#include "replication/replica.h"

namespace stonemount {

namespace {
constexpr std::uint8_t kImageFormat = 2;
constexpr Us kRoomWantedUs = 2 * kSecondUs;        // between checkpoints that only a refusal asks for
constexpr std::size_t kPartsAtOnce = 8;            // of a checkpoint, with each batch of entries
constexpr std::size_t kImageHeadBytes = 64 << 10;  // about what an image takes besides state and verdicts
// Of values: the file that is being filled, and what is dead in others and not yet worth moving (value_log.cc).
constexpr std::size_t kSpareValueFiles = 2;
struct Image {
  std::uint8_t format = kImageFormat;
  VoterMemory memory;
  std::uint64_t end = 0;
  Revision endRevision = 0;
  std::vector<std::pair<CommandId, Bytes>> verdicts;
  Bytes state;
  STONEMOUNT_PACK(format, memory, end, endRevision, verdicts, state)
};
struct MetaRecord {
  std::uint8_t format = kImageFormat;
  VoterMemory memory;
  STONEMOUNT_PACK(format, memory)
};
}  // namespace

// What the log holds, applied in order; false: an unknown format, or a gap that would go unseen for ever.
bool Replica::replay(const LogContent& content) {
  bool sound = !content.hasCheckpoint || loadImage({content.checkpoint, content.values}, true);
  for (const Record& record : content.records) {
    if (!sound) break;
    if (record.kind == RecordKind::kMeta) {
      auto meta = unpack<MetaRecord>(record.body);
      sound = std::holds_alternative<MetaRecord>(meta) && std::get<MetaRecord>(meta).format == kImageFormat;
      if (sound) memory_ = std::get<MetaRecord>(meta).memory;
    } else if (record.kind == RecordKind::kEntry) {
      auto entry = unpack<Entry>(record.body);
      sound = std::holds_alternative<Entry>(entry);
      sound = sound && std::get<Entry>(entry).index <= end_ + 1;  // a gap would go unseen for ever
      if (sound && std::get<Entry>(entry).index == end_ + 1) applyEntry(std::get<Entry>(entry), false);
    }
  }
  return sound;
}

Job<bool> Replica::keepMemory() {
  AppendResult appended = wal_.append(RecordKind::kMeta, pack(MetaRecord{kImageFormat, memory_}));
  if (!std::holds_alternative<std::uint64_t>(appended)) {
    logOverflowed();
    co_return false;
  }
  GroupCommit::Wait wait(groupCommit_);
  co_await wait;
  co_return true;
}

SavedState Replica::image() const {
  Image image;
  image.memory = memory_;
  image.end = end_;
  image.endRevision = endRevision_;
  for (const CommandId& id : verdictOrder_) image.verdicts.emplace_back(id, verdicts_.at(id));
  SavedState state = machine_.saveBeside();
  image.state = std::move(state.bytes);
  return {pack(image, image.state.size() + verdictBytes_ + kImageHeadBytes), std::move(state.values)};
}

bool Replica::loadImage(const SavedState& saved, bool own) {
  auto read = unpack<Image>(saved.bytes);
  Image* image = std::get_if<Image>(&read);
  if (image == nullptr || image->format != kImageFormat) return false;
  if (!machine_.loadBeside({std::move(image->state), saved.values})) return false;
  if (own) memory_ = image->memory;  // another's votes are not mine
  end_ = image->end;
  endRevision_ = image->endRevision;
  appended_ = image->end;
  noteImage(saved);
  recent_.clear(image->endRevision);
  verdicts_.clear();
  verdictOrder_.clear();
  verdictBytes_ = 0;
  for (auto& [id, verdict] : image->verdicts) {
    verdictOrder_.push_back(id);
    verdicts_[id] = verdict;
    verdictBytes_ += verdict.size();
  }
  return true;
}

void Replica::noteImage(const SavedState& saved) {
  imageBytes_ = saved.bytes.size();
  valueBytes_ = 0;
  for (const SharedBytes& value : saved.values) valueBytes_ += value.size();
}

StateBounds Replica::bounds(std::size_t owedValueBytes) const {
  ValueRoom values;
  values.growthBytes = wal_.valueRoomBytes(owedValueBytes, kSpareValueFiles);
  values.commandBytes = wal_.valueRoomBytes(0, 1);
  values.memoryBytes = valueBytes_ + owedValueBytes;
  return stateBounds(wal_.ringBytes(), plan_.memoryBytes, values);
}

void Replica::beginCheckpoint() {
  checkpointImage_ = {std::make_shared<const SavedState>(image()), end_, memory_.view.revision};
  noteImage(*checkpointImage_.state);
  wal_.beginCheckpoint(checkpointImage_.state);
}

void Replica::maybeCheckpoint() {
  // A command was refused for want of room: what was removed since the last one shows only in a new one.
  const Us nowUs = ports_.clock.monoUs();
  const bool roomWanted =
      std::exchange(roomWanted_, false) && wal_.bytesSinceCheckpoint() > 0 && nowUs - checkpointedUs_ > kRoomWantedUs;
  if (!wal_.checkpointing() &&
      (roomWanted || wal_.wantsCheckpoint(imageBytes_, bounds(machine_.owedValueBytes()).growth))) {
    STONEMOUNT_INVARIANT(appended_ <= end_);  // what lies before it on the disk must be in it
    checkpointedUs_ = nowUs;
    beginCheckpoint();
  }
  if (wal_.checkpointing() && !wal_.pumpCheckpoint(kPartsAtOnce)) logOverflowed();
  if (!wal_.checkpointing()) checkpointImage_ = StateImage();
}

// The ring cannot take a record that must be kept: too small for the state (design.md 5.2).
void Replica::logOverflowed() {
  logDoubt("log_overflowed", {{"ring_bytes", absl::StrCat(wal_.ringBytes())}});
  changeState(ReplicaState::kBroken);
}

}  // namespace stonemount
