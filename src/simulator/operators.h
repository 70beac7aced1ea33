// Simulated operators: they push, evacuate and end, race each other, and remember what they were told.
#pragma once

#include "simulator/fleet.h"
#include "simulator/linearizability.h"

namespace stonemount {

struct OperatorLedger {
  std::map<Revision, Us> configAcked;  // when each was first acknowledged
  std::vector<std::string> faults;     // what no operator may be told
  OrderHistory history;                // of the configuration and of each zone; must be linearizable
  std::uint64_t lostOneIn = 0;         // answers to orders that are lost on their way to the operator; 0: none
  std::uint64_t lost = 0;
  std::uint64_t pushes = 0, conflicts = 0, unsure = 0, refused = 0;
  std::map<std::string, Us> zoneEvacuated;  // since when, where acknowledged
  std::set<std::string> zoneRestoreAsked;
  std::map<std::string, Us> lotEnded;
  std::set<std::string> lotEndAsked;
};

class SimOperator {
 public:
  SimOperator(Fleet& fleet, SimHost& host, OperatorLedger& ledger);
  ~SimOperator() { room_.clear(); }
  void pushRoutes(bool first, std::size_t routes = 5);  // the usual routes, and some that change each time
  void createEvent(const std::string& name, Us openForUs);
  void setZone(const std::string& zone, bool evacuated);
  void endLot(const std::string& lot);
  void changeVoters(const std::string& path, const Address& add, const Address& remove);
  bool idle() const { return room_.size() == 0; }
  int lastStatus = 0;

 private:
  void judgeRead(Revision base, Revision acked);
  Task push(bool first, std::size_t routes);
  Task event(std::string name, Us openForUs);
  Task zone(std::string name, bool evacuated);
  Task end(std::string lot);
  Task voters(std::string path, Address add, Address remove);
  // An order, sent as it was to one node after another until its answer is clear; 0: it never was. `sentUs`: when the
  // try that was answered was sent.
  struct Told {
    int status = 0;
    Bytes body;
    Us sentUs = 0;
  };
  Job<Told> order(std::string method, std::string path, Bytes body, std::size_t most);
  Job<HttpVerdict> ask(std::string method, std::string path, Bytes body, Us limitUs);
  Fleet& fleet_;
  SimHost& host_;
  Ports ports_;
  OperatorLedger& ledger_;
  TaskRoom room_;
  std::uint64_t last_ = 0;
};

}  // namespace stonemount
