// How a process that serves callers ends when it is told to: it drains, refuses new requests once its callers have had
// time to see it leave, finishes what it took, and stops within the time that its deployment gives it (design.md 9.9).
#pragma once

#include "stonemount.h"

namespace stonemount {

// What is to end. Runs on the loop's thread, as all else here.
class DrainingServer {
 public:
  virtual ~DrainingServer() = default;
  // Says to all who choose among servers that this one is leaving; callers that come are still served.
  virtual void drain() = 0;
  // From now on no request is taken: callers that come are refused at once, and told when to come back.
  virtual void refuseNew() = 0;
  // No request that was taken is under way, in any part of the process.
  virtual bool idle() const = 0;
  // Requests of callers that were read and whose answers are not with the kernel yet.
  virtual std::size_t openRequests() const = 0;
  // Requests of callers that were taken since drain().
  virtual std::uint64_t takenWhileDraining() const = 0;
  // Ends the process; what is open is cut off.
  virtual void stop() = 0;
};

struct GracefulStopPlan {
  Us graceUs = 20 * kSecondUs;  // from the signal until the process is killed
  Us noticeUs = 0;              // how long callers may still be sent here by those who have not seen it leave
};

enum class StopReason : std::uint8_t {
  kIdle,        // nothing was open any more
  kGraceSpent,  // out of time: what was open is cut off
};

// Begun by the first signal (proceed), then looks again each 50 ms until the server may stop. What is taken after the
// notice would only keep the process alive until its grace is spent, and be cut off then: it is refused instead.
class GracefulStop : public Continuation {
 public:
  GracefulStop(Clock& clock, Timers& timers, DrainingServer& server, GracefulStopPlan plan);
  ~GracefulStop() override;
  void proceed() override;
  bool begun() const { return begunUs_.has_value(); }

 private:
  void begin(Us nowUs);
  void stop(StopReason reason, Us nowUs);
  Clock& clock_;
  Timers& timers_;
  DrainingServer& server_;
  GracefulStopPlan plan_;
  std::optional<Us> begunUs_;
  bool refusing_ = false;
};

}  // namespace stonemount
