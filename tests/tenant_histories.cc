// Random histories of configurations and requests: no request reaches a worker with a key that the newest configuration
// of its node does not hold, and the tenant told there is the one that holds it then. More seeds by
// TENANT_SEEDS=FIRST,COUNT.
#include "given_seeds.h"
#include "tenant_cases.h"

namespace stonemount {

namespace {
constexpr std::size_t kKeys = 7, kChanges = 25;  // one key more than that is held by nobody, ever
const char* const kTenants[] = {"anna", "bert", "carl"};
const char* const kRoutes[] = {"keyed", "open", "other"};

// What one configuration says.
struct KeyPlan {
  std::map<std::string, std::string> holders;  // of keys
  std::map<std::string, bool> anonymous;       // routes
  std::string tenantsText() const {
    std::vector<std::string> texts;
    for (const char* tenant : kTenants) texts.push_back(textOf(tenant));
    return absl::StrJoin(texts, ",");
  }
  std::string textOf(const std::string& tenant) const {
    std::vector<std::string> keys;
    for (const auto& [key, holder] : holders)
      if (holder == tenant) keys.push_back(key);
    return tenantText({tenant, keys});
  }
  std::string routesText() const {
    std::vector<std::string> texts;
    for (const auto& [name, open] : anonymous) texts.push_back(tenantRoute(name, open, name == "other" ? "s1" : "s0"));
    return absl::StrJoin(texts, ",");
  }
};

struct SentRequest {
  std::string id, route, key;
  bool anonymous = false;
  std::string holder;  // of its key; empty: nobody
  Revision revision = 0;
  CallerReplyPtr reply;
};

class KeyHistory {
 public:
  explicit KeyHistory(std::uint64_t seed) : rig_(seed), chance_(seed * 77 + 3), name_(absl::StrCat("seed ", seed)) {
    for (const char* route : kRoutes) plan_.anonymous[route] = std::string(route) == "open";
    plan_.holders["key-0"] = kTenants[0];
    change(true);
  }
  void play() {
    for (std::size_t i = 0; i < kChanges; ++i) {
      if (chance_.oneIn(5)) cutNodes(true);
      drawPlan();
      change(chance_.oneIn(4));
      for (std::uint64_t j = chance_.below(12); j > 0; --j) step();
      if (chance_.oneIn(3)) cutNodes(false);
    }
    cutNodes(false);
    rig_.run(4 * kSecondUs);
    for (const SentRequest& sent : sent_) judge(sent);
    rig_.expect(rig_.heardEverywhere(), name_ + ": every node has the newest in the end");
    rig_.expect(sent_.size() > kChanges, name_ + ": requests were sent");
  }

 private:
  static std::string keyName(std::uint64_t number) { return absl::StrCat("key-", number); }
  void drawPlan() {
    for (std::uint64_t i = 1 + chance_.below(3); i > 0; --i) {
      const std::string key = keyName(chance_.below(kKeys - 1));
      if (chance_.oneIn(3))
        plan_.holders.erase(key);
      else
        plan_.holders[key] = kTenants[chance_.below(std::size(kTenants))];
    }
    bool& anonymous = plan_.anonymous[kRoutes[chance_.below(std::size(kRoutes))]];
    if (chance_.oneIn(2)) anonymous = !anonymous;
  }
  // Sends the plan as the next version; requests go on meanwhile.
  void change(bool whole) {
    const Revision next = rig_.standing + 1 + chance_.below(3);
    const std::string upsert =
        absl::StrCat(R"("Routes":[)", plan_.routesText(), R"(],"Subscribers":[)", plan_.tenantsText(), "]");
    const std::string services = absl::StrCat(coldlessService("s0"), ",", coldlessService("s1"));
    const std::string body =
        whole ? absl::StrCat(R"({"Revision":)", next, ",", upsert, R"(,"Services":[)", services, "]}")
              : absl::StrCat(R"({"Revision":)", next, R"(,"Upsert":{)", upsert, "}}");
    plans_[next] = plan_;
    Heard& heard = heard_.emplace_back();
    rig_.send(chance_.below(rig_.cores.size()), configAsk(whole ? "PUT" : "PATCH", std::to_string(rig_.standing), body),
              heard);
    for (int i = 0; i < 2000 && heard.status == 0; ++i) step();
    rig_.expect(heard.status == 200,
                absl::StrCat("SHORT: ", name_, ": a valid ", whole ? "PUT" : "PATCH", " gave ", heard.status));
    if (heard.status == 200) rig_.standing = next;
  }
  void cutNodes(bool cut) {
    TenantRig::EdgeNode& edge = rig_.edges[chance_.below(TenantRig::kNodes)];
    for (TenantRig::EdgeNode& one : rig_.edges) {
      if (cut && &one != &edge) continue;
      for (PlatformRig::CoreProcess& core : rig_.cores) {
        rig_.world.setCut(*one.host, *core.host, cut);
        rig_.world.setCut(*core.host, *one.host, cut);
      }
    }
  }
  void step() {
    if (chance_.oneIn(3)) send();
    rig_.run(static_cast<Us>(chance_.below(6000)));
  }
  void send() {
    const std::size_t at = chance_.below(TenantRig::kNodes);
    SentRequest sent;
    sent.revision = TenantRig::revisionOf(rig_.edges[at]);
    if (sent.revision == 0) return;
    sent.route = kRoutes[chance_.below(std::size(kRoutes))];
    HeaderMap headers;
    if (!chance_.oneIn(6)) sent.key = keyName(chance_.below(kKeys));
    if (!sent.key.empty()) headers["authorization"] = "Bearer " + sent.key;
    if (chance_.oneIn(3)) headers["subscriber"] = kTenants[chance_.below(std::size(kTenants))];
    const KeyPlan& plan = plans_.at(sent.revision);
    sent.anonymous = plan.anonymous.at(sent.route);
    const auto holder = plan.holders.find(sent.key);
    if (holder != plan.holders.end()) sent.holder = holder->second;
    const HttpAsk wish = rig_.request(absl::StrCat("/", sent.route, "/1"), std::move(headers));
    sent.id = wish.headers.at("attempt-id");
    sent.reply = rig_.begin(at, wish);
    sent_.push_back(std::move(sent));
  }
  void judge(const SentRequest& sent) {
    const std::string what = absl::StrCat(name_, ": ", sent.id, " with ", sent.key.empty() ? "no key" : sent.key,
                                          " at revision ", sent.revision);
    const bool allowed = sent.key.empty() ? sent.anonymous : !sent.holder.empty();
    rig_.expect(sent.reply->status == (allowed ? 200 : 401), absl::StrCat(what, " got ", sent.reply->status));
    for (const ArrivedRequest* sight : rig_.sightsOf(sent.id)) {
      const std::string tenant = sight->header("subscriber");
      const bool ours = tenant == sent.holder || (sent.anonymous && tenant == "(none)");
      rig_.expect(allowed, "ROUTE: " + what + " ran");
      rig_.expect(ours, absl::StrCat("UNASKED: ", what, " ran for ", tenant, ", not ", sent.holder));
      rig_.expect(sight->header("authorization") == "(none)", "UNASKED: " + what + " showed its key");
    }
  }
  TenantRig rig_;
  Chance chance_;
  std::string name_;
  KeyPlan plan_;                       // the newest that was sent
  std::map<Revision, KeyPlan> plans_;  // by version
  std::deque<Heard> heard_;
  std::deque<SentRequest> sent_;
};
}  // namespace

void tenantHistoryCases() {
  const Seeds seeds = givenSeeds("TENANT_SEEDS", {1, 12});
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) KeyHistory(seed).play();
}

}  // namespace stonemount
