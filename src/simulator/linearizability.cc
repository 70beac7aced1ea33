#include "simulator/linearizability.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <unordered_set>

namespace stonemount {

namespace {
const char* kindText(OrderKind kind) {
  constexpr const char* kTexts[] = {"swap", "write", "read"};
  return kTexts[static_cast<std::size_t>(kind)];
}
const char* resultText(OrderResult result) {
  constexpr const char* kTexts[] = {"unknown", "taken", "refused"};
  return kTexts[static_cast<std::size_t>(result)];
}
std::string noteText(const OrderNote& note) {
  return absl::StrCat(note.who, " ", kindText(note.kind), " ", note.base, "->", note.next, " ", resultText(note.result),
                      " sent ", note.sentUs, " answered ",
                      note.answeredUs == OrderNote::kNever ? std::string("never") : absl::StrCat(note.answeredUs));
}

struct RegisterState {
  Revision revision = 0;
  std::uint64_t content = 0;
};

// Depth first over the orders that change something. What changes nothing is placed as soon as it fits: that never
// takes a moment away from another.
class Search {
 public:
  Search(const std::vector<OrderNote>& notes, std::size_t most) : notes_(notes), most_(most), done_(notes.size()) {
    for (std::size_t i = 0; i < notes.size(); ++i) bySent_.push_back(i);
    std::stable_sort(bySent_.begin(), bySent_.end(), BySent{notes});
    for (const OrderNote& note : notes) left_ += must(note) ? 1 : 0;
  }
  LinearityReport run() {
    const bool found = step({});
    report_.linearity = found ? Linearity::kHolds : tried_ > most_ ? Linearity::kUndecided : Linearity::kBroken;
    return report_;
  }

 private:
  struct BySent {
    const std::vector<OrderNote>& notes;
    bool operator()(std::size_t left, std::size_t right) const { return notes[left].sentUs < notes[right].sentUs; }
  };
  // One without a clear answer need not have happened.
  static bool must(const OrderNote& note) { return note.result != OrderResult::kUnknown; }
  static bool changes(const OrderNote& note) {
    return note.kind != OrderKind::kRead && note.result != OrderResult::kRefused;
  }
  static bool fits(const OrderNote& note, const RegisterState& state) {
    if (note.kind == OrderKind::kRead)
      return note.next == state.revision && (note.content == 0 || note.content == state.content);
    if (note.kind == OrderKind::kWrite) return note.result != OrderResult::kRefused;
    const bool swaps = note.base == state.revision && note.next > state.revision;
    return swaps == (note.result != OrderResult::kRefused);
  }
  // The earliest answer among those that still have no moment: no other order may come after it.
  Us bound() const {
    Us boundUs = OrderNote::kNever;
    for (std::size_t i = 0; i < bySent_.size(); ++i) {
      const OrderNote& note = notes_[bySent_[i]];
      if (note.sentUs > boundUs) break;
      if (!done_[bySent_[i]] && must(note)) boundUs = std::min(boundUs, note.answeredUs);
    }
    return boundUs;
  }
  void place(std::size_t i, std::vector<std::size_t>& placed) {
    done_[i] = true;
    left_ -= must(notes_[i]) ? 1 : 0;
    placed.push_back(i);
  }
  void placeWhatChangesNothing(const RegisterState& state, std::vector<std::size_t>& placed) {
    for (bool any = true; any;) {
      any = false;
      const Us boundUs = bound();
      for (std::size_t i : bySent_) {
        if (notes_[i].sentUs > boundUs) break;
        if (done_[i] || changes(notes_[i]) || !must(notes_[i]) || !fits(notes_[i], state)) continue;
        place(i, placed);
        any = true;
      }
    }
  }
  void note() {
    const std::size_t placed = notes_.size() - left_;
    if (placed < report_.placed) return;
    report_.placed = placed;
    Us earliestUs = OrderNote::kNever;
    for (std::size_t i : bySent_) {
      if (done_[i] || !must(notes_[i]) || notes_[i].answeredUs >= earliestUs) continue;
      earliestUs = notes_[i].answeredUs;
      report_.stuckAt = noteText(notes_[i]);
    }
  }
  bool step(const RegisterState& state) {
    std::vector<std::size_t> placed;
    placeWhatChangesNothing(state, placed);
    note();
    if (left_ == 0) return true;
    if (++tried_ > most_) return false;
    std::string key(reinterpret_cast<const char*>(&state), sizeof(state));
    for (std::size_t i = 0; i < done_.size(); i += 8) {
      char bits = 0;
      for (std::size_t j = i; j < std::min(i + 8, done_.size()); ++j)
        bits = static_cast<char>((bits << 1) | (done_[j] ? 1 : 0));
      key.push_back(bits);
    }
    const bool fresh = ledNowhere_.insert(std::move(key)).second;
    const Us boundUs = bound();
    for (std::size_t at = 0; fresh && at < bySent_.size(); ++at) {
      const std::size_t i = bySent_[at];
      if (notes_[i].sentUs > boundUs) break;
      if (done_[i] || !changes(notes_[i]) || !fits(notes_[i], state)) continue;
      std::vector<std::size_t> one;
      place(i, one);
      const Revision revision = notes_[i].kind == OrderKind::kSwap ? notes_[i].next : state.revision;
      if (step({revision, notes_[i].content})) return true;
      takeBack(one);
    }
    takeBack(placed);
    return false;
  }
  void takeBack(const std::vector<std::size_t>& placed) {
    for (std::size_t i : placed) {
      done_[i] = false;
      left_ += must(notes_[i]) ? 1 : 0;
    }
  }
  const std::vector<OrderNote>& notes_;
  std::size_t most_;
  std::vector<bool> done_;
  std::vector<std::size_t> bySent_;
  std::size_t left_ = 0;  // that must find a moment, and have none
  std::size_t tried_ = 0;
  std::unordered_set<std::string> ledNowhere_;
  LinearityReport report_;
};
}  // namespace

LinearityReport checkLinearity(const std::vector<OrderNote>& notes, std::size_t most) {
  return Search(notes, most).run();
}

OrderHistory::Id OrderHistory::begin(const std::string& reg, OrderNote note) {
  std::vector<OrderNote>& kept = notes_[reg];
  kept.push_back(std::move(note));
  return kept.size() - 1;
}

void OrderHistory::acknowledged(const std::string& reg, Id id, Us atUs) {
  OrderNote& note = notes_.at(reg)[id];
  if (note.result == OrderResult::kRefused) {
    contradictions_.push_back(absl::StrCat(reg, ": refused, then acknowledged at ", atUs, ": ", noteText(note)));
    return;
  }
  acknowledgedAgain += note.result == OrderResult::kTaken ? 1 : 0;
  note.result = OrderResult::kTaken;
  note.answeredUs = std::min(note.answeredUs, atUs);
}

void OrderHistory::refused(const std::string& reg, Id id, Us sentUs, Us atUs) {
  OrderNote& note = notes_.at(reg)[id];
  if (note.result == OrderResult::kTaken) {
    contradictions_.push_back(absl::StrCat(reg, ": acknowledged, then refused at ", atUs, ": ", noteText(note)));
    return;
  }
  if (note.result == OrderResult::kRefused) return;
  note.result = OrderResult::kRefused;
  note.sentUs = sentUs;
  note.answeredUs = atUs;
}

void OrderHistory::read(const std::string& reg, Revision revision, std::uint64_t content, Us sentUs, Us atUs) {
  OrderNote note{OrderKind::kRead, 0, revision, content, sentUs, atUs, OrderResult::kTaken, "reader"};
  notes_[reg].push_back(std::move(note));
}

std::uint64_t OrderHistory::orders() const {
  std::uint64_t count = 0;
  for (const auto& [reg, notes] : notes_) count += notes.size();
  return count;
}

std::vector<std::string> OrderHistory::faults() const {
  std::vector<std::string> faults = contradictions_;
  for (const auto& [reg, notes] : notes_) {
    const LinearityReport report = checkLinearity(notes);
    if (report.linearity == Linearity::kHolds) continue;
    const char* what = report.linearity == Linearity::kBroken ? " is not linearizable" : " could not be decided";
    faults.push_back(absl::StrCat("the history of ", reg, what, ": ", report.placed, " of ", notes.size(),
                                  " placed, stuck at ", report.stuckAt));
  }
  return faults;
}

}  // namespace stonemount
