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
  std::optional<CarrierPlace> reserve(const Route& route, std::uint64_t prefix) override;
  void release(const CarrierPlace& place) override;
  bool mayRenew(const LotRun& run) const override { return board_.listed(run.worker); }
  Job<ItemEnding> carry(LotRunPtr run) override;

 private:
  class Gathering;
  Ports& ports_;
  WorkerLoadTable& board_;
  const ControlState& control_;
};

}  // namespace stonemount
