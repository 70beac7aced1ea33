// The checker of the operators' history: it takes every history that a register could have made, and none that it
// could not.
#include "simulator/linearizability.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdio>

#include "expect.h"

using namespace stonemount;

namespace {
constexpr Us kNever = OrderNote::kNever;
constexpr OrderResult kTaken = OrderResult::kTaken, kRefused = OrderResult::kRefused, kUnknown = OrderResult::kUnknown;

OrderNote swap(Revision base, Revision next, Us sentUs, Us answeredUs, OrderResult result = kTaken) {
  return {OrderKind::kSwap, base, next, next * 100 + base, sentUs, answeredUs, result, "swap"};
}
OrderNote write(std::uint64_t content, Us sentUs, Us answeredUs, OrderResult result = kTaken) {
  return {OrderKind::kWrite, 0, 0, content, sentUs, answeredUs, result, "write"};
}
OrderNote read(Revision revision, Us sentUs, Us answeredUs, std::uint64_t content = 0) {
  return {OrderKind::kRead, 0, revision, content, sentUs, answeredUs, kTaken, "read"};
}

void planted() {
  struct Case {
    const char* what;
    bool holds;
    std::vector<OrderNote> notes;
  };
  const Case cases[] = {
      {"one after another", true, {swap(0, 1, 0, 10), swap(1, 4, 20, 30), read(4, 40, 50)}},
      {"two on one version, both acknowledged", false, {swap(0, 1, 0, 10), swap(1, 2, 20, 30), swap(1, 3, 20, 30)}},
      {"two under one number, both acknowledged", false, {swap(0, 5, 0, 10), swap(0, 5, 0, 10)}},
      {"one of two prevails", true, {swap(0, 1, 0, 10), swap(1, 2, 20, 30), swap(1, 3, 20, 30, kRefused)}},
      {"refused though nothing else came", false, {swap(0, 1, 0, 10), swap(1, 2, 20, 30, kRefused)}},
      {"refused before the other was sent", false, {swap(0, 1, 0, 10, kRefused), swap(0, 2, 20, 30)}},
      {"refused, and in force", false, {swap(0, 1, 0, 10), swap(0, 2, 5, 15, kRefused), read(2, 20, 30)}},
      {"a read of an older version", false, {swap(0, 1, 0, 10), swap(1, 2, 20, 30), read(1, 40, 50)}},
      {"a read while it changes", true, {swap(0, 1, 0, 10), swap(1, 2, 20, 40), read(1, 30, 35), read(2, 36, 39)}},
      {"a read that goes back while it changes", false, {swap(0, 1, 0, 50), read(1, 10, 20), read(0, 30, 40)}},
      {"not what was sent under its number", false, {swap(0, 1, 0, 10), read(1, 20, 30, 7)}},
      {"what was sent under its number", true, {swap(0, 1, 0, 10), read(1, 20, 30, 100)}},
      {"unclear, and in force later", true, {swap(0, 1, 0, kNever, kUnknown), read(0, 10, 20), read(1, 30, 40)}},
      {"unclear, and never in force", true, {swap(0, 1, 0, kNever, kUnknown), swap(0, 2, 30, 40), read(2, 50, 60)}},
      {"unclear, in force, and gone", false, {swap(0, 1, 0, kNever, kUnknown), read(1, 10, 20), read(0, 30, 40)}},
      {"built on one that was unclear", true, {swap(0, 1, 0, kNever, kUnknown), swap(1, 2, 30, 40)}},
      {"built on nothing", false, {swap(0, 1, 0, 10), swap(3, 4, 30, 40)}},
      {"a number that does not rise", false, {swap(0, 3, 0, 10), swap(3, 3, 20, 30)}},
      {"an order sent again does it twice", false, {write(2, 0, 10), write(1, 20, 30), read(0, 40, 50, 2)}},
      {"an unclear one may come late", true, {write(2, 0, kNever, kUnknown), write(1, 20, 30), read(0, 40, 50, 2)}},
      {"but only once",
       false,
       {write(2, 0, kNever, kUnknown), read(0, 5, 6, 2), write(1, 20, 30), read(0, 40, 50, 2)}}};
  for (const Case& one : cases) {
    const LinearityReport report = checkLinearity(one.notes);
    expect(report.linearity == (one.holds ? Linearity::kHolds : Linearity::kBroken),
           absl::StrCat(one.what, ", stuck at ", report.stuckAt));
  }
  expect(checkLinearity(cases[1].notes, 0).linearity == Linearity::kUndecided, "a search that ends says so");
}

// Every order of a few moments, tried one by one.
bool anyOrderFits(std::vector<OrderNote> notes) {
  std::vector<std::size_t> order;
  for (std::size_t i = 0; i < notes.size(); ++i) order.push_back(i);
  do {
    Revision revision = 0;
    Us atUs = 0;
    bool fits = true;
    for (std::size_t i = 0; fits && i < order.size(); ++i) {
      const OrderNote& note = notes[order[i]];
      atUs = std::max(atUs, note.sentUs);
      fits = atUs <= note.answeredUs;
      const bool swaps = note.base == revision && note.next > revision;
      if (note.kind == OrderKind::kRead)
        fits = fits && note.next == revision;
      else if (note.result == kRefused)
        fits = fits && !swaps;
      else if (note.result == kTaken)
        fits = fits && swaps;
      if (note.kind == OrderKind::kSwap && note.result != kRefused && swaps) revision = note.next;
    }
    if (fits) return true;
  } while (std::next_permutation(order.begin(), order.end()));
  return false;
}

void asEveryOrderTried() {
  Chance chance(20261202);
  int held = 0;
  for (int round = 0; round < 4000; ++round) {
    std::vector<OrderNote> notes;
    const std::size_t count = 2 + chance.below(4);
    for (std::size_t i = 0; i < count; ++i) {
      const Us sentUs = static_cast<Us>(chance.below(40));
      const Us answeredUs = sentUs + 1 + static_cast<Us>(chance.below(25));
      const Revision base = chance.below(3);
      const std::uint64_t kind = chance.below(5);
      if (kind == 0)
        notes.push_back(read(chance.below(4), sentUs, answeredUs));
      else if (kind == 1)
        notes.push_back(swap(base, base + 1, sentUs, kNever, kUnknown));
      else
        notes.push_back(swap(base, base + 1 + chance.below(2), sentUs, answeredUs, kind == 2 ? kRefused : kTaken));
    }
    const bool holds = anyOrderFits(notes);
    held += holds ? 1 : 0;
    expect(checkLinearity(notes).linearity == (holds ? Linearity::kHolds : Linearity::kBroken),
           absl::StrCat("as every order tried, round ", round));
  }
  expect(held > 200 && held < 3800, absl::StrCat("both verdicts are drawn: ", held));
}

// A long day: a register that was there, many orders under way at once, some never answered.
std::vector<OrderNote> longDay(Chance& chance, std::size_t orders) {
  std::vector<OrderNote> notes;
  Revision revision = 0;
  Us atUs = 0;
  for (std::size_t i = 0; i < orders; ++i) {
    atUs += 1 + static_cast<Us>(chance.below(20));
    const Us sentUs = atUs - static_cast<Us>(chance.below(100));
    const Us answeredUs = atUs + static_cast<Us>(chance.below(100));
    const std::uint64_t kind = chance.below(4);
    if (kind == 0) {
      notes.push_back(read(revision, sentUs, answeredUs));
    } else if (kind == 1 && revision > 0) {
      notes.push_back(swap(revision - 1, revision + 3, sentUs, answeredUs, kRefused));
    } else {
      const bool unknown = chance.oneIn(5);
      const Revision next = revision + 1 + chance.below(3);
      notes.push_back(swap(revision, next, sentUs, unknown ? kNever : answeredUs, unknown ? kUnknown : kTaken));
      if (!unknown || chance.oneIn(2)) revision = next;
    }
  }
  return notes;
}

void longDays() {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Chance chance(seed);
    std::vector<OrderNote> notes = longDay(chance, 800);
    LinearityReport report = checkLinearity(notes);
    expect(report.linearity == Linearity::kHolds, absl::StrCat("a long day, seed ", seed, ", at ", report.stuckAt));
    // The last acknowledged change is told to another operator too.
    auto last = notes.rbegin();
    while (last->kind != OrderKind::kSwap || last->result != kTaken) ++last;
    OrderNote twin = *last;
    twin.next += 1;
    notes.push_back(twin);
    report = checkLinearity(notes);
    expect(report.linearity == Linearity::kBroken, absl::StrCat("with two on one version, seed ", seed));
  }
}

void histories() {
  OrderHistory history;
  const OrderHistory::Id id = history.begin("configuration", swap(0, 1, 0, kNever, kUnknown));
  history.acknowledged("configuration", id, 10);
  history.acknowledged("configuration", id, 90);
  expect(history.faults().empty() && history.acknowledgedAgain == 1, "acknowledged again is one order");
  history.read("configuration", 1, 100, 20, 30);
  expect(history.faults().empty(), "and read back");
  history.refused("configuration", id, 95, 99);
  expect(history.faults().size() == 1, "acknowledged, then refused");
  OrderHistory other;
  const OrderHistory::Id lost = other.begin("configuration", swap(3, 4, 0, kNever, kUnknown));
  other.refused("configuration", lost, 20, 30);
  expect(other.faults().empty(), "refused");
  other.acknowledged("configuration", lost, 40);
  expect(other.faults().size() == 1, "refused, then acknowledged");
}
}  // namespace

int main() {
  planted();
  asEveryOrderTried();
  longDays();
  histories();
  return expectationsVerdict();
}
