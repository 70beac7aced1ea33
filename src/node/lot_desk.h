// Standing lots for whoever faces their callers: taken, read, ended (design.md 9.8). Every outcome is a type,
// and what it promises is said.
#pragma once

#include "node/scheduler.h"

namespace stonemount {

struct StandingLot {
  std::string name;  // given by the caller; the same name with the same items is the same lot
  std::string host;  // as the caller's `Host` header named it
  std::string path;  // that it was handed in at
  std::vector<LotItem> items;
  std::uint64_t digest = 0;  // by which it is known again
};
// Of what the caller sent, before anything is added that follows from the configuration: that may be another when the
// same lot comes again.
std::uint64_t lotDigest(const std::string& host, const std::vector<LotItem>& itemsAsSent);
struct LotServicePlan {
  Us submitUs = 2500 * kMilliUs;
  Us readUs = 1200 * kMilliUs;         // beside the time for which a read is held
  Us keepUs = 150 * kSecondUs;         // results, after the last of them or the lot's end
  Us keyUs = 24LL * 3600 * kSecondUs;  // its name, after that
  std::size_t bytesAtOnce = 24 << 20;  // of lots that are being handed in
};

struct LotTaken {
  bool again = false;
};                      // it is the system's to keep, and on two disks in two zones
struct LotConflict {};  // the name belongs to a lot with other items; nothing changed
struct LotRefused {
  Us againUs = 0;
};  // nothing of it was taken, nor will be by this call
struct LotOverQuota {
  Us againUs = 0;
};                     // as LotRefused; more tokens would wait on its route than that allows
struct LotTooLong {};  // nor could it ever be kept
struct LotUnsure {};   // it may have been taken: nothing is promised
using LotSubmitted = std::variant<LotTaken, LotConflict, LotRefused, LotOverQuota, LotTooLong, LotUnsure>;

struct LotUnknown {};      // the store is sure that there is none, or not any more
struct LotUnreachable {};  // nobody could be sure
struct LotResult {
  std::string id;
  bool whole = false;  // false: given up
  Bytes text;
};
struct LotPage {
  std::uint32_t total = 0;
  std::uint32_t next = 0;  // position after the last one here
  bool ended = false;
  std::vector<LotResult> results;
};
using LotRead = std::variant<LotPage, LotUnknown, LotUnreachable>;
struct LotBody {
  Bytes bytes;
};
struct LotNoBody {};  // no such item, or it is listed, or its lot has ended
using LotBodyRead = std::variant<LotBody, LotNoBody, LotUnknown, LotUnreachable>;
struct LotEnded {};
using LotEnding = std::variant<LotEnded, LotUnknown, LotUnreachable>;

class LotService {
 public:
  LotService(Ports& ports, RpcEndpoint& rpc, ChainClient& store, Scheduler& scheduler, const ControlState& control,
             LotServicePlan plan)
      : ports_(ports),
        rpc_(rpc),
        store_(store),
        scheduler_(scheduler),
        control_(control),
        plan_(plan),
        lotRoutes_(control) {}
  Job<LotSubmitted> submit(StandingLot lot);
  // Results from a position on, at least one if there is one, then as far as `mostBytes` reach; held for
  // `holdUs` until there is one.
  Job<LotRead> read(std::string lot, std::uint32_t from, Us holdUs, std::uint32_t mostBytes);
  Job<LotBodyRead> body(std::string lot, std::string item);
  Job<LotEnding> end(std::string lot);
  const ControlState& control() const { return control_; }
  bool idle() const { return calls_ == 0; }

 private:
  SubmitLotWithin boundedBy(const Route& route, const SubmitLot& lot);
  Job<LotRead> ask(LotAsk wish, Us holdUs, LotVerdict& verdict);
  Ports& ports_;
  RpcEndpoint& rpc_;
  ChainClient& store_;
  Scheduler& scheduler_;
  const ControlState& control_;
  LotServicePlan plan_;
  LotRoutes lotRoutes_;
  class OpenCall;
  std::size_t bytesIn_ = 0;
  std::size_t calls_ = 0;  // not answered yet
};

}  // namespace stonemount
