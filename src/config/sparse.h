// Packing of what is mostly as it is by default: fields that are nothing are left out (design.md 3.3).
#pragma once

#include "runtime/pack.h"

namespace stonemount {

template <class Archive, class... Fields>
void packSparse(Archive& archive, Fields&... fields) {
  static_assert(sizeof...(Fields) <= 32);
  std::uint32_t there = 0;
  std::uint32_t bit = 1;
  if constexpr (std::is_same_v<Archive, PackOut>) {
    ((there |= fields == Fields{} ? 0 : bit, bit <<= 1), ...);
    archive(there);
    bit = 1;
    (((there & bit) != 0 ? archive(fields) : archive, bit <<= 1), ...);
  } else {
    archive(there);
    (((there & bit) != 0 ? archive(fields) : (fields = Fields{}, archive), bit <<= 1), ...);
  }
}

}  // namespace stonemount
