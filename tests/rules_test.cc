// Rules: which route a request takes, what a bad one is told, and that none can hold a node up.
#include <absl/strings/str_cat.h>

#include "asking.h"

using namespace stonemount;

namespace {
Bytes patch(int base, const std::string& fields) {
  return absl::StrCat(R"({"base":)", base, R"(,"routes":[{"name":"ruled","kind":"whole","pool":"models",)", fields,
                      "}]}");
}

void refused(Asking& fleet, const std::string& fields, const std::string& field) {
  const Answer answer = fleet.ask("PATCH", "/op/config", patch(1, fields));
  fleet.expect(answer.status == 400 && answer.has(field),
               absl::StrCat("refused, naming ", field, ": ", fields, " got ", answer.body));
}

std::uint64_t startsAt(Asking& fleet, const std::string& pool) {
  std::uint64_t starts = 0;
  for (Part* worker : fleet.fleet.of(PartKind::kWorker))
    starts += worker->workerPlan.pool == pool ? worker->workerLedger.started : 0;
  return starts;
}

Bytes prompt(std::size_t bytes) { return absl::StrCat(R"({"prompt":")", std::string(bytes, 'p'), R"("})"); }
}  // namespace

int main() {
  FleetShape shape = posilkaShape();
  shape.coldBear = shape.slots;
  Asking fleet(1, shape);
  refused(fleet, R"("when":"bytes <")", "/routes/0/when");
  refused(fleet, R"("when":"bytes + 1")", "/routes/0/when");
  refused(fleet, R"("when":"secrets == 1")", "/routes/0/when");
  refused(fleet, R"("when":"zeros(100000,100000) == 1")", "/routes/0/when");
  refused(fleet, absl::StrCat(R"("when":"bytes < 1)", std::string(400, ' '), "\""), "/routes/0/when");
  refused(fleet, R"("otherwise":"review")", "/routes/0/otherwise");
  refused(fleet, R"("when":"bytes < 10","otherwise":"ruled")", "/routes/0/otherwise");
  refused(fleet, R"("when":"bytes < 10","lots":true)", "/routes/0/when");
  fleet.expect(fleet.ask("GET", "/op/config").has("\"base\":1"), "and nothing was changed");

  const Bytes routes = R"({"base":1,"routes":[
    {"name":"ruled","kind":"whole","pool":"models","when":"bytes < 100 && zone == \"brno\"","otherwise":"long"},
    {"name":"long","kind":"whole","pool":"apps","when":"bytes < 1000"},
    {"name":"a","kind":"whole","pool":"models","when":"false","otherwise":"b"},
    {"name":"b","kind":"whole","pool":"models","when":"false","otherwise":"a"},
    {"name":"lame","kind":"whole","pool":"models","when":"1/(bytes-bytes) > 0 && 1/0 < 0"}]})";
  const Answer pushed = fleet.ask("PATCH", "/op/config", routes);
  fleet.expect(pushed.status == 200, "rules are taken: " + pushed.body);
  fleet.expect(fleet.ask("GET", "/op/config").has("bytes < 100 && zone"), "and shown");
  fleet.fleet.run(2 * kSecondUs);
  const std::uint64_t models = startsAt(fleet, "models"), apps = startsAt(fleet, "apps");
  fleet.expect(fleet.ask("POST", "/v1/answers/ruled", prompt(50)).status == 200, "a short one in brno is served");
  fleet.expect(startsAt(fleet, "models") == models + 1 && startsAt(fleet, "apps") == apps,
               "by the route whose rule holds");
  fleet.expect(fleet.ask("POST", "/v1/answers/ruled", prompt(500)).status == 200, "a longer one is served");
  fleet.expect(startsAt(fleet, "apps") == apps + 1, "by the other");
  fleet.expect(fleet.ask("POST", "/v1/answers/ruled", prompt(50), 1).status == 200, "a short one elsewhere is served");
  fleet.expect(startsAt(fleet, "apps") == apps + 2, "by the other too");
  const Answer none = fleet.ask("POST", "/v1/answers/ruled", prompt(5000));
  fleet.expect(none.status == 404 && none.has("no_route_matches"), "no rule holds: " + none.body);
  fleet.expect(fleet.ask("POST", "/v1/answers/a", prompt(5)).has("no_route_matches"), "a ring of rules ends");
  fleet.expect(fleet.ask("POST", "/v1/answers/lame", prompt(5)).has("no_route_matches"),
               "a rule that fails does not hold");
  std::printf("%d passed, %d failed\n", Asking::passed, Asking::failed);
  return Asking::failed == 0 ? 0 : 1;
}
