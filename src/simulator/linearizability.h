// The history of the operators, checked to be linearizable: each order that was acknowledged took effect at one moment
// between its first sending and its first acknowledgement, one that was refused never did, one without a clear answer
// did at one moment after its sending or not at all, and every read shows what stood at a moment while it ran.
// An order that is sent again, to whichever node, is the same order. Single-threaded; times are simulated microseconds.
#pragma once

#include "stonemount.h"

namespace stonemount {

enum class OrderKind : std::uint8_t {
  kSwap,   // takes effect only where the version that stands is `base`, and makes it `next`
  kWrite,  // takes effect whatever stands
  kRead    // shows `next` and `content`
};
enum class OrderResult : std::uint8_t { kUnknown, kTaken, kRefused };

struct OrderNote {
  static constexpr Us kNever = std::numeric_limits<Us>::max();
  OrderKind kind = OrderKind::kSwap;
  Revision base = 0;
  Revision next = 0;          // of writes: not used
  std::uint64_t content = 0;  // 0 in a read: not looked at
  Us sentUs = 0;              // taken and unknown: its first sending; refused: the sending that was refused
  Us answeredUs = kNever;
  OrderResult result = OrderResult::kUnknown;
  std::string who;  // for the report
};

// What an operator's tries come to. Kept apart for each register: the configuration, each zone.
class OrderHistory {
 public:
  using Id = std::size_t;
  Id begin(const std::string& reg, OrderNote note);  // at its first sending
  // One try's answer; a try that had no clear answer is not told.
  void acknowledged(const std::string& reg, Id id, Us atUs);
  void refused(const std::string& reg, Id id, Us sentUs, Us atUs);
  void read(const std::string& reg, Revision revision, std::uint64_t content, Us sentUs, Us atUs);
  const std::map<std::string, std::vector<OrderNote>>& notes() const { return notes_; }
  // Empty: linearizable, and no order was told both yes and no.
  std::vector<std::string> faults() const;
  std::uint64_t orders() const;
  std::uint64_t acknowledgedAgain = 0;  // answers to orders that had been acknowledged before

 private:
  std::map<std::string, std::vector<OrderNote>> notes_;
  std::vector<std::string> contradictions_;
};

enum class Linearity : std::uint8_t { kHolds, kBroken, kUndecided };
struct LinearityReport {
  Linearity linearity = Linearity::kHolds;
  std::size_t placed = 0;  // the most orders that found a moment
  std::string stuckAt;     // the first that did not, in the longest attempt
};
// Searches for an order of moments that explains the history, from version 0 and content 0 (Wing and Gong, with the
// sets and states that led nowhere remembered). `most` bounds the search.
LinearityReport checkLinearity(const std::vector<OrderNote>& notes, std::size_t most = 2'000'000);

}  // namespace stonemount
