// Tenants' quotas in whole: requests with keys at several nodes' fronts, counted by cores that lead the parts, and
// workers that write down what reaches them. Guards against nodes that count alone, limits that are not taken over,
// a count that is lost with its leader, and tenants below their limit that pay for others.
#include <absl/strings/str_cat.h>

#include "tenant_cases.h"

using namespace stonemount;

namespace {
constexpr Us kWindowUs = 5 * kSecondUs;

TenantWish limited(const std::string& name, std::uint64_t perS, std::uint64_t burst) {
  return {name,
          {absl::StrCat("key-", name)},
          absl::StrCat(R"("Precedence":1,"RatePerS":)", perS, R"(,"BurstSize":)", burst)};
}
std::string limitedConfig(std::uint64_t revision, const std::vector<TenantWish>& tenants) {
  std::vector<std::string> texts;
  for (const TenantWish& tenant : tenants) texts.push_back(tenantText(tenant));
  return tenantConfig(revision, texts);
}

struct Told {
  std::uint64_t served = 0, over = 0, unreachable = 0, other = 0;
};

// Callers of one tenant at all nodes in turn.
class Callers {
 public:
  Callers(TenantRig& rig, std::string tenant) : rig_(rig), tenant_(std::move(tenant)) {}
  void send() {
    const HttpAsk wish = rig_.request("/keyed/1", {{"authorization", absl::StrCat("Bearer key-", tenant_)}}, "hi");
    begun_.push_back({rig_.begin(next_++ % rig_.edges.size(), wish), rig_.world.nowUs()});
  }
  Told told() const {
    Told told;
    for (const auto& [reply, atUs] : begun_) {
      told.served += reply->status == 200 ? 1 : 0;
      told.over += reply->status == 429 ? 1 : 0;
      told.unreachable += reply->status == 503 ? 1 : 0;
      told.other += reply->status != 200 && reply->status != 429 && reply->status != 503 ? 1 : 0;
    }
    return told;
  }
  bool tellWhenToCome() const {
    for (const auto& [reply, atUs] : begun_) {
      if (reply->status != 429) continue;
      const auto found = reply->headers.find("retry-after");
      double seconds = 0;
      if (found == reply->headers.end() || !absl::SimpleAtod(found->second, &seconds)) return false;
      if (seconds <= 0 || seconds > 1) return false;
    }
    return true;
  }

 private:
  TenantRig& rig_;
  std::string tenant_;
  std::size_t next_ = 0;
  std::vector<std::pair<CallerReplyPtr, Us>> begun_;
};

std::uint64_t arrived(const TenantRig& rig, const std::string& tenant) {
  std::uint64_t count = 0;
  for (const ArrivedRequest& sight : rig.sights) count += sight.header("subscriber") == tenant ? 1 : 0;
  return count;
}

std::uint64_t allowed(std::uint64_t perS, std::uint64_t burst) {
  return static_cast<std::uint64_t>(quotaAllowedMicro({perS * 1000, burst}, QuotaBounds()) / kMicroTokens);
}

// One tenant sends many times its limit at both nodes; another stays below its own; a third has none.
void hotTenant() {
  TenantRig rig(31);
  rig.configure("PUT", 5, limitedConfig(5, {limited("hot", 10, 5), limited("calm", 20, 10), limited("free", 0, 0)}));
  rig.run(3 * kSecondUs);
  Callers hot(rig, "hot"), calm(rig, "calm"), free(rig, "free");
  for (int i = 0; i < 500; ++i) {
    hot.send();
    if (i % 8 == 0) calm.send();
    if (i % 2 == 0) free.send();
    rig.run(10 * kMilliUs);
  }
  const std::uint64_t atWorkers = arrived(rig, "hot");
  rig.run(2 * kSecondUs);
  const Told hotTold = hot.told(), calmTold = calm.told(), freeTold = free.told();
  rig.expect(atWorkers <= allowed(10, 5), absl::StrCat("QUOTA: ", atWorkers, " of ", allowed(10, 5)));
  rig.expect(atWorkers >= 45, absl::StrCat("the limit can be used: ", atWorkers, " of 55"));
  rig.expect(hotTold.over >= 400,
             absl::StrCat("over the limit is 429: ", hotTold.over, ", 503: ", hotTold.unreachable));
  rig.expect(hot.tellWhenToCome(), "a 429 tells when to come again, within a second");
  rig.expect(hotTold.other == 0 && calmTold.other == 0, "nothing else is told");
  rig.expect(calmTold.served == 63, absl::StrCat("below the limit all are served: ", calmTold.served, " of 63"));
  rig.expect(freeTold.served == 250, absl::StrCat("without a limit all are served: ", freeTold.served, " of 250"));
}

// The leader goes while a tenant is hot: the count goes on where it was.
void leaderLost() {
  TenantRig rig(32);
  rig.configure("PUT", 5, limitedConfig(5, {limited("hot", 10, 5)}));
  rig.run(3 * kSecondUs);
  Callers hot(rig, "hot");
  auto sendFor = [&](Us lengthUs) {
    for (Us us = 0; us < lengthUs; us += 20 * kMilliUs) {
      hot.send();
      rig.run(20 * kMilliUs);
    }
  };
  sendFor(2 * kSecondUs);
  const std::string duty = quotaDuty(quotaPart("hot"));
  std::size_t leader = rig.cores.size();
  for (std::size_t i = 0; i < rig.cores.size(); ++i)
    if (rig.cores[i].core->election().holds(duty)) leader = i;
  rig.expect(leader < rig.cores.size(), "somebody leads");
  if (leader == rig.cores.size()) return;
  rig.kill(rig.cores[leader], false);
  sendFor(3 * kSecondUs);
  const std::uint64_t inWindow = arrived(rig, "hot");
  rig.expect(inWindow <= allowed(10, 5), absl::StrCat("QUOTA: ", inWindow, " of ", allowed(10, 5)));
  const std::uint64_t before = hot.told().served;
  sendFor(5 * kSecondUs);
  const std::uint64_t later = hot.told().served - before;
  rig.expect(later >= 35, absl::StrCat("another leads on: ", later, " of 50 served in 5 s"));
  rig.expect(later <= allowed(10, 5), absl::StrCat("QUOTA: ", later, " of ", allowed(10, 5)));
}

// A limit that is lowered binds, and one that is taken away ends.
void limitMoves() {
  TenantRig rig(33);
  rig.configure("PUT", 5, limitedConfig(5, {limited("hot", 50, 20)}));
  rig.run(3 * kSecondUs);
  Callers hot(rig, "hot");
  auto sendFor = [&](Us lengthUs) {
    const std::uint64_t before = arrived(rig, "hot");
    for (Us us = 0; us < lengthUs; us += 10 * kMilliUs) {
      hot.send();
      rig.run(10 * kMilliUs);
    }
    return arrived(rig, "hot") - before;
  };
  sendFor(3 * kSecondUs);
  rig.configure("PUT", 6, limitedConfig(6, {limited("hot", 5, 2)}));
  sendFor(2500 * kMilliUs + kWindowUs);
  const std::uint64_t low = sendFor(kWindowUs);
  rig.expect(low <= allowed(5, 2), absl::StrCat("QUOTA: ", low, " of ", allowed(5, 2), " after the limit was lowered"));
  rig.expect(low >= 20, absl::StrCat("the lower limit can be used: ", low, " of 27"));
  rig.configure("PUT", 7, limitedConfig(7, {limited("hot", 0, 0)}));
  rig.run(kSecondUs);
  const std::uint64_t none = sendFor(kSecondUs);
  rig.expect(none >= 99, absl::StrCat("no limit: ", none, " of 100"));
}
}  // namespace

int main() {
  hotTenant();
  leaderLost();
  limitMoves();
  std::printf("%d passed, %d failed\n", TenantRig::passed, TenantRig::failed);
  return TenantRig::failed == 0 ? 0 : 1;
}
