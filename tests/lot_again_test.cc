// A lot that comes again after the configuration has changed. Guards against knowing it by what a configuration made of
// it (incident 34): the same bytes were answered 409 once its route had affinity or its key another tenant.
// LOT_AGAIN_SEEDS=FIRST,COUNT for others.
#include "given_seeds.h"
#include "lots_reading.h"

using namespace stonemount;

namespace {
constexpr int kItems = 4;
constexpr const char* kKeys[] = {"key-1", "key-2"};

// Items with a shared prompt that is worth a place of its own; `changed`: one letter of one item is another.
Bytes lotBody(const std::string& lot, bool changed) {
  Bytes body = R"({"Entries":[)";
  for (int i = 0; i < kItems; ++i)
    absl::StrAppend(&body, i > 0 ? "," : "", R"({"Id":")", lot, "-", i, R"(","Path":"/bulk/)", lot, "-", i,
                    R"(?a=b","Headers":{"Model":"m","Prompt-Prefix":"9c2e41:1050,5d07b8:240","Subscriber":"nobody"},)",
                    R"("Body":")", changed && i == kItems - 1 ? "aGVsbG8h" : "aGVsbG8=", R"(","Tokens":1690})");
  return body + "]}";
}

class LotAgain {
 public:
  explicit LotAgain(std::uint64_t seed) : rig_(seed), chance_(seed), what_(absl::StrCat("seed ", seed)) {
    for (auto& node : rig_.nodes) node->workers.room = chance_.oneIn(2);
    rig_.control.removeRoute("nightly");
    changeRoute();
    changeTenants();
  }
  void changeRoute() {
    rig_.control.bump();
    rig_.control.removeRoute(name_);
    name_ = absl::StrCat("r-", ++changes_);
    Route route;
    route.name = name_;
    route.host = "h.example";
    route.prefix = "/bulk/";
    route.lots = true;
    route.affinity = chance_.oneIn(2);
    route.pool = chance_.oneIn(2) ? "models" : "others";
    route.completionUs = static_cast<Us>(1 + chance_.below(12)) * kSecondUs;
    route.retentionUs = static_cast<Us>(60 + chance_.below(60)) * kSecondUs;
    route.attempts = static_cast<std::uint32_t>(chance_.below(5));
    route.mostQueuedTokens = chance_.oneIn(3) ? 1 : 0;  // none but those that were taken before
    boundless_ = route.mostQueuedTokens == 0;
    rig_.control.putRoute(route);
  }
  // Tenants come and go, and keys move between them; a key once needed stays so.
  void changeTenants() {
    if (chance_.oneIn(3)) return;
    rig_.control.bump();
    rig_.control.setKeysNeeded(true);
    for (const char* key : kKeys) rig_.control.removeTenant(absl::StrCat("tenant-of-", key));
    const bool exchanged = chance_.oneIn(2);
    for (int i = 0; i < 2; ++i) {
      Tenant tenant;
      tenant.name = absl::StrCat("tenant-of-", kKeys[i]);
      tenant.keys = {kKeys[exchanged ? 1 - i : i]};
      rig_.control.putTenant(tenant);
    }
  }
  int handIn(std::size_t node, const std::string& lot, bool changed) {
    HeaderMap headers{{"attempt-id", lot}};
    if (rig_.control.tenantTable().keysNeeded()) headers["authorization"] = absl::StrCat("Bearer ", kKeys[0]);
    return rig_.ask(node, "POST", "/bulk/" + lot, headers, lotBody(lot, changed))->status;
  }
  void play() {
    std::vector<std::string> taken;
    for (int round = 0; round < 6; ++round) {
      if (boundless_) {
        taken.push_back(absl::StrCat("lot-", round));
        expectStatus(handIn(0, taken.back(), false), 202, taken.back() + " is taken");
      }
      if (chance_.oneIn(2)) changeRoute();
      changeTenants();
      rig_.fleet.run(static_cast<Us>(chance_.below(4)) * kSecondUs);
      for (const std::string& lot : taken)
        for (std::size_t node = 0; node < rig_.nodes.size(); ++node) {
          expectStatus(handIn(node, lot, false), 202, lot + " comes again");
          expectStatus(handIn(node, lot, true), 409, lot + " with another text");
        }
    }
  }

 private:
  void expectStatus(int status, int wanted, const std::string& deed) {
    LotsRig::expect(status == wanted, absl::StrCat("LOST, ", what_, ": ", deed, ": ", status, ", not ", wanted));
  }
  LotsRig rig_;
  Chance chance_;
  std::string what_;
  std::string name_;
  bool boundless_ = true;
  std::uint64_t changes_ = 0;
};
}  // namespace

int main() {
  const Seeds seeds = givenSeeds("LOT_AGAIN_SEEDS", {1, 12});
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) LotAgain(seed).play();
  std::printf("%d checks passed, %d failed\n", LotsRig::passed, LotsRig::failed);
  return LotsRig::failed == 0 ? 0 : 1;
}
