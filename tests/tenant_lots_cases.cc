// Lots on the shared sites: items run for the tenant that handed the lot in, and known keys alone find it.
#include "tenant_cases.h"

namespace stonemount {

namespace {
std::string itemText(const std::string& id, const std::string& headers) {
  return absl::StrCat(R"({"Id":")", id, R"(","Path":"/lots/)", id, R"(","Headers":{"Model":"m")", headers,
                      R"(},"Body":"aGk=","Tokens":9})");
}
// Its items claim to be of others.
Bytes forgedLot(const std::string& lot) {
  const std::string claims[] = {"", R"(,"subscriber":"bert")",
                                R"(,"Subscriber":"carl","Authorization":"Bearer key-b1")",
                                R"(,"AUTHORIZATION":"Bearer key-a1")"};
  std::vector<std::string> items;
  for (std::size_t i = 0; i < std::size(claims); ++i) items.push_back(itemText(absl::StrCat(lot, "-", i), claims[i]));
  return absl::StrCat(R"({"Entries":[)", absl::StrJoin(items, ","), "]}");
}
constexpr std::size_t kItems = 4;

class LotCaller {
 public:
  explicit LotCaller(std::uint64_t seed) : rig(seed, true) { rig.configure("PUT", 5, tenantConfig(5, twoTenants())); }
  // Each call goes to another node than the one before.
  CallerReplyPtr call(const std::string& method, const std::string& path, HeaderMap headers, Bytes body = "") {
    HttpAsk wish = rig.request(path, std::move(headers), std::move(body));
    wish.method = method;
    const std::size_t mark = path.find('?');
    wish.path = path.substr(0, mark);
    if (mark != std::string::npos) {
      const std::string query = path.substr(mark + 1);
      wish.query[query.substr(0, query.find('='))] = query.substr(query.find('=') + 1);
    }
    return rig.call(next_++ % TenantRig::kNodes, wish);
  }
  int handIn(const std::string& lot, HeaderMap headers) {
    headers["attempt-id"] = lot;
    return call("POST", "/lots/" + lot, std::move(headers), forgedLot(lot))->status;
  }
  void expectStatus(const std::string& what, int status, int wanted) {
    rig.expect(status == wanted, absl::StrCat(what, " got ", status, ", not ", wanted));
  }
  // All of its items have run, each for that tenant.
  void expectRuns(const std::string& lot, const std::string& tenant) {
    for (std::size_t i = 0; i < kItems; ++i) {
      const std::vector<const ArrivedRequest*> sights = rig.sightsOf(absl::StrCat(lot, "-", i));
      rig.expect(!sights.empty(), absl::StrCat("item ", i, " of ", lot, " ran"));
      for (const ArrivedRequest* sight : sights)
        rig.expect(sight->header("subscriber") == tenant && sight->header("authorization") == "(none)",
                   absl::StrCat("UNASKED: item ", i, " of ", lot, " ran for ", sight->header("subscriber"), " with ",
                                sight->header("authorization"), ", not for ", tenant));
    }
  }
  void expectComplete(const std::string& lot, const std::string& key) {
    const CallerReplyPtr page = call("GET", absl::StrCat("/api/lots/", lot, "?StartAfter=0"), bearing(key));
    expectStatus("a read of " + lot, page->status, 200);
    rig.expect(page->body.find(absl::StrCat("\"NextToken\":", kItems)) != Bytes::npos, lot + " is done: " + page->body);
  }
  TenantRig rig;

 private:
  std::size_t next_ = 0;
};

// UNASKED: items run for the tenant that handed them in, whatever they say of themselves.
void itemsNameTheirTenant() {
  LotCaller caller(31);
  caller.expectStatus("a lot of anna", caller.handIn("lot-a", bearing("key-a1")), 202);
  caller.expectStatus("a lot of bert",
                      caller.handIn("lot-b", {{"authorization", "bearer key-b1"}, {"subscriber", "anna"}}), 202);
  caller.expectStatus("the lot of anna again, by her other key", caller.handIn("lot-a", bearing("key-a2")), 202);
  caller.rig.run(4 * kSecondUs);
  caller.expectRuns("lot-a", "anna");
  caller.expectRuns("lot-b", "bert");
  caller.expectComplete("lot-a", "key-a2");
  caller.expectComplete("lot-b", "key-b1");
}

// ROUTE: nothing is taken in without a known key, and nothing of it runs.
void handInNeedsAKey() {
  LotCaller caller(32);
  const HeaderMap refused[] = {{}, bearing("key-none"), {{"authorization", "Basic key-a1"}}, {{"subscriber", "anna"}}};
  for (const HeaderMap& headers : refused)
    caller.expectStatus("ROUTE: a lot without a known key", caller.handIn("lot-x", headers), 401);
  caller.rig.run(2 * kSecondUs);
  caller.rig.expect(caller.rig.sights.empty(), "ROUTE: nothing of it runs");
  caller.expectStatus("nor is it there", caller.call("GET", "/api/lots/lot-x", bearing("key-a1"))->status, 404);
}

// A lot's calls with no known key get 401.
void callsNeedTheTenant() {
  LotCaller caller(33);
  for (TenantWorker& worker : caller.rig.workers) worker.holds = true;
  caller.expectStatus("a lot of anna", caller.handIn("lot-a", bearing("key-a1")), 202);
  struct Call {
    const char *method, *path;
  };
  const Call calls[] = {
      {"GET", "/api/lots/lot-a"}, {"GET", "/api/items/lot-a?Id=lot-a-1"}, {"DELETE", "/api/lots/lot-a"}};
  for (const Call& call : calls) {
    const std::string what = absl::StrCat(call.method, " ", call.path);
    caller.expectStatus(what + " without a key", caller.call(call.method, call.path, {})->status, 401);
    caller.expectStatus(what + " with an unknown key", caller.call(call.method, call.path, bearing("key-none"))->status,
                        401);
  }
  const CallerReplyPtr body = caller.call("GET", calls[1].path, bearing("key-a2"));
  caller.rig.expect(body->status == 200 && body->body == "hi", "her other key reads a body");
  for (TenantWorker& worker : caller.rig.workers) worker.holds = false, worker.release();
  caller.rig.run(4 * kSecondUs);
  caller.expectComplete("lot-a", "key-a2");
  caller.expectStatus("its end by her other key", caller.call("DELETE", calls[2].path, bearing("key-a2"))->status, 200);
  caller.expectStatus("its end once more", caller.call("DELETE", calls[2].path, bearing("key-a1"))->status, 200);
}

// The key that a lot was handed in with goes: the lot does not, and its tenant's other keys reach it.
void keyGoesLotStays() {
  LotCaller caller(34);
  for (TenantWorker& worker : caller.rig.workers) worker.holds = true;
  caller.expectStatus("a lot of anna", caller.handIn("lot-a", bearing("key-a1")), 202);
  caller.rig.configure("PATCH", 6, tenantPatch(6, {tenantText({"anna", {"key-a2"}})}));
  caller.expectStatus("ROUTE: a read with the key that went",
                      caller.call("GET", "/api/lots/lot-a", bearing("key-a1"))->status, 401);
  caller.expectStatus("ROUTE: a lot with the key that went", caller.handIn("lot-z", bearing("key-a1")), 401);
  for (TenantWorker& worker : caller.rig.workers) worker.holds = false, worker.release();
  caller.rig.run(4 * kSecondUs);
  caller.expectRuns("lot-a", "anna");
  caller.expectComplete("lot-a", "key-a2");
}
// LOST: a key moves to another tenant, and what was handed in with it is there for both.
void keyMovesLotStays() {
  LotCaller caller(35);
  for (TenantWorker& worker : caller.rig.workers) worker.holds = true;
  caller.expectStatus("a lot of anna", caller.handIn("lot-a", bearing("key-a1")), 202);
  caller.rig.configure("PATCH", 6,
                       tenantPatch(6, {tenantText({"anna", {"key-a2"}}), tenantText({"bert", {"key-b1", "key-a1"}})}));
  caller.expectStatus("a lot with the key that moved", caller.handIn("lot-b", bearing("key-a1")), 202);
  for (const char* key : {"key-a1", "key-a2"}) {
    for (const char* path : {"/api/lots/lot-a", "/api/lots/lot-b"})
      caller.expectStatus(absl::StrCat("LOST: a read of ", path, " with ", key),
                          caller.call("GET", path, bearing(key))->status, 200);
    caller.expectStatus(absl::StrCat("LOST: a body with ", key),
                        caller.call("GET", "/api/items/lot-a?Id=lot-a-1", bearing(key))->status, 200);
  }
  for (TenantWorker& worker : caller.rig.workers) worker.holds = false, worker.release();
  caller.rig.run(4 * kSecondUs);
  caller.expectRuns("lot-a", "anna");
  caller.expectRuns("lot-b", "bert");
  caller.expectComplete("lot-a", "key-a1");
  caller.expectComplete("lot-b", "key-a2");
}
}  // namespace

void tenantLotCases() {
  itemsNameTheirTenant();
  handInNeedsAKey();
  callsNeedTheTenant();
  keyGoesLotStays();
  keyMovesLotStays();
}

}  // namespace stonemount
