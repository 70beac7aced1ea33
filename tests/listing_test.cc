// Who asks for the list of workers, and when: one process while control is heard; one node for all, for the leaving
// marks alone, while it is not.
#include <absl/strings/str_cat.h>

#include "asking.h"

using namespace stonemount;

namespace {
class AskCount : public sigc::trackable {
 public:
  explicit AskCount(SimHost& platform) { platform.asked.connect(sigc::mem_fun(*this, &AskCount::note)); }
  std::uint64_t asks = 0;

 private:
  void note(const HttpAsk& ask, ReplyPtr) { asks += ask.path == "/platform/workers" ? 1 : 0; }
};

struct AllMarked {
  Fleet& fleet;
  Address worker;
  bool wanted;
  bool holds() const {
    for (Part* node : fleet.of(PartKind::kNode))
      if (node->node->board().markedLeaving(worker) != wanted) return false;
    return true;
  }
};

void nodesAskOnlyInSilence(std::uint64_t seed) {
  Asking fleet(seed);
  AskCount count(*fleet.fleet.platform().host);
  fleet.fleet.run(10 * kSecondUs);
  fleet.expect(count.asks >= 10 && count.asks <= 18,
               absl::StrCat("one asks while control is heard: ", count.asks, " in 10 s"));
  for (Part* core : fleet.fleet.of(PartKind::kCore)) fleet.fleet.kill(*core, false);
  fleet.fleet.run(3 * kSecondUs);
  count.asks = 0;
  Part& worker = *fleet.fleet.of(PartKind::kWorker)[0];
  fleet.fleet.platform().platform->leave(worker.host->http());
  const Us markedUs = fleet.fleet.world().nowUs();
  fleet.expect(fleet.until(AllMarked{fleet.fleet, worker.host->http(), true}), "a mark is heard without the core");
  fleet.expect(fleet.fleet.world().nowUs() - markedUs < 2 * kSecondUs, "within 2 s");
  fleet.fleet.run(10 * kSecondUs);
  // As many as one node alone would ask, not one for each node.
  fleet.expect(count.asks >= 10 && count.asks <= 18,
               absl::StrCat("one asks for all in silence: ", count.asks, " in some 11 s"));
  for (Part* core : fleet.fleet.of(PartKind::kCore)) fleet.fleet.start(*core);
  fleet.fleet.run(4 * kSecondUs);
  for (Part* node : fleet.fleet.of(PartKind::kNode))
    fleet.expect(node->node->configCache().state().workers().at(worker.host->http()).leaving,
                 "control tells it afterwards");
  fleet.expect(fleet.until(AllMarked{fleet.fleet, worker.host->http(), false}),
               "and the marks of the silence are dropped");
  count.asks = 0;
  fleet.fleet.run(10 * kSecondUs);
  fleet.expect(count.asks <= 18, absl::StrCat("one asks again: ", count.asks, " in 10 s"));
}
}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) nodesAskOnlyInSilence(seed);
  std::printf("%d passed, %d failed\n", Asking::passed, Asking::failed);
  return Asking::failed == 0 ? 0 : 1;
}
