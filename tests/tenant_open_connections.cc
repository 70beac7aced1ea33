// Keys on connections that stay open, byte for byte through the real HTTP server; all behind it is simulated.
#include <absl/strings/escaping.h>

#include "http_in_rig.h"
#include "tenant_cases.h"

namespace stonemount {

namespace {
// One caller on one connection to a node's front.
class OpenConnection {
 public:
  explicit OpenConnection(TenantRig& rig) : rig_(rig), front_(*rig.edges[0].node, in_, nullptr) {
    rig.expect(in_.listen(), "the front listens");
    caller_ = std::make_unique<RawEnd>(loop_, in_.self());
  }
  // The status of the answer; `lines`: headers as they are written.
  int ask(const std::string& id, const std::string& lines, const std::string& path = "/keyed/1") {
    caller_->take();
    caller_->say(absl::StrCat("POST ", path, " HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: ", id,
                              "\r\nDeadline-Ms: 3000\r\nContent-Length: 2\r\n", lines, "\r\nhi"));
    TurnBound bound(loop_);
    while (!bound.over && caller_->heard.find("\r\n\r\n") == std::string::npos && !caller_->gone) {
      event_base_loop(loop_.base(), EVLOOP_NONBLOCK);
      rig_.run(kMilliUs);
    }
    for (int i = 0; i < 20; ++i) event_base_loop(loop_.base(), EVLOOP_NONBLOCK), rig_.run(kMilliUs);
    return caller_->heard.size() < 12 ? 0 : std::atoi(caller_->heard.c_str() + 9);
  }
  bool open() const { return !caller_->gone; }

 private:
  TenantRig& rig_;
  Loop loop_;
  HttpInEv in_{loop_, kAnyPort};
  platform::Front front_;
  std::unique_ptr<RawEnd> caller_;
};

void expectTenant(TenantRig& rig, const std::string& id, const std::string& tenant) {
  const std::vector<const ArrivedRequest*> sights = rig.sightsOf(id);
  rig.expect(sights.size() == 1, absl::StrCat("one worker ran ", id, ": ", sights.size()));
  for (const ArrivedRequest* sight : sights)
    rig.expect(sight->header("subscriber") == tenant && sight->header("authorization") == "(none)",
               absl::StrCat("UNASKED: ", id, " ran for ", sight->header("subscriber"), ", not ", tenant));
}

// UNASKED: however often and in whatever letters a caller names itself, only its key counts.
void claimedByBytes() {
  TenantRig rig(21);
  rig.configure("PUT", 5, tenantConfig(5, twoTenants()));
  OpenConnection connection(rig);
  const char* claims[] = {"Subscriber: bert\r\n", "SUBSCRIBER: bert\r\n", "subscriber:bert\r\n",
                          "Subscriber: bert\r\nSubscriber: anna\r\nsUbScRiBeR: carl\r\n", "Subscriber:\r\n"};
  int number = 0;
  for (const char* claim : claims) {
    for (const char* key : {"Authorization: Bearer key-a1\r\n", "AUTHORIZATION: BEARER key-a1\r\n"}) {
      const std::string id = absl::StrCat("claim", ++number);
      rig.expect(connection.ask(id, absl::StrCat(claim, key)) == 200,
                 absl::StrCat("a known key with ", absl::CEscape(claim)));
      expectTenant(rig, id, "anna");
      const std::string later = absl::StrCat("claim", ++number);
      rig.expect(connection.ask(later, absl::StrCat(key, claim)) == 200, "whichever stands first");
      expectTenant(rig, later, "anna");
    }
    const std::string none = absl::StrCat("claim", ++number);
    rig.expect(connection.ask(none, claim) == 401, absl::StrCat("ROUTE: no key but ", absl::CEscape(claim)));
    rig.expect(rig.sightsOf(none).empty(), absl::StrCat("ROUTE: it ran without a key but with ", absl::CEscape(claim)));
    const std::string open = absl::StrCat("claim", ++number);
    rig.expect(connection.ask(open, claim, "/open/1") == 200, "a route without keys");
    expectTenant(rig, open, "(none)");
  }
  rig.expect(connection.ask("twice", "Authorization: Bearer key-a1\r\nAuthorization: Bearer key-b1\r\n") == 401,
             "two keys are no key");
  rig.expect(connection.open(), "a refusal keeps the connection");
}

// ROUTE: a key that is taken away, or given away, binds the next request on a connection that was open before.
void changedWhileOpen() {
  TenantRig rig(22);
  rig.configure("PUT", 5, tenantConfig(5, twoTenants()));
  OpenConnection connection(rig);
  const std::string first = "Authorization: Bearer key-a1\r\n", second = "Authorization: Bearer key-a2\r\n";
  rig.expect(connection.ask("before", first) == 200, "a known key");
  expectTenant(rig, "before", "anna");
  rig.configure("PATCH", 6, tenantPatch(6, {tenantText({"anna", {"key-a2"}})}));
  rig.expect(connection.ask("revoked", first) == 401, "ROUTE: a key that was taken away gets 401");
  rig.expect(rig.sightsOf("revoked").empty(), "ROUTE: nothing runs with it");
  rig.expect(connection.ask("other", second) == 200, "another key of hers");
  expectTenant(rig, "other", "anna");
  rig.configure("PATCH", 7, tenantPatch(7, {tenantText({"bert", {"key-a1"}})}));
  rig.expect(connection.ask("moved", first) == 200, "a key that was given to another");
  expectTenant(rig, "moved", "bert");
  rig.configure("PATCH", 8, tenantPatch(8, {}, {"bert", "anna"}));
  rig.expect(connection.open(), "all on one connection");
}
}  // namespace

void tenantOpenConnectionCases() {
  claimedByBytes();
  changedWhileOpen();
}

}  // namespace stonemount
