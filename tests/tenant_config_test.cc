// SHORT on the shared sites: a valid configuration that names tenants is acknowledged by any core, read back whole, and
// stands after a loss; an invalid one changes nothing.
#include "platform_rig.h"
#include "tenant_texts.h"

using namespace stonemount;

namespace {
constexpr char kConfig[] = "/api/configuration";

// Exactly the operator's example for the shared sites.
constexpr char kSharedPut[] =
    R"({"Revision":7,"Routes":[{"Name":"r-4htkueh","Authority":"ficu95.example","PathPrefix":"/lohu930/",)"
    R"("Type":"streaming","GuardMs":5000,"TargetMs":400,"Precedence":0,"Distribution":[{"Service":"huvo11a",)"
    R"("Share":90},{"Service":"wuno96b","Share":10}],"MaxAttempts":2,"Anonymous":false,"Affinity":true,)"
    R"("Resumable":true,"GapTargetMs":250}],"Services":[{"Name":"huvo11a","HealthPath":"/health",)"
    R"("MaxConnections":640,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupRateS":24.0,"Engine":{"Capacity":32,)"
    R"("CacheTokens":623227,"CacheTokenBytes":18432,"LinkMbps":260000.0,"Interval":29,"Models":[{"Name":"m"}]}},)"
    R"({"Name":"wuno96b","HealthPath":"/health","MaxConnections":510,"Protocol":"h1","Tls":false,"WarmupS":0.0,)"
    R"("WarmupRateS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderGuardMs":3000,)"
    R"("IdleGuardMs":15000},"Subscribers":[{"Name":"huka270","Credentials":["thhkmgjqnirth5mgjy5r",)"
    R"("cpihhacruddedev3nax7"],"Precedence":1,"RatePerS":140,"BurstSize":140}]})";

std::string canonical(const std::string& text) {
  JsonVerdict read = parseJson(text);
  auto* document = std::get_if<JsonDocument>(&read);
  return document == nullptr ? "not JSON: " + text : canonicalJson(*document);
}

// The operator of one fleet: each call goes to another core than the one before.
class Operator {
 public:
  explicit Operator(std::uint64_t seed) : rig(seed) {}
  int send(const char* method, std::uint64_t base, const std::string& body) {
    return rig.ask(core_++ % 3, method, kConfig, body, std::to_string(base)).status;
  }
  void valid(const std::string& what, const char* method, std::uint64_t base, const std::string& body) {
    int status = send(method, base, body);
    rig.expect(status == 200, absl::StrCat("SHORT: ", what, ": a valid ", method, " gave ", status));
    status = send(method, base, body);
    rig.expect(status == 200, absl::StrCat("SHORT: ", what, ": the same ", method, " again gave ", status));
  }
  void readsBack(const std::string& what, const std::string& wanted) {
    for (std::size_t core = 0; core < 3; ++core) {
      const Heard heard = rig.ask(core, "GET", kConfig);
      rig.expect(heard.status == 200 && canonical(heard.body) == canonical(wanted),
                 absl::StrCat(what, " reads back as ", heard.status, " ", heard.body.substr(0, 600)));
    }
  }
  void loseAll() {
    for (PlatformRig::CoreProcess& one : rig.cores) rig.kill(one, true);
    for (PlatformRig::CoreProcess& one : rig.cores) rig.start(one);
    rig.run(6 * kSecondUs);
  }
  PlatformRig rig;

 private:
  std::size_t core_ = 0;
};

const std::string kAnna = tenantText({"anna", {"key-a1", "key-a2"}});
const std::string kBert = tenantText({"bert", {"key-b1"}});

void sharedExample(std::uint64_t seed) {
  Operator user(seed);
  user.valid("the shared sites' example", "PUT", 0, kSharedPut);
  user.readsBack("the shared sites' example", kSharedPut);
  user.valid("a key more", "PATCH", 7, tenantPatch(9, {tenantText({"huka270", {"thhkmgjqnirth5mgjy5r", "next"}})}));
  user.valid("a key less", "PATCH", 9, tenantPatch(12, {tenantText({"huka270", {"next"}})}));
  user.loseAll();
  user.valid("after a loss of all", "PATCH", 12, tenantPatch(13, {kAnna}));
}

// What is said of a tenant beside its name and keys, or left out, is as it was sent.
void wholeConfigurations(std::uint64_t seed) {
  Operator user(seed);
  const std::vector<std::string> tenants = {
      tenantText({"none", {"key-1"}, R"("RatePerS":null,"BurstSize":null)"}),
      tenantText({"zero", {"key-2"}, R"("RatePerS":0,"BurstSize":0,"Precedence":0)"}),
      tenantText({"half", {"key-3"}, R"("RatePerS":0.5,"BurstSize":7.25)"}),
      tenantText({"great", {"key-4"}, R"("RatePerS":1000000,"BurstSize":2000000,"Precedence":9)"}),
      tenantText({"further", {"key-6", "key-5"}, R"("Owner":{"x":[1,0.1,"\u00e9"]},"Note":null)"}),
      R"({"Name":"a name of its own/\"","Credentials":["key 7 \u00e9"]})",
      R"({"Name":"keyless","Credentials":[]})"};
  const std::string first = tenantPut(5, tenants);
  user.valid("tenants of all kinds", "PUT", 0, first);
  user.readsBack("tenants of all kinds", first);
  const std::string reversed = tenantPut(8, {tenants.rbegin(), tenants.rend()});
  user.valid("another order", "PUT", 5, reversed);
  user.readsBack("another order", reversed);
  const std::string moved = tenantPut(9, {tenantText({"zero", {"key-1"}}), tenantText({"none", {"key-2"}})});
  user.valid("keys change hands", "PUT", 8, moved);
  user.readsBack("keys change hands", moved);
  const std::string anonymous =
      withTenants(putText(10, {tenantRoute("open", true), tenantRoute("keyed", false)}, {serviceText("s0")}), {kAnna});
  user.valid("routes with and without keys", "PUT", 9, anonymous);
  user.readsBack("routes with and without keys", anonymous);
  user.valid("no tenant more", "PUT", 10, tenantPut(11, {}));
  user.readsBack("no tenant more", tenantPut(11, {}));
  user.valid("none said of them", "PUT", 11, plainPut(12));
  user.readsBack("none said of them", plainPut(12));
}

void patches(std::uint64_t seed) {
  Operator user(seed);
  const std::string carl = tenantText({"carl", {"key-c1"}, R"("RatePerS":3,"BurstSize":1,"Extra":[{}])"});
  user.valid("two tenants", "PUT", 0, tenantPut(5, {kAnna, kBert}));
  user.valid("one more", "PATCH", 5, tenantPatch(6, {carl}));
  user.readsBack("one more", tenantPut(6, {kAnna, kBert, carl}));
  const std::string fewer = tenantText({"anna", {"key-a2"}});
  user.valid("a key less", "PATCH", 6, tenantPatch(7, {fewer}));
  user.readsBack("a key less", tenantPut(7, {fewer, kBert, carl}));
  const std::string anna = tenantText({"anna", {"key-a2", "key-b1"}}), bert = tenantText({"bert", {"key-b2"}});
  user.valid("a key moves", "PATCH", 7, tenantPatch(8, {anna, bert}));
  user.readsBack("a key moves", tenantPut(8, {anna, bert, carl}));
  const std::string bertBack = tenantText({"bert", {"key-b1"}}), annaBack = tenantText({"anna", {"key-a2"}});
  user.valid("and back, told the other way round", "PATCH", 8, tenantPatch(9, {bertBack, annaBack}));
  user.readsBack("and back", tenantPut(9, {annaBack, bertBack, carl}));
  const std::string heir = tenantText({"heir", {"key-c1", "key-a2"}});
  user.valid("the keys of those that go", "PATCH", 9, tenantPatch(10, {heir}, {"carl", "anna"}));
  user.readsBack("the keys of those that go", tenantPut(10, {bertBack, heir}));
  user.valid("one that is not there goes", "PATCH", 10, tenantPatch(11, {}, {"nobody"}));
  user.valid("routes alone", "PATCH", 11, patchText(12, {routeText({.prefix = "/two/"})}, {}));
  user.readsBack("routes alone",
                 withTenants(putText(12, {routeText({.prefix = "/two/"})}, {serviceText("s0")}), {bertBack, heir}));
  std::string both = patchText(13, {routeText({})}, {"r-none"});
  const std::string dora = tenantText({"dora", {"key-a1", "key-d1"}});
  both.replace(both.find("]},\"Remove"), 1, absl::StrCat(R"(],"Subscribers":[)", dora, "]"));
  user.valid("routes and tenants", "PATCH", 12, both);
  user.readsBack("routes and tenants", tenantPut(13, {bertBack, heir, dora}));
  user.loseAll();
  user.readsBack("after a loss of all", tenantPut(13, {bertBack, heir, dora}));
  user.valid("the newest once more", "PATCH", 12, both);
}

std::vector<std::pair<const char*, std::string>> invalidTenants() {
  return {{"two share a key", tenantText({"x", {"key-1", "key-2"}}) + "," + tenantText({"y", {"key-3", "key-2"}})},
          {"a name twice", tenantText({"x", {"key-1"}}) + "," + tenantText({"x", {"key-2"}})},
          {"a rate below nothing", tenantText({"x", {"key-1"}, R"("RatePerS":-1)"})},
          {"a burst below nothing", tenantText({"x", {"key-1"}, R"("BurstSize":-0.5)"})},
          {"a rate as text", tenantText({"x", {"key-1"}, R"("RatePerS":"140")"})},
          {"keys as text", R"({"Name":"x","Credentials":"key-1"})"},
          {"a key as a number", R"({"Name":"x","Credentials":[7]})"},
          {"no name", R"({"Credentials":["key-1"]})"},
          {"an empty name", R"({"Name":"","Credentials":["key-1"]})"},
          {"no object", R"("x")"}};
}

void invalidOnes(std::uint64_t seed) {
  Operator user(seed);
  const std::string standing = tenantPut(5, {kAnna, kBert});
  user.valid("two tenants", "PUT", 0, standing);
  std::vector<std::pair<const char*, std::string>> patches = invalidTenants();
  for (const auto& [what, tenants] : invalidTenants()) {
    const int status = user.send("PUT", 5, tenantPut(7, {tenants}));
    user.rig.expect(status == 400, absl::StrCat("CONFIG: a PUT with ", what, " gave ", status));
  }
  patches.emplace_back("a key of another that stands", tenantText({"carl", {"key-b1"}}));
  patches.emplace_back("a key more that another holds", tenantText({"anna", {"key-a1", "key-a2", "key-b1"}}));
  for (const auto& [what, tenants] : patches) {
    const int status = user.send("PATCH", 5, tenantPatch(7, {tenants}));
    user.rig.expect(status == 400, absl::StrCat("CONFIG: a PATCH with ", what, " gave ", status));
  }
  const int status = user.send("PATCH", 5, tenantPatch(7, {kAnna}, {"anna"}));
  user.rig.expect(status == 400, absl::StrCat("CONFIG: a PATCH that puts and removes one gave ", status));
  user.readsBack("what stood before", standing);
  user.valid("a valid one after them", "PATCH", 5, tenantPatch(7, {tenantText({"carl", {"key-c1"}})}, {"bert"}));
}

// Two operators, each with one more tenant, on top of the same version; both tenants claim one key.
void race(std::uint64_t seed) {
  Operator user(seed);
  user.valid("a tenant", "PUT", 0, tenantPut(5, {kAnna}));
  const std::string wishes[] = {tenantText({"left", {"key-x"}}), tenantText({"right", {"key-x"}})};
  Heard both[2];
  for (std::size_t i = 0; i < 2; ++i)
    user.rig.send(i, configAsk("PATCH", "5", tenantPatch(8 + i, {wishes[i]})), both[i]);
  user.rig.finish();
  const std::size_t winner = both[0].status == 200 ? 0 : 1;
  const int other = both[1 - winner].status;  // stale, and on top of the winner invalid too: either answer will do
  user.rig.expect(both[winner].status == 200 && (other == 412 || other == 400),
                  absl::StrCat("CONFIG: one prevails: ", both[0].status, " and ", both[1].status));
  user.readsBack("the one that prevailed", tenantPut(8 + winner, {kAnna, wishes[winner]}));
}
}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    sharedExample(seed);
    wholeConfigurations(seed);
    patches(seed);
    invalidOnes(seed);
    race(seed);
  }
  std::printf("%d passed, %d failed\n", PlatformRig::passed, PlatformRig::failed);
  return PlatformRig::failed == 0 ? 0 : 1;
}
