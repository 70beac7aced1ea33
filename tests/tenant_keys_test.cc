// UNASKED and ROUTE on the shared sites: a request runs only with a key that a tenant holds, the worker is told that
// tenant's name by the system, and never sees the key.
#include "tenant_cases.h"

using namespace stonemount;

namespace {
// What a worker that ran it was told, or that none was to run it.
struct Wanted {
  int status = 0;
  std::string tenant;
};

void judge(TenantRig& rig, const std::string& what, const std::string& path, HeaderMap headers, const Wanted& wanted) {
  const HttpAsk wish = rig.request(path, std::move(headers));
  const CallerReplyPtr reply = rig.call(0, wish);
  rig.run(100 * kMilliUs);
  rig.expect(reply->status == wanted.status, absl::StrCat(what, " got ", reply->status, ", not ", wanted.status));
  const std::vector<const ArrivedRequest*> sights = rig.sightsOf(wish.headers.at("attempt-id"));
  const std::size_t runs = wanted.status == 200 ? 1 : 0;
  rig.expect(sights.size() == runs, absl::StrCat("ROUTE: ", what, " reached ", sights.size(), " workers"));
  for (const ArrivedRequest* sight : sights) {
    rig.expect(sight->header("subscriber") == wanted.tenant,
               absl::StrCat("UNASKED: ", what, " ran for ", sight->header("subscriber"), ", not ", wanted.tenant));
    rig.expect(sight->header("authorization") == "(none)",
               absl::StrCat("UNASKED: ", what, " showed ", sight->header("authorization")));
  }
}

// UNASKED and ROUTE: each way to come with a key, with none, and with a tenant's name of one's own making.
void keysAreChecked() {
  TenantRig rig(1);
  rig.configure("PUT", 5, tenantConfig(5, twoTenants()));
  const HeaderMap refused[] = {{},
                               {{"authorization", ""}},
                               {{"authorization", "Bearer"}},
                               {{"authorization", "Bearer "}},
                               {{"authorization", "Bearer key-none"}},
                               {{"authorization", "Bearer key-a"}},
                               {{"authorization", "Bearer key-a11"}},
                               {{"authorization", "Bearer KEY-A1"}},
                               {{"authorization", "Bearer anna"}},
                               {{"authorization", "Basic key-a1"}},
                               {{"authorization", "Bearerkey-a1"}},
                               {{"authorization", "key-a1"}},
                               {{"authorization", "Bearer key-a1, Bearer key-b1"}},
                               {{"subscriber", "anna"}},
                               {{"authorization", "Bearer key-none"}, {"subscriber", "anna"}}};
  for (const HeaderMap& headers : refused) {
    std::string what = "a request with";
    for (const auto& [name, value] : headers) absl::StrAppend(&what, " ", name, ": ", value);
    judge(rig, what, "/keyed/1", headers, {401, ""});
    judge(rig, what, "/other/1", headers, {401, ""});
    judge(rig, what, "/plain/1", headers, {401, ""});
  }
  judge(rig, "a key of anna", "/keyed/1", bearing("key-a1"), {200, "anna"});
  judge(rig, "her other key", "/other/1", bearing("key-a2"), {200, "anna"});
  judge(rig, "a route that does not say", "/plain/1", bearing("key-a2"), {200, "anna"});
  judge(rig, "the key of bert", "/keyed/1", bearing("key-b1"), {200, "bert"});
  for (const char* scheme : {"bearer", "BEARER", "bEaReR"})
    judge(rig, scheme, "/keyed/1", {{"authorization", absl::StrCat(scheme, " key-a1")}}, {200, "anna"});
  for (const char* claimed : {"bert", "anna", "", "bert, anna", "nobody"})
    judge(rig, absl::StrCat("anna as Subscriber ", claimed), "/keyed/1",
          {{"authorization", "Bearer key-a1"}, {"subscriber", claimed}}, {200, "anna"});
  judge(rig, "a path of no route", "/none/1", bearing("key-a1"), {404, ""});
}

// UNASKED: on a route that wants no key, the caller's own word for its tenant goes no further, nor does what it sent
// as a key.
void anonymousRoutes() {
  TenantRig rig(2);
  rig.configure("PUT", 5, tenantConfig(5, twoTenants()));
  const HeaderMap given[] = {{},
                             {{"subscriber", "anna"}},
                             {{"subscriber", "anna, bert"}},
                             {{"authorization", "Basic x"}, {"subscriber", "nobody"}}};
  for (const HeaderMap& headers : given) judge(rig, "without a key", "/open/1", headers, {200, "(none)"});
  judge(rig, "ROUTE: with a key that nobody holds", "/open/1", {{"authorization", "Bearer key-none"}}, {401, "(none)"});
  const HttpAsk wish =
      rig.request("/open/1", {{"authorization", "Bearer key-b1"}, {"subscriber", "anna"}, {"x-other", "kept"}});
  rig.expect(rig.call(0, wish)->status == 200, "a key on a route that wants none");
  for (const ArrivedRequest* sight : rig.sightsOf(wish.headers.at("attempt-id"))) {
    const std::string tenant = sight->header("subscriber");
    rig.expect(tenant == "bert" || tenant == "(none)", "UNASKED: with a key of bert it ran for " + tenant);
    rig.expect(sight->header("authorization") == "(none)", "UNASKED: the key was shown");
    rig.expect(sight->header("x-other") == "kept", "other headers are passed along");
  }
}

// Where nobody is configured as a tenant, nothing is asked for, and headers are passed along as they came.
void withoutTenants() {
  TenantRig rig(3);
  rig.configure("PUT", 5, putText(5, tenantRoutes(), {coldlessService("s0"), coldlessService("s1")}));
  for (const char* path : {"/keyed/1", "/open/1"}) {
    const HttpAsk wish = rig.request(path, {{"authorization", "Basic some thing"}, {"x-other", "kept"}});
    rig.expect(rig.call(0, wish)->status == 200, "a request where there are no tenants");
    for (const ArrivedRequest* sight : rig.sightsOf(wish.headers.at("attempt-id")))
      rig.expect(sight->header("authorization") == "Basic some thing" && sight->header("x-other") == "kept",
                 "its headers are passed along");
  }
  rig.configure("PUT", 6, tenantConfig(6, twoTenants()));
  judge(rig, "no key once there are tenants", "/keyed/1", {}, {401, ""});
  rig.configure("PUT", 7, putText(7, tenantRoutes(), {coldlessService("s0"), coldlessService("s1")}));
  rig.expect(rig.call("/keyed/1")->status == 200, "and once there are none");
}

// A node that knows nothing yet refuses nobody for good: 503 is tried again, 401 is not.
void nothingKnownYet() {
  TenantRig rig(4);
  for (const HeaderMap& headers : {HeaderMap(), bearing("key-a1"), bearing("key-none")}) {
    for (const char* path : {"/keyed/1", "/open/1", "/lots/1", "/api/lots/1"}) {
      const int status = rig.call(path, headers)->status;
      rig.expect(status == 503, absl::StrCat("before any configuration ", path, " got ", status, ", not 503"));
    }
  }
  rig.expect(rig.sights.empty(), "ROUTE: nothing ran");
}

// Keys come, go and change hands; what is at a worker by then goes on.
void keysChange() {
  TenantRig rig(5);
  rig.configure("PUT", 5, tenantConfig(5, twoTenants()));
  for (TenantWorker& worker : rig.workers) worker.holds = true;
  const CallerReplyPtr running = rig.begin(0, rig.request("/keyed/run", bearing("key-a1")));
  rig.run(100 * kMilliUs);
  rig.expect(rig.sights.size() == 1, "a request is at a worker");
  for (TenantWorker& worker : rig.workers) worker.holds = false;
  rig.configure("PATCH", 6, tenantPatch(6, {tenantText({"anna", {"key-a2", "key-new"}})}));
  judge(rig, "ROUTE: a key that was taken away", "/keyed/1", bearing("key-a1"), {401, ""});
  judge(rig, "a key that stayed", "/keyed/1", bearing("key-a2"), {200, "anna"});
  judge(rig, "a key that was added", "/keyed/1", bearing("key-new"), {200, "anna"});
  rig.expect(!running->done, "what ran goes on");
  for (TenantWorker& worker : rig.workers) worker.release();
  rig.run(100 * kMilliUs);
  rig.expect(running->done && running->status == 200 && running->body == "ok", "to its end");
  rig.configure("PATCH", 7,
                tenantPatch(7, {tenantText({"bert", {"key-b1", "key-a2"}}), tenantText({"anna", {"key-new"}})}));
  judge(rig, "a key that moved", "/keyed/1", bearing("key-a2"), {200, "bert"});
  rig.configure("PATCH", 8, tenantPatch(8, {}, {"bert"}));
  judge(rig, "a key of a tenant that went", "/keyed/1", bearing("key-a2"), {401, ""});
  judge(rig, "another of its keys", "/keyed/1", bearing("key-b1"), {401, ""});
  rig.configure("PATCH", 9, tenantPatch(9, {tenantText({"carl", {"key-b1"}})}));
  judge(rig, "a key that has a new tenant", "/keyed/1", bearing("key-b1"), {200, "carl"});
}

// UNASKED: a try at a second worker names the tenant as the first did.
void triedAgain() {
  TenantRig rig(6);
  rig.configure("PUT", 5, tenantConfig(5, twoTenants()));
  for (TenantWorker& worker : rig.workers) worker.turnsAway = 1;
  const HttpAsk wish = rig.request("/keyed/1", {{"authorization", "Bearer key-a1"}, {"subscriber", "bert"}});
  rig.call(0, wish);
  const std::vector<const ArrivedRequest*> sights = rig.sightsOf(wish.headers.at("attempt-id"));
  rig.expect(sights.size() >= 2, absl::StrCat("it was tried again: ", sights.size()));
  for (const ArrivedRequest* sight : sights)
    rig.expect(sight->header("subscriber") == "anna" && sight->header("authorization") == "(none)",
               "UNASKED: a try ran for " + sight->header("subscriber"));
}

// ROUTE: a node that control cannot reach goes on with the newest configuration that it knows.
void cutOffFromControl() {
  TenantRig rig(7);
  rig.configure("PUT", 5, tenantConfig(5, twoTenants()));
  for (TenantRig::EdgeNode& edge : rig.edges)
    for (PlatformRig::CoreProcess& core : rig.cores)
      rig.world.setCut(*edge.host, *core.host, true), rig.world.setCut(*core.host, *edge.host, true);
  rig.run(5 * kSecondUs);
  judge(rig, "a known key, cut off", "/keyed/1", bearing("key-a1"), {200, "anna"});
  judge(rig, "an unknown key, cut off", "/keyed/1", bearing("key-none"), {401, ""});
}
}  // namespace

int main() {
  keysAreChecked();
  anonymousRoutes();
  withoutTenants();
  nothingKnownYet();
  keysChange();
  triedAgain();
  cutOffFromControl();
  tenantLotCases();
  tenantOpenConnectionCases();
  tenantHistoryCases();
  std::printf("%d passed, %d failed\n", PlatformRig::passed, PlatformRig::failed);
  return PlatformRig::failed == 0 ? 0 : 1;
}
