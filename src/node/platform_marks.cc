// A node and the marks of the platform's list while control is silent (design.md 7.7).
#include "node/node.h"

namespace stonemount {

namespace {
// Where control works the last answered question is at most two held ones old (1.45 s). Then peers are asked what the
// platform tells, and the platform itself at most 0.9 s later, if they do not know.
constexpr Us kSilentUs = 1600 * kMilliUs;
constexpr Us kMarksKeptUs = 5 * kSecondUs;  // once control is heard again, until the lister has surely listed
}  // namespace

// Control not heard for a while, counted from the start of this process at the earliest.
bool Node::controlSilent() const {
  return ports_.clock.monoUs() - std::max(begunUs_, configCache_.freshUs()) > kSilentUs;
}

// What the platform's list marks says nothing to a node that has been told of no workers to send to.
bool Node::wantsPlatform() const {
  if (configCache_.state().workers().empty()) return false;
  return controlSilent() || (sharing_ != nullptr && sharing_->listOld());
}

void Node::takePlatformMarks(const std::vector<ListedWorker>& marked, Us askedUs) {
  absl::btree_set<Address> marks;
  for (const ListedWorker& worker : marked)
    if (worker.leaving) marks.insert(worker.address);
  board_.setLeavingMarks(std::move(marks), askedUs);
  marked_ = true;
  if (sharing_ != nullptr) sharing_->onPlatformList(marked, askedUs);
}

// The list itself comes through the core. A leaving mark, and that a worker has turned cold, must be heard even while
// the core cannot be: then the nodes have the platform asked, by one for many, and take nothing but these, until
// control has told it for a while (design.md 7.7).
Task Node::keepMarks() {
  Us silentUs = ports_.clock.monoUs();  // when control was last found silent
  while (true) {
    const Us nowUs = ports_.clock.monoUs();
    if (wantsPlatform()) {
      silentUs = nowUs;
    } else if (marked_ && nowUs - silentUs > kMarksKeptUs) {
      board_.setLeavingMarks({}, -1);
      marked_ = false;
    }
    Pause pause(ports_.timers, 100 * kMilliUs);
    co_await pause;
  }
}

}  // namespace stonemount
