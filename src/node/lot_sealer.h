// Items of the product's own lots: one worker each, selected before the run is granted, whose parts count
// once they are sealed (design.md 9.5).
#pragma once

#include "node/lot_carrier.h"
#include "proxy/exchange.h"

namespace stonemount {

class LotSealer : public ItemCarrier {
 public:
  LotSealer(Ports& ports, WorkerLoadTable& board, const ControlState& control)
      : ports_(ports), board_(board), control_(control) {}
  // A place for one more item. None: not now.
  std::optional<CarrierPlace> reserve(const Route& route, std::uint64_t prefix);
  void release(const CarrierPlace& place);  // the store did not grant it
  bool mayRenew(const LotRun& run) const override { return board_.listed(run.worker); }
  Job<ItemEnding> carry(LotRunPtr run) override;

 private:
  class Gathering;
  Ports& ports_;
  WorkerLoadTable& board_;
  const ControlState& control_;
};

}  // namespace stonemount
