// cereal, kept behind two functions; what it throws stops here (design.md 3.3).
#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstring>
#include <map>
#include <set>

#include "runtime/shared_bytes.h"

namespace stonemount {

// cereal archives over a plain string, little-endian as all our machines are. A length that the
// bytes cannot hold is refused before anything is allocated for it.
class PackOut : public cereal::OutputArchive<PackOut, cereal::AllowEmptyClassElision> {
 public:
  PackOut() : cereal::OutputArchive<PackOut, cereal::AllowEmptyClassElision>(this) {}
  void put(const void* data, std::size_t size) { bytes.append(static_cast<const char*>(data), size); }
  Bytes bytes;
  std::vector<SharedBytes>* values = nullptr;  // takes the long shared bytes; none: they are packed with the rest
};
class PackIn : public cereal::InputArchive<PackIn, cereal::AllowEmptyClassElision> {
 public:
  explicit PackIn(const Bytes& bytes, const std::vector<SharedBytes>* values = nullptr)
      : cereal::InputArchive<PackIn, cereal::AllowEmptyClassElision>(this), bytes_(bytes), values_(values) {}
  std::size_t left() const { return bytes_.size() - at_; }
  void get(void* data, std::size_t size) {
    if (size > left()) throw cereal::Exception("too short");
    if (size == 0) return;  // of an empty one there may be no place to copy to
    std::memcpy(data, bytes_.data() + at_, size);
    at_ += size;
  }
  // The next of the values that stand beside the packed bytes.
  SharedBytes nextValue(std::size_t size) {
    if (values_ == nullptr || valueAt_ >= values_->size()) throw cereal::Exception("a value is missing");
    const SharedBytes& value = (*values_)[valueAt_++];
    if (value.size() != size) throw cereal::Exception("a value of another length");
    return value;
  }

 private:
  const Bytes& bytes_;
  const std::vector<SharedBytes>* values_ = nullptr;
  std::size_t at_ = 0;
  std::size_t valueAt_ = 0;
};

template <class Number>
requires std::is_arithmetic_v<Number>
void CEREAL_SAVE_FUNCTION_NAME(PackOut& archive, const Number& number) { archive.put(&number, sizeof(number)); }
template <class Number>
requires std::is_arithmetic_v<Number>
void CEREAL_LOAD_FUNCTION_NAME(PackIn& archive, Number& number) {
  if constexpr (std::is_same_v<Number, bool>) {
    std::uint8_t byte = 0;
    archive.get(&byte, 1);
    if (byte > 1) throw cereal::Exception("neither true nor false");
    number = byte == 1;
  } else {
    archive.get(&number, sizeof(number));
  }
}
template <class Length>
void CEREAL_SAVE_FUNCTION_NAME(PackOut& archive, const cereal::SizeTag<Length>& tag) {
  const std::uint64_t size = tag.size;
  archive.put(&size, sizeof(size));
}
template <class Length>
void CEREAL_LOAD_FUNCTION_NAME(PackIn& archive, cereal::SizeTag<Length>& tag) {
  std::uint64_t size = 0;
  archive.get(&size, sizeof(size));
  if (size > archive.left()) throw cereal::Exception("a length beyond the bytes");
  tag.size = size;
}
template <class Data>
void CEREAL_SAVE_FUNCTION_NAME(PackOut& archive, const cereal::BinaryData<Data>& data) {
  archive.put(data.data, static_cast<std::size_t>(data.size));
}
template <class Data>
void CEREAL_LOAD_FUNCTION_NAME(PackIn& archive, cereal::BinaryData<Data>& data) {
  archive.get(data.data, static_cast<std::size_t>(data.size));
}

// Shared bytes are packed as a string is; where they stand beside the packed bytes, their length alone is, marked.
constexpr std::uint64_t kStandsBeside = 1ULL << 63;

inline void CEREAL_SAVE_FUNCTION_NAME(PackOut& archive, const SharedBytes& shared) {
  const bool beside = archive.values != nullptr && shared.size() >= kLeastValueBytes;
  const std::uint64_t length = shared.size() | (beside ? kStandsBeside : 0);
  archive.put(&length, sizeof(length));
  if (beside)
    archive.values->push_back(shared);
  else
    archive.put(shared.get().data(), shared.size());
}
inline void CEREAL_LOAD_FUNCTION_NAME(PackIn& archive, SharedBytes& shared) {
  std::uint64_t length = 0;
  archive.get(&length, sizeof(length));
  if ((length & kStandsBeside) != 0) {
    shared = archive.nextValue(length & ~kStandsBeside);
    return;
  }
  if (length > archive.left()) throw cereal::Exception("a length beyond the bytes");
  Bytes bytes(length, '\0');
  archive.get(bytes.data(), bytes.size());
  shared = SharedBytes(std::move(bytes));
}

template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(PackOut& archive, cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}
template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(PackIn& archive, cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

struct BadBytes {};

// `expectedBytes`: about how long it will be, so that a large one is not copied as it grows.
template <class Value>
Bytes pack(const Value& value, std::size_t expectedBytes = 0) {
  PackOut archive;
  archive.bytes.reserve(expectedBytes);
  archive(value);
  return std::move(archive.bytes);
}

// With long shared bytes beside the packed ones.
template <class Value>
SavedState packBeside(const Value& value, std::size_t expectedBytes = 0) {
  SavedState saved;
  PackOut archive;
  archive.values = &saved.values;
  archive.bytes.reserve(expectedBytes);
  archive(value);
  saved.bytes = std::move(archive.bytes);
  return saved;
}

template <class Value>
std::variant<Value, BadBytes> unpack(const Bytes& bytes, const std::vector<SharedBytes>* values = nullptr) {
  try {
    PackIn archive(bytes, values);
    Value value;
    archive(value);
    return value;
  } catch (const std::exception&) {
    return BadBytes{};
  }
}

// Which alternative of a packed variant the bytes hold, without reading it; none: too short.
inline std::optional<std::size_t> packedAlternative(const Bytes& bytes) {
  std::int32_t index = 0;
  if (bytes.size() < sizeof(index)) return std::nullopt;
  std::memcpy(&index, bytes.data(), sizeof(index));
  return static_cast<std::size_t>(index);
}

// Fields that were added at the end of a record which stands last in what is packed: where older bytes end before
// them they are as by default.
template <class Archive, class... Fields>
void packTrailing(Archive& archive, Fields&... fields) {
  if constexpr (std::is_same_v<Archive, PackIn>) {
    if (archive.left() == 0) return;
  }
  archive(fields...);
}

#define STONEMOUNT_PACK(...)          \
  template <class Archive>            \
  void serialize(Archive& archive_) { \
    archive_(__VA_ARGS__);            \
  }

}  // namespace stonemount

CEREAL_SETUP_ARCHIVE_TRAITS(stonemount::PackIn, stonemount::PackOut)
