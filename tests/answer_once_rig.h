// The real HTTP adapters on the real loop, a gateway and the runner of lots' items between them, raw callers on
// one side and raw workers on the other; one seed decides all that they do.
#pragma once

#include "adapters/http.h"
#include "answer_once_worker.h"
#include "node/lot_runner.h"
#include "platform/words.h"
#include "platform/workers.h"
#include "proxy/gateway.h"

namespace stonemount {

struct NoWire : public Wire {
  Address self() const override { return {(127u << 24) | 1, 1}; }
  void post(const Address&, Bytes) override {}
};

enum class Way : std::uint8_t { kOnce, kRepeatable, kStream, kResumable };

// One try of a caller: what it asked, and all that its connection brought until the next try or the end.
struct CallerTry {
  std::string id;
  Way way = Way::kOnce;
  std::string heard;
  bool complete = false;  // as the protocol has it
  bool left = false;
};

// A caller that asks one request after the other, on a connection that it keeps where it may.
class RawCaller {
 public:
  RawCaller(Chance& chance, Address front, std::vector<CallerTry>& tries, std::size_t asks, std::string name)
      : chance_(chance), front_(front), tries_(tries), asks_(asks), name_(std::move(name)) {}
  void step();
  bool over() const { return over_; }
  std::size_t strayBytes = 0;  // that came while no request was waiting

 private:
  void ask();
  void settle();
  Chance& chance_;
  Address front_;
  std::vector<CallerTry>& tries_;
  std::size_t asks_;
  std::string name_;
  std::unique_ptr<PolledEnd> end_;
  std::optional<std::size_t> waitsFor_;
  std::size_t leavesIn_ = 0, restsFor_ = 0;
  bool over_ = false;
};

struct ReadAnswer {
  bool complete = false, malformed = false;
  int status = 0;
  std::string head, seal, body;
  std::size_t length = 0;  // of all of it
};
ReadAnswer readAnswer(const std::string& heard);

struct ItemTrip {
  std::string id;
  std::optional<ItemEnding> ending;
};

struct AnswerRig : public sigc::trackable {
  explicit AnswerRig(std::uint64_t seed);
  ~AnswerRig() { room.clear(); }
  // The day of one seed, to its end. False: it did not come to an end in the bound.
  bool run();
  void onAsked(const HttpAsk& ask, ReplyPtr reply);
  void onGone(const Address& address) { out.closeKept(address); }
  void list(RawWorker& worker);
  Task carry(ItemTrip& trip);
  static constexpr std::uint32_t kMostTries = 3;
  static constexpr Us kLimitUs = 60 * kMilliUs;
  Chance chance;
  std::vector<WorkerRun> runs;
  std::vector<CallerTry> tries;
  Loop loop;
  NoWire wire;
  HttpOutEv out{loop, 100 * kMilliUs};
  HttpInEv in{loop, {(127u << 24) | 1, 0}};
  ControlState control;
  platform::Workers dialect;
  Ports ports{loop, loop, wire, in, out, nullptr, chance};
  TaskRoom room;
  PoolLoadTable board;
  Gateway gateway;
  ItemTimes itemTimes;
  LotRunner items;
  std::vector<std::unique_ptr<RawWorker>> workers;
  std::vector<std::unique_ptr<RawCaller>> callers;
  std::vector<std::unique_ptr<ItemTrip>> trips;
};

}  // namespace stonemount
