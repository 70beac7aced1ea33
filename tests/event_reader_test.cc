// Events come out whole, each once and byte for byte as they came, however the bytes are split
// (design.md 9.6). What is no event of a number, or longer than any may be, is refused.
#include "proxy/event_reader.h"

#include <rapidcheck.h>

using namespace stonemount;

namespace {
Bytes randomWord(Chance& chance) {
  Bytes word;
  const std::uint64_t length = chance.below(12);
  for (std::uint64_t i = 0; i < length; ++i) word += "ab:: \x01\xc3{\""[chance.below(9)];
  return word;
}

// An event as a sender may write it: its fields in any order, others' among them, some without a colon.
PassEvent randomEvent(Chance& chance, std::uint64_t id) {
  PassEvent event;
  event.id = id;
  const Bytes feed = chance.oneIn(3) ? "\r\n" : "\n";
  const std::uint64_t lines = chance.below(4);
  const std::uint64_t idAt = chance.below(lines + 1);
  bool first = true;
  for (std::uint64_t i = 0; i <= lines; ++i) {
    if (i == idAt) event.raw += (chance.oneIn(2) ? "id: " : "id:") + std::to_string(id) + feed;
    if (i == lines) break;
    const Bytes word = randomWord(chance);
    const std::uint64_t kind = chance.below(4);
    if (kind == 0) event.raw += "weight-versions: 3" + feed;
    if (kind == 1) event.raw += "x" + feed;
    if (kind < 2) continue;
    event.raw += "data: " + word + feed;
    event.data += (first ? "" : "\n") + word;
    first = false;
  }
  event.raw += feed;
  return event;
}

std::vector<PassEvent> randomEvents(Chance& chance) {
  std::vector<PassEvent> events;
  std::uint64_t id = chance.below(5);
  for (std::uint64_t i = chance.below(8); i > 0; --i) events.push_back(randomEvent(chance, id += 1 + chance.below(2)));
  return events;
}

Bytes joined(const std::vector<PassEvent>& events) {
  Bytes bytes;
  for (const PassEvent& event : events) bytes += event.raw;
  return bytes;
}

// Feeds in random pieces; after each, all events that are whole by then are out.
bool feedInPieces(EventReader& reader, const Bytes& bytes, Chance& chance, std::vector<PassEvent>& read) {
  for (std::size_t at = 0; at < bytes.size();) {
    const std::size_t length = 1 + chance.below(chance.oneIn(2) ? 3 : 60);
    if (!reader.feed(bytes.substr(at, length), read)) return false;
    at += std::min(length, bytes.size() - at);
    const Bytes out = joined(read);
    RC_ASSERT(bytes.compare(0, out.size(), out) == 0);
    RC_ASSERT(reader.between() == (out.size() == at));
  }
  return true;
}

void splitAnyhow(std::uint64_t seed) {
  Chance chance(seed);
  const std::vector<PassEvent> events = randomEvents(chance);
  const Bytes bytes = joined(events);
  EventReader reader;
  std::vector<PassEvent> read;
  RC_ASSERT(feedInPieces(reader, bytes, chance, read));
  RC_ASSERT(reader.between());
  RC_ASSERT(read.size() == events.size());
  for (std::size_t i = 0; i < events.size(); ++i) {
    RC_ASSERT(read[i].id == events[i].id);
    RC_ASSERT(read[i].data == events[i].data);
    RC_ASSERT(read[i].raw == events[i].raw);
  }
}

// Broken off anywhere: only what is whole came out, and that something is left is known.
void brokenOff(std::uint64_t seed) {
  Chance chance(seed);
  const std::vector<PassEvent> events = randomEvents(chance);
  const Bytes bytes = joined(events);
  const std::size_t cut = chance.below(bytes.size() + 1);
  EventReader reader;
  std::vector<PassEvent> read;
  RC_ASSERT(feedInPieces(reader, bytes.substr(0, cut), chance, read));
  std::size_t whole = 0, length = 0;
  while (whole < events.size() && length + events[whole].raw.size() <= cut) length += events[whole++].raw.size();
  RC_ASSERT(read.size() == whole);
  RC_ASSERT(reader.between() == (length == cut));
}

void refused(std::uint64_t seed) {
  Chance chance(seed);
  for (const char* event :
       {"data: a\n\n", "id: x\ndata: a\n\n", "id: -1\n\n", "id:\n\n", "id: 99999999999999999999\n\n", ": note\n\n"}) {
    EventReader reader;
    std::vector<PassEvent> read;
    const std::vector<PassEvent> before = randomEvents(chance);
    RC_ASSERT(!feedInPieces(reader, joined(before) + event, chance, read));
    RC_ASSERT(read.size() <= before.size());
  }
}

// Nobody's bytes stop the process, and none of them are held beyond the bound.
void anything(std::uint64_t seed) {
  Chance chance(seed);
  EventReader reader;
  std::vector<PassEvent> read;
  for (int i = 0; i < 50; ++i) {
    Bytes bytes;
    for (std::uint64_t length = chance.below(40); length > 0; --length) bytes += "id:0\n\r a"[chance.below(8)];
    if (!reader.feed(bytes, read)) return;
  }
}

void tooLong() {
  EventReader reader;
  std::vector<PassEvent> read;
  const Bytes piece(1 << 20, 'x');
  std::size_t fed = 0;
  while (reader.feed(piece, read)) RC_ASSERT((fed += piece.size()) <= EventReader::kLongest);
  RC_ASSERT(fed == EventReader::kLongest);
  RC_ASSERT(read.empty());
}
}  // namespace

int main() {
  bool well = rc::check("split anyhow", splitAnyhow);
  well &= rc::check("broken off", brokenOff);
  well &= rc::check("refused", refused);
  well &= rc::check("anything", anything);
  well &= rc::check("too long", tooLong);
  return well ? 0 : 1;
}
