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

#include "stonemount.h"

namespace stonemount {

// cereal archives over a plain string, little-endian as all our machines are. A length that the
// bytes cannot hold is refused before anything is allocated for it.
class PackOut : public cereal::OutputArchive<PackOut, cereal::AllowEmptyClassElision> {
 public:
  PackOut() : cereal::OutputArchive<PackOut, cereal::AllowEmptyClassElision>(this) {}
  void put(const void* data, std::size_t size) { bytes.append(static_cast<const char*>(data), size); }
  Bytes bytes;
};
class PackIn : public cereal::InputArchive<PackIn, cereal::AllowEmptyClassElision> {
 public:
  explicit PackIn(const Bytes& bytes)
      : cereal::InputArchive<PackIn, cereal::AllowEmptyClassElision>(this), bytes_(bytes) {}
  std::size_t left() const { return bytes_.size() - at_; }
  void get(void* data, std::size_t size) {
    if (size > left()) throw cereal::Exception("too short");
    if (size == 0) return;  // of an empty one there may be no place to copy to
    std::memcpy(data, bytes_.data() + at_, size);
    at_ += size;
  }

 private:
  const Bytes& bytes_;
  std::size_t at_ = 0;
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

template <class Value>
std::variant<Value, BadBytes> unpack(const Bytes& bytes) {
  try {
    PackIn archive(bytes);
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

#define STONEMOUNT_PACK(...)          \
  template <class Archive>            \
  void serialize(Archive& archive_) { \
    archive_(__VA_ARGS__);            \
  }

}  // namespace stonemount

CEREAL_SETUP_ARCHIVE_TRAITS(stonemount::PackIn, stonemount::PackOut)
