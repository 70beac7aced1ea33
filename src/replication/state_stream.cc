#include "replication/state_stream.h"

#include <algorithm>

#include "write_ahead_log/record.h"

namespace stonemount {

namespace {
constexpr std::size_t kLengthBytes = sizeof(std::uint32_t);
}

StateStream::StateStream(std::shared_ptr<const SavedState> state) : state_(std::move(state)) {
  std::size_t end = state_->bytes.size();
  ends_.reserve(state_->values.size());
  for (const SharedBytes& value : state_->values) ends_.push_back(end += kLengthBytes + value.size());
}

Bytes StateStream::part(std::size_t offset, std::size_t most) const {
  Bytes part;
  if (state_ == nullptr) return part;
  if (offset < state_->bytes.size()) part = state_->bytes.substr(offset, most);
  auto end = std::upper_bound(ends_.begin(), ends_.end(), offset + part.size());
  for (; end != ends_.end() && part.size() < most; ++end) {
    const SharedBytes& value = state_->values[static_cast<std::size_t>(end - ends_.begin())];
    const std::size_t begin = *end - kLengthBytes - value.size();
    const std::size_t skipped = offset + part.size() - begin;
    Bytes piece;
    putNumber(piece, static_cast<std::uint32_t>(value.size()));
    piece += value.get();
    part += std::string_view(piece).substr(skipped, most - part.size());
  }
  return part;
}

StateAssembly::StateAssembly(std::size_t stateBytes, const std::vector<SharedBytes>& known) : stateBytes_(stateBytes) {
  known_.reserve(known.size());
  for (const SharedBytes& value : known) known_.emplace(value.get(), value);
}

void StateAssembly::addValue(std::string_view bytes) {
  auto known = known_.find(bytes);
  state_.values.push_back(known != known_.end() ? known->second : SharedBytes(Bytes(bytes)));
}

void StateAssembly::add(std::string_view bytes) {
  received_ += bytes.size();
  const std::size_t lacking = stateBytes_ - std::min(stateBytes_, state_.bytes.size());
  state_.bytes += bytes.substr(0, lacking);
  bytes.remove_prefix(std::min(lacking, bytes.size()));
  rest_ += bytes;
  std::size_t at = 0;
  while (rest_.size() - at >= kLengthBytes) {
    const std::size_t length = getNumber<std::uint32_t>(rest_, at);
    if (rest_.size() - at - kLengthBytes < length) break;
    addValue(std::string_view(rest_).substr(at + kLengthBytes, length));
    at += kLengthBytes + length;
  }
  rest_.erase(0, at);
}

std::optional<SavedState> StateAssembly::take() {
  if (state_.bytes.size() != stateBytes_ || !rest_.empty()) return std::nullopt;
  return std::move(state_);
}

}  // namespace stonemount
