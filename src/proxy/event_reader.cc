#include "proxy/event_reader.h"

#include <absl/strings/numbers.h>

namespace stonemount {

std::optional<PassEvent> EventReader::read(Bytes raw) {
  PassEvent event;
  bool named = false, first = true;
  for (std::size_t at = 0; at < raw.size();) {
    std::size_t end = raw.find('\n', at);
    if (end == Bytes::npos) end = raw.size();
    std::string_view line(raw.data() + at, end - at);
    at = end + 1;
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    const std::string_view field = line.substr(0, colon);
    std::string_view value = line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    if (field == "id") {
      named = absl::SimpleAtoi(absl::string_view(value.data(), value.size()), &event.id);
    } else if (field == "data") {
      if (!std::exchange(first, false)) event.data += '\n';
      event.data += value;
    }
  }
  if (!named) return std::nullopt;
  event.raw = std::move(raw);
  return event;
}

bool EventReader::feed(const Bytes& bytes, std::vector<PassEvent>& events) {
  rest_ += bytes;
  std::size_t from = 0;
  while (true) {
    const std::size_t plain = rest_.find("\n\n", scanned_);
    const std::size_t carriage = rest_.find("\r\n\r\n", scanned_);
    std::size_t end = Bytes::npos;
    if (plain != Bytes::npos) end = plain + 2;
    if (carriage != Bytes::npos && carriage + 4 < end) end = carriage + 4;
    if (end == Bytes::npos) break;
    std::optional<PassEvent> event = read(rest_.substr(from, end - from));
    if (!event) return false;
    events.push_back(std::move(*event));
    from = scanned_ = end;
  }
  rest_.erase(0, from);
  scanned_ = rest_.size() > 3 ? rest_.size() - 3 : 0;
  return rest_.size() <= kLongest;
}

}  // namespace stonemount
