// A saved state as one run of bytes, for whoever copies it: the packed state, and behind it each of its values with its
// length in front (design.md 6.7).
#pragma once

#include "runtime/shared_bytes.h"

namespace stonemount {

// The whole state, packed, as it stood after an entry.
struct StateImage {
  std::shared_ptr<const SavedState> state;  // none: there is none
  std::uint64_t end = 0;
  Revision revision = 0;  // of the view in which it was made
};

// The side from which it is copied.
class StateStream {
 public:
  StateStream() = default;
  explicit StateStream(std::shared_ptr<const SavedState> state);
  std::size_t size() const { return ends_.empty() ? stateBytes() : ends_.back(); }
  std::size_t stateBytes() const { return state_ != nullptr ? state_->bytes.size() : 0; }
  // At most so many bytes from there on.
  Bytes part(std::size_t offset, std::size_t most) const;

 private:
  std::shared_ptr<const SavedState> state_;
  std::vector<std::size_t> ends_;  // of each value, in the run of bytes
};

// The side that copies, part by part, in order.
class StateAssembly {
 public:
  // `known`: values held already; one that comes again is not held twice.
  StateAssembly(std::size_t stateBytes, const std::vector<SharedBytes>& known);
  void add(std::string_view bytes);
  std::size_t received() const { return received_; }
  // None: it ends within a value.
  std::optional<SavedState> take();

 private:
  void addValue(std::string_view bytes);
  std::size_t stateBytes_;
  absl::flat_hash_map<std::string_view, SharedBytes> known_;
  SavedState state_;
  Bytes rest_;  // of a value that has not come whole
  std::size_t received_ = 0;
};

}  // namespace stonemount
