// cereal, kept behind two functions; what it throws stops here (design.md 3.3).
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cereal/types/set.hpp>
#include <map>
#include <set>
#include <sstream>

#include "stonemount.h"

namespace stonemount {

struct BadBytes {};

template <class Value>
Bytes pack(const Value& value) {
  std::ostringstream out(std::ios::binary);
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(value);
  }
  return std::move(out).str();
}

template <class Value>
std::variant<Value, BadBytes> unpack(const Bytes& bytes) {
  try {
    std::istringstream in(bytes, std::ios::binary);
    cereal::PortableBinaryInputArchive archive(in);
    Value value;
    archive(value);
    return value;
  } catch (const std::exception&) {
    return BadBytes{};
  }
}

#define STONEMOUNT_PACK(...)                \
  template <class Archive>                  \
  void serialize(Archive& archive_) {       \
    archive_(__VA_ARGS__);                  \
  }

}  // namespace stonemount
