// The simulated HTTP ports keep the promises of the real ones: targets, cuts, echoes (design.md 3.2, 13.2).
#include <rapidcheck.h>

#include "simulator/world.h"

using namespace stonemount;

namespace {
class Server : public sigc::trackable {
 public:
  explicit Server(SimHost& host) { host.asked.connect(sigc::mem_fun(*this, &Server::put)); }
  std::vector<HttpAsk> asks;
  int gone = 0;

 private:
  void put(const HttpAsk& ask, ReplyPtr reply) {
    asks.push_back(ask);
    held_.push_back(reply);
    reply->gone.connect(sigc::mem_fun(*this, &Server::left));
    reply->begin(200, {{"attempt-id", ask.path == "/wrong" ? "late" : "1"}});
    reply->chunk("ab");
    if (ask.path == "/cut")
      reply->abort();
    else if (ask.path != "/wrong")
      reply->end();
  }
  void left() { ++gone; }
  std::vector<ReplyPtr> held_;
};

class Caller : public sigc::trackable {
 public:
  Caller(SimHost& host, const Address& server, const HttpAsk& ask) {
    HttpVia via;
    via.keep = true;
    via.echoName = "attempt-id";
    via.echoValue = "1";
    flow_ = host.open(server, ask, via);
    flow_->piece.connect(sigc::mem_fun(*this, &Caller::put));
  }
  Bytes body;
  bool headed = false, ended = false, broken = false;

 private:
  void put(HttpPiece piece) {
    RC_ASSERT(!ended && !broken);
    if (std::holds_alternative<HttpHead>(piece))
      headed = true;
    else if (auto* data = std::get_if<HttpData>(&piece))
      body += data->bytes;
    else
      (std::holds_alternative<HttpEnd>(piece) ? ended : broken) = true;
  }
  std::unique_ptr<HttpFlow> flow_;
};

HttpAsk askFor(const std::string& target, const std::string& path = "") {
  HttpAsk ask;
  ask.method = "GET";
  ask.target = target;
  ask.path = path;
  return ask;
}

void keepsPromises(std::uint64_t seed) {
  World world(seed);
  const Address here{1, 1}, there{2, 1};
  SimHost& client = world.addHost("client", "a", {1, 2}, here);
  SimHost& host = world.addHost("server", world.chance().oneIn(2) ? "a" : "b", {2, 2}, there);
  client.rise();
  host.rise();
  Server server(host);
  Caller plain(client, there, askFor("/p%20q/?x=1%2B2&y&&z=a=b"));
  HttpAsk split = askFor("", "/s");
  split.query = {{"k", "a b&c"}, {"l", "2"}};
  Caller encoded(client, there, split);
  Caller cut(client, there, askFor("/cut"));
  Caller wrong(client, there, askFor("/wrong"));
  world.runUntil(kSecondUs);
  RC_ASSERT(plain.ended && plain.body == "ab" && encoded.ended);
  RC_ASSERT(cut.broken && cut.headed && cut.body == "ab");
  RC_ASSERT(wrong.broken && !wrong.headed && wrong.body.empty() && server.gone == 1);
  for (HttpAsk& ask : server.asks) {
    if (ask.path == "/s") RC_ASSERT(ask.target == "/s?k=a%20b%26c&l=2");
    if (ask.path != "/p%20q/") continue;
    RC_ASSERT(ask.target == "/p%20q/?x=1%2B2&y&&z=a=b" && ask.query["x"] == "1+2" && ask.query["z"] == "a=b");
  }
  RC_ASSERT(server.asks.size() == 4U);
}
}  // namespace

int main() { return rc::check("simulated HTTP keeps the real one's promises", keepsPromises) ? 0 : 1; }
