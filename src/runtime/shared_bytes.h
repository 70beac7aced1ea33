// Bytes that never change once they are made (design.md 5.6).
#pragma once

#include "stonemount.h"

namespace stonemount {

// Shorter ones are not worth a record of their own.
constexpr std::size_t kLeastValueBytes = 512;

// Copies share the bytes. Compared by content.
class SharedBytes {
 public:
  SharedBytes() = default;
  explicit SharedBytes(Bytes bytes)
      : bytes_(bytes.empty() ? nullptr : std::make_shared<const Bytes>(std::move(bytes))) {}
  const Bytes& get() const { return bytes_ != nullptr ? *bytes_ : none(); }
  std::size_t size() const { return get().size(); }
  // The same for copies of one, and for nothing else while one of them lives.
  const Bytes* identity() const { return bytes_.get(); }
  friend bool operator==(const SharedBytes& left, const SharedBytes& right) {
    return left.bytes_ == right.bytes_ || left.get() == right.get();
  }

 private:
  static const Bytes& none() {
    static const Bytes empty;
    return empty;
  }
  std::shared_ptr<const Bytes> bytes_;
};

// A packed state whose long values stand beside it, in the order in which it names them: what keeps or copies the
// state need not write a value again that it has already.
struct SavedState {
  Bytes bytes;
  std::vector<SharedBytes> values;
};

}  // namespace stonemount
