// One exchange with a worker, from the sending on to the seal (design.md 9.4). Live traffic and
// lot items run the same way.
#pragma once

#include "proxy/sealed_reader.h"
#include "proxy/worker_load_table.h"

namespace stonemount {

struct WorkOrder {
  std::string exchange;
  Route route;
  Bytes prompt;
  bool lot = false;
  std::string lookupKey;
};

struct WorkSealed {
  std::uint32_t count = 0;
  std::uint32_t digest = 0;
};
struct WorkUnsent {};   // proven: no worker has seen a byte of it
struct WorkRefused {};  // the worker said under our exchange id that it has not run and will not
struct WorkDeclined {
  Bytes verdict;
};                   // the worker's own final no
struct WorkBroken {  // may have run; not whole
  SealFault fault = SealFault::kNone;
  bool began = true;  // the worker answered something, or broke off what it had been sent
};
struct WorkLapsed {
  bool began = false;
};                   // our own limit passed; the worker had answered something
struct WorkLeft {};  // the caller went away
using WorkEnding = std::variant<WorkSealed, WorkUnsent, WorkRefused, WorkDeclined, WorkBroken, WorkLapsed, WorkLeft>;

// Where the parts go as they come.
class PartSink {
 public:
  virtual ~PartSink() = default;
  virtual void part(const Bytes& data) = 0;
  virtual void alive() {}  // any bytes at all
  virtual bool left() const = 0;
  virtual Event& event() = 0;  // rung when the caller leaves
};

class Exchange {
 public:
  Exchange(Ports& ports, WorkerLoadTable& board) : ports_(ports), board_(board) {}
  Job<WorkEnding> run(WorkOrder order, Address worker, Us untilUs, PartSink& sink);

 private:
  Ports& ports_;
  WorkerLoadTable& board_;
};

WorkerLoadTable::Ending boardEnding(const WorkEnding& ending);

}  // namespace stonemount
