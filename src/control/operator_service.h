// What an operator may ask of a core process, whatever tongue it speaks (design.md 7.2). Every call ends within
// 2.5 s; one that is known to have changed nothing within 0.8 s, so that another core can be tried.
#pragma once

#include "control/control_machine.h"
#include "replication/client.h"
#include "replication/replica.h"

namespace stonemount {

struct CallUntaken {  // nothing was changed, and nothing will be
  ChainError why = ChainError::kUnreachable;
};
struct CallUnsure {};  // it may have been taken, or yet be; it may be sent again as it was

struct ConfigTaken {
  Revision revision = 0;  // that stands now
  bool again = false;     // the very same wish had been taken before
};
struct ConfigConflict {  // another revision stands than the wish was made from
  Revision standing = 0;
};
struct ConfigNotAbove {
  Revision standing = 0;
};
struct ConfigInvalid {
  ConfigFlaw flaw = ConfigFlaw::kNone;
  std::string route;
};
using PushVerdict = std::variant<ConfigTaken, ConfigConflict, ConfigNotAbove, ConfigInvalid, CallUntaken, CallUnsure>;

struct ConfigSight {  // in the operator's order
  Revision revision = 0;
  std::vector<Route> routes;
  std::vector<Pool> pools;
  CallerLimits limits;
  std::string given;
  std::vector<Tenant> tenants;
  bool keysNeeded = false;
};
struct NoConfig {};  // none was ever taken, as far as the chain knows
using ConfigAnswer = std::variant<ConfigSight, NoConfig, CallUntaken>;

struct ZoneTaken {};
using ZoneVerdict = std::variant<ZoneTaken, CallUntaken, CallUnsure>;

// Submits once the head and most voters of the newest view are heard: until then nothing is sent, so that after
// `sureUs` the caller can be told that nothing was taken, and nothing will be. Ends within `limitUs`.
Job<ChainAnswer> submitWhenHeard(Ports& ports, ChainClient& chain, Bytes command, Us limitUs, Us sureUs);

// Reads at the tail of the newest view that the members tell of. Ends within a second.
Job<ChainAnswer> readNewest(ChainClient& chain, Bytes query);

class OperatorService {
 public:
  // The replica and its machine are those of this process; none where it stands by.
  OperatorService(Ports& ports, ChainClient& core, const Replica* replica, const ControlMachine* machine)
      : ports_(ports), core_(core), replica_(replica), machine_(machine) {}
  Job<PushVerdict> push(ConfigRequest wish);
  Job<ConfigAnswer> current();  // as of now: nothing acknowledged before is missing
  Job<ZoneVerdict> setZone(std::string zone, bool evacuated);

 private:
  using CommandAnswer = std::variant<ControlVerdict, ChainFailure>;
  Job<CommandAnswer> command(ControlCommand command);
  Ports& ports_;
  ChainClient& core_;
  const Replica* replica_;
  const ControlMachine* machine_;
};

}  // namespace stonemount
