// Names in a query are told apart by case (docs/incidents, 1): once lowered, each page of results began at 0.
#include "raw_peer.h"

using namespace stonemount;

namespace {
constexpr Address kAnyPort{(127u << 24) | 1, 0};

struct Rig : public sigc::trackable {
  Rig() {
    EXPECT(in.listen());
    in.asked.connect(sigc::mem_fun(*this, &Rig::put));
  }
  void put(const HttpAsk& ask, ReplyPtr reply) {
    asks.push_back(ask);
    reply->whole(200, {}, "");
  }
  Loop loop;
  HttpInEv in{loop, kAnyPort};
  std::vector<HttpAsk> asks;
};
}  // namespace

int main() {
  Rig rig;
  RawEnd caller(rig.loop, rig.in.self());
  caller.say("GET /x?StartAfter=12&startafter=3 HTTP/1.1\r\nHost: h\r\n\r\n");
  UNTIL(rig.loop, rig.asks.size() == 1);
  EXPECT(rig.asks[0].query["StartAfter"] == "12" && rig.asks[0].query["startafter"] == "3");
  return closingLine();
}
