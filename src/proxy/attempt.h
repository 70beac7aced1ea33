// One request at one worker, its bytes passed through (design.md 9.6).
#pragma once

#include "proxy/event_reader.h"
#include "proxy/pool_load_table.h"
#include "proxy/stage_times.h"
#include "proxy/worker_dialect.h"
#include "runtime/await.h"

namespace stonemount {

struct PassOrder {
  std::string exchange;                    // the id that the worker must echo
  std::string pool;                        // whose workers may run it
  HttpAsk ask;                             // as it goes out; what concerns one worker is added when it is sent
  std::uint64_t spot = 0;                  // of its shared prompt; 0: none
  std::optional<std::uint64_t> lastEvent;  // go on after this event
  bool lot = false;
  bool urgent = false;  // of a lot: short of time
  Us limitUs = 0;       // that it may take from now on
};

struct PassWhole {
  int status = 0;
};  // a whole 2xx answer with its seal
struct PassNotRun {
  Us againUs = 0;
};  // proven: no worker ran it (refused, unsent, none had room)
struct PassFailed {
  int status = 0;
  HttpHead head;
  Bytes body;
};  // the worker's own whole failure: it ran
struct PassDeclined {
  HttpHead head;
  Bytes body;
};  // it can never be done
struct PassBroken {
  bool began = true;
};  // may have run; not whole
struct PassLapsed {
  bool sent = false;
};  // limitUs passed
using PassEnding = std::variant<PassWhole, PassNotRun, PassFailed, PassDeclined, PassBroken, PassLapsed>;

class PassSink {
 public:
  virtual ~PassSink() = default;
  virtual void head(const HttpHead&) {}       // of a sealed 2xx answer, before any of its bytes
  virtual void bytes(const Bytes&) {}         // of an answer that is no series of events
  virtual void event(PassEvent&& event) = 0;  // in order, each once
  virtual bool left() const = 0;              // nobody wants it any more: end it
  virtual Event& event() = 0;                 // rung when that changes
};

class ItemPasser {  // implemented by the live path
 public:
  virtual ~ItemPasser() = default;
  // One worker, one try: chooses a worker, sends, reads to the end. Never two workers in one call.
  virtual Job<PassEnding> passItem(PassOrder order, PassSink& sink) = 0;
  // How many more items of lots may go to workers of that pool now.
  virtual std::size_t roomForLots(const std::string& pool) const = 0;
};

// One try at a worker that was chosen and charged for; gives it back to the board when it ends.
class Attempt : public sigc::trackable {
 public:
  Attempt(Ports& ports, PoolLoadTable& board, const WorkerDialect& dialect)
      : ports_(ports), board_(board), dialect_(dialect) {}
  Job<PassEnding> run(PassOrder order, Address worker, PassSink& sink);
  const AttemptTimes& times() const { return times_; }

 private:
  void put(HttpPiece piece);
  void onConnected();
  void noteProgress();
  void takeHead(const HttpHead& head);
  void takeData(const Bytes& bytes);
  void end(PassEnding ending, PoolLoadTable::Ending told);
  void finish();
  Ports& ports_;
  PoolLoadTable& board_;
  const WorkerDialect& dialect_;
  PassSink* sink_ = nullptr;
  Address worker_;
  std::string life_;  // of that worker, as the request is meant for it
  std::optional<std::uint64_t> lastEvent_;
  EventReader events_;
  HttpHead head_;
  WorkerHead word_;
  Bytes failure_;
  AttemptTimes times_;
  Us beganUs_ = 0;
  Us progressUs_ = 0;  // newest event, or bytes of an answer that is no series
  bool headSeen_ = false;
  bool series_ = false;  // the answer is a series of events
  std::optional<PassEnding> ending_;
  PoolLoadTable::Ending told_ = PoolLoadTable::Ending::kLeft;
};

}  // namespace stonemount
