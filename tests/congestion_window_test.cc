// A congestion window over a modelled queue: it settles where the queue's delay meets the target, follows a path whose
// pace changes, is not misled by single late deliveries, and never leaves its bounds (design.md 6.3).
#include "replication/congestion_window.h"

#include <deque>

#include "expect.h"

using namespace stonemount;

namespace {
constexpr Us kBaseUs = 10 * kMilliUs;  // of the path without a queue
constexpr std::size_t kPacketBytes = 16 << 10;
constexpr CongestionWindow::Limits kLimits{64 << 10, 256 << 10, 1 << 20, 150 * kMilliUs};

// A sender that always has more to send, and a queue that is drained at `bytesPerUs`.
class Path {
 public:
  explicit Path(double bytesPerUs) : bytesPerUs_(bytesPerUs) {}
  void setPace(double bytesPerUs) { bytesPerUs_ = bytesPerUs; }
  // One delivery in so many is late by a second, for a reason of its own.
  void setLate(std::uint64_t oneIn) { lateOneIn_ = oneIn; }
  void run(Us lengthUs) {
    const Us untilUs = nowUs_ + lengthUs;
    while (nowUs_ < untilUs) {
      fill();
      const Packet packet = packets_.front();
      packets_.pop_front();
      nowUs_ = std::max(nowUs_, packet.dueUs);
      underWay_ -= kPacketBytes;
      carried_ += kPacketBytes;
      const bool late = lateOneIn_ != 0 && chance_.oneIn(lateOneIn_);
      const Us delayUs = nowUs_ - packet.sentUs + (late ? kSecondUs : 0);
      longestUs_ = std::max(longestUs_, nowUs_ - packet.sentUs);
      window_.delivered(kPacketBytes, nowUs_ - delayUs, nowUs_);
    }
  }
  void forget() {
    carried_ = 0;
    longestUs_ = 0;
  }
  CongestionWindow& window() { return window_; }
  std::size_t carried() const { return carried_; }
  Us longestUs() const { return longestUs_; }

 private:
  struct Packet {
    Us sentUs = 0;
    Us dueUs = 0;
  };
  void fill() {
    while (packets_.empty() || underWay_ + kPacketBytes <= window_.bytes()) {
      freeUs_ = std::max(freeUs_, nowUs_) + static_cast<Us>(static_cast<double>(kPacketBytes) / bytesPerUs_);
      packets_.push_back({nowUs_, freeUs_ + kBaseUs});
      underWay_ += kPacketBytes;
    }
    window_.limited();
  }
  double bytesPerUs_;
  std::uint64_t lateOneIn_ = 0;
  CongestionWindow window_{kLimits};
  Chance chance_{5};
  std::deque<Packet> packets_;
  std::size_t underWay_ = 0, carried_ = 0;
  Us nowUs_ = kSecondUs, freeUs_ = 0, longestUs_ = 0;
};

void settles(double bytesPerUs) {
  const std::string name = " at " + std::to_string(bytesPerUs) + " MB/s";
  Path path(bytesPerUs);
  path.run(3 * kSecondUs);
  path.forget();
  path.run(4 * kSecondUs);
  const double share = static_cast<double>(path.carried()) / (bytesPerUs * 4 * kSecondUs);
  expect(share > 0.9, "the path is used: " + std::to_string(share) + name);
  const bool least = path.window().bytes() <= kLimits.leastBytes;
  expect(least || path.longestUs() < 2 * kLimits.targetUs,
         "the queue stays near the target: " + std::to_string(path.longestUs() / kMilliUs) + " ms" + name);
}

void followsAChange() {
  Path path(10);
  path.run(2 * kSecondUs);
  const std::size_t before = path.window().bytes();
  path.setPace(1);
  path.run(4 * kSecondUs);  // it shrinks by half a round, and rounds take as long as the queue
  const std::size_t slow = path.window().bytes();
  expect(slow < before / 2, "it shrinks on a slower path: " + std::to_string(slow) + " of " + std::to_string(before));
  path.forget();
  path.run(2 * kSecondUs);
  expect(path.longestUs() < 2 * kLimits.targetUs, "and the queue with it");
  path.setPace(10);
  path.run(4 * kSecondUs);
  expect(path.window().bytes() > 2 * slow, "it grows again: " + std::to_string(path.window().bytes()));
}

void ignoresSingleDelays() {
  Path path(20);
  path.setLate(10);
  path.run(4 * kSecondUs);
  expect(path.window().bytes() > kLimits.mostBytes / 2,
         "one late delivery in ten changes little: " + std::to_string(path.window().bytes()));
}

void keepsItsBounds() {
  CongestionWindow window(kLimits);
  Us nowUs = kSecondUs;
  for (int i = 0; i < 20; ++i) window.lost(nowUs += kMilliUs);
  expect(window.bytes() == kLimits.leastBytes, "never under the least");
  for (int i = 0; i < 2000; ++i) {
    nowUs += kMilliUs;
    window.limited();
    window.delivered(kPacketBytes, nowUs - 100, nowUs);
  }
  expect(window.bytes() == kLimits.mostBytes, "never over the most");
  nowUs += 10 * kSecondUs;
  window.delivered(kPacketBytes, nowUs - 100, nowUs);
  expect(window.bytes() <= kLimits.initialBytes + kPacketBytes, "after a pause it begins anew");
}

void growsOnlyWhenLimited() {
  CongestionWindow window(kLimits);
  for (Us nowUs = kSecondUs; nowUs < 2 * kSecondUs; nowUs += kMilliUs)
    window.delivered(kPacketBytes, nowUs - 100, nowUs);
  expect(window.bytes() == kLimits.initialBytes, "unused room is no reason to grow");
}

// A window that yields allows the same queue on a long path as on a short one, also after it has seen a shorter one.
void yieldsOnAnyPath() {
  constexpr CongestionWindow::Limits kYielding{16 << 10, 32 << 10, 256 << 10, 25 * kMilliUs, true};
  CongestionWindow window(kYielding);
  Us nowUs = kSecondUs;
  for (const Us baseUs : {2 * kMilliUs, 80 * kMilliUs}) {
    nowUs += 10 * kSecondUs;
    for (int i = 0; i < 200; ++i, nowUs += 10 * kMilliUs) {
      window.limited();
      window.delivered(kPacketBytes, nowUs - baseUs, nowUs);
    }
    expect(window.bytes() == kYielding.mostBytes, "it grows on a path without a queue");
    for (int i = 0; i < 200; ++i, nowUs += 10 * kMilliUs) {
      window.limited();
      window.delivered(kPacketBytes, nowUs - baseUs - 100 * kMilliUs, nowUs);
    }
    expect(window.bytes() == kYielding.leastBytes, "it shrinks where others fill the path");
  }
}
}  // namespace

int main() {
  for (const double bytesPerUs : {0.2, 0.5, 1.0, 2.0, 5.0, 20.0}) settles(bytesPerUs);
  followsAChange();
  ignoresSingleDelays();
  keepsItsBounds();
  growsOnlyWhenLimited();
  yieldsOnAnyPath();
  return expectationsVerdict();
}
