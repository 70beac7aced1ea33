// What counts as proof that a request has not run, over all ends of a connection to a server: refused, closed or reset
// before the request, at each of its bytes, and at each byte of the answer (design.md 9.6).
#include "raw_peer.h"

using namespace stonemount;

namespace {
enum class End : std::uint8_t { kClose, kReset };
constexpr End kEnds[] = {End::kClose, End::kReset};
const std::string kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Seal: 1\r\n\r\nthe whole";

void finish(RawEnd& end, End how) { how == End::kClose ? end.close() : end.reset(); }

// The bytes of one request, as the server gets them.
std::string requestText() {
  OutRig rig;
  Gathered got(rig.open());
  UNTIL(rig.loop, rig.server.ends.size() == 1 && rig.end(0).has("body-1"));
  return rig.end(0).heard;
}

// On a channel of its own, or on one that was kept after an answer.
struct Channel {
  explicit Channel(bool kept) {
    if (kept) rig.answered(0);
    got = std::make_unique<Gathered>(rig.open());
    UNTIL(rig.loop, rig.server.ends.size() == 1);
    end().take();
    end().setReading(false);
  }
  RawEnd& end() { return rig.end(0); }
  OutRig rig;
  std::unique_ptr<Gathered> got;
};

void atEachByteOfTheRequest(const std::string& request) {
  for (const bool kept : {false, true}) {
    for (const End how : kEnds) {
      for (std::size_t bytes = 0; bytes <= request.size(); ++bytes) {
        Channel channel(kept);
        UNTIL(channel.rig.loop, channel.end().heard.size() + channel.end().pending() == request.size());
        if (bytes > 0) channel.end().readSome(bytes);
        finish(channel.end(), how);
        UNTIL(channel.rig.loop, channel.got->over());
        EXPECT(channel.got->broken && !channel.got->broken->provenUnsent && !channel.got->head);
      }
    }
  }
}

// Also where the last byte that is missing is the answer's own last.
void atEachByteOfTheAnswer(const std::string& request) {
  for (const End how : kEnds) {
    for (std::size_t bytes = 0; bytes < kAnswer.size(); ++bytes) {
      Channel channel(false);
      UNTIL(channel.rig.loop, channel.end().pending() == request.size());
      channel.end().readSome(request.size());
      channel.end().say(kAnswer.substr(0, bytes));
      finish(channel.end(), how);
      UNTIL(channel.rig.loop, channel.got->over());
      EXPECT(channel.got->broken && !channel.got->broken->provenUnsent && !channel.got->ended);
    }
  }
}

// Where it is called unsent, the server has not one byte of it; and a channel that never opened is proof.
void endedBeforeTheRequest() {
  for (const End how : kEnds) {
    OutRig rig;
    rig.answered(0);
    rig.end(0).take();
    finish(rig.end(0), how);
    Gathered got(rig.open("2"));
    UNTIL(rig.loop, got.over() || rig.server.ends.size() > 1);
    if (!got.over()) {  // it had heard of the end, and opened another
      EXPECT(rig.end(0).heard.empty());
      continue;
    }
    EXPECT(got.broken && (!got.broken->provenUnsent || rig.end(0).heard.empty()));
  }
  OutRig rig;
  Address nobody;
  {
    RawServer gone(rig.loop);
    nobody = gone.address;
  }
  Gathered refused(rig.out.open(nobody, rig.ask(), rig.via()));
  UNTIL(rig.loop, refused.over());
  EXPECT(refused.broken && refused.broken->provenUnsent);
}
}  // namespace

int main() {
  const std::string request = requestText();
  EXPECT(request.ends_with("body-1"));
  atEachByteOfTheRequest(request);
  atEachByteOfTheAnswer(request);
  endedBeforeTheRequest();
  return closingLine();
}
