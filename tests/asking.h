// A simulated fleet that a test asks over HTTP, one question at a time.
#pragma once

#include <cstdio>

#include "simulator/checker.h"

namespace stonemount {

struct Answer {
  int status = 0;
  Bytes body;
  HeaderMap headers;
  bool has(const std::string& text) const { return body.find(text) != Bytes::npos; }
};

class Asking {
 public:
  using Setting = void (*)(Fleet&, std::uint64_t);  // what is done to the machines before they start
  explicit Asking(std::uint64_t seed, const FleetShape& shape = posilkaShape(), Setting before = nullptr)
      : fleet(seed, shape),
        host(fleet.world().addHost("operators", "outside", {(127u << 24) | 999, 7000}, {(127u << 24) | 999, 8000})) {
    host.rise();
    ports_ = std::make_unique<Ports>(host.ports());
    operators = std::make_unique<SimOperator>(fleet, host, ledger);
    if (before != nullptr) before(fleet, seed);
    for (Part& part : fleet.parts()) fleet.start(part);
    fleet.runUntilReady(30 * kSecondUs);
    operators->pushRoutes(true);
    operators->createEvent("night", 24LL * 3600 * kSecondUs);
    while (!operators->idle()) fleet.run(50 * kMilliUs);
    fleet.run(2 * kSecondUs);
  }
  ~Asking() { operators.reset(); }
  Answer ask(const std::string& method, const std::string& path, const Bytes& body = "", std::size_t node = 0) {
    Answer answer;
    HttpAsk wish;
    wish.method = method;
    wish.path = path.substr(0, path.find('?'));
    if (path.find('?') != std::string::npos) {
      const std::string query = path.substr(path.find('?') + 1);
      wish.query[query.substr(0, query.find('='))] = query.substr(query.find('=') + 1);
    }
    wish.body = body;
    bool done = false;
    TaskRoom room;
    room.start(run(wish, fleet.of(PartKind::kNode)[node]->host->http(), answer, done));
    for (int i = 0; i < 4000 && !done; ++i) fleet.run(5 * kMilliUs);
    return answer;
  }
  void expect(bool well, const std::string& what) {
    ++(well ? passed : failed);
    if (!well) std::printf("FAILED %s\n", what.c_str());
  }
  // Runs until it holds, 30 s at most.
  template <class Condition>
  bool until(const Condition& condition) {
    for (int i = 0; i < 600 && !condition.holds(); ++i) fleet.run(50 * kMilliUs);
    return condition.holds();
  }
  Fleet fleet;
  SimHost& host;
  OperatorLedger ledger;
  std::unique_ptr<SimOperator> operators;
  inline static int passed = 0, failed = 0;

 private:
  Task run(HttpAsk wish, Address node, Answer& answer, bool& done) {
    HttpCall call(*ports_, node, wish, 15 * kSecondUs);
    const HttpVerdict verdict = co_await call;
    if (auto* whole = std::get_if<HttpWhole>(&verdict)) {
      answer.status = whole->status;
      answer.body = whole->body;
      answer.headers = whole->headers;
    }
    done = true;
  }
  std::unique_ptr<Ports> ports_;
};

}  // namespace stonemount
