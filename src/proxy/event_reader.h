// Splits an answer into its events, whole ones only (text/event-stream; design.md 9.6).
#pragma once

#include "stonemount.h"

namespace stonemount {

struct PassEvent {
  std::uint64_t id = 0;
  Bytes data;  // its data lines, joined by line feeds
  Bytes raw;   // as it came, with the empty line that ends it
};

class EventReader {
 public:
  // Appends the events that became whole. False: longer than any event may be, or without a number as id.
  bool feed(const Bytes& bytes, std::vector<PassEvent>& events);
  bool between() const { return rest_.empty(); }  // nothing of an event that is not whole yet
  static constexpr std::size_t kLongest = 4 << 20;

 private:
  static std::optional<PassEvent> read(Bytes raw);
  Bytes rest_;
  std::size_t scanned_ = 0;
};

}  // namespace stonemount
