#include "node/lot_sealer.h"

#include <absl/strings/str_cat.h>

namespace stonemount {

class LotSealer::Gathering : public PartSink {
 public:
  explicit Gathering(LotRunPtr run) : run_(std::move(run)) {}
  void part(const Bytes& data) override { gathered += data; }
  bool left() const override { return false; }
  Event& event() override { return run_->knock; }
  Bytes gathered;

 private:
  LotRunPtr run_;
};

std::optional<CarrierPlace> LotSealer::reserve(const Route& route, std::uint64_t prefix) {
  SelectionRequest wish;
  wish.pool = route.pool;
  wish.adapter = route.adapter;
  wish.spot = prefix;
  wish.lot = true;
  const std::optional<Address> chosenWorker = board_.selectWorker(wish);
  if (!chosenWorker) return std::nullopt;
  board_.take(*chosenWorker, true);
  return CarrierPlace{*chosenWorker, board_.lotSlots(board_.sights().at(*chosenWorker))};
}

void LotSealer::release(const CarrierPlace& place) {
  board_.giveBack(place.worker, true, WorkerLoadTable::Ending::kLeft);
}

Job<ItemEnding> LotSealer::carry(LotRunPtr run) {
  auto route = control_.routes().find(run->route);
  if (route == control_.routes().end()) {  // it went while the run was granted
    board_.giveBack(run->worker, true, WorkerLoadTable::Ending::kLeft);
    co_return ItemGivenBack{};
  }
  WorkOrder order;
  order.exchange = absl::StrCat(run->name.lot, ".", run->name.item, ".", run->name.run);
  order.route = route->second;
  order.prompt = run->item.body;
  order.lot = true;
  Exchange exchange(ports_, board_);
  Gathering gathering(run);
  const Us untilUs = ports_.clock.monoUs() + order.route.limitUs;
  Job<WorkEnding> running = exchange.run(std::move(order), run->worker, untilUs, gathering);
  const WorkEnding ending = co_await running;
  board_.giveBack(run->worker, true, boardEnding(ending));
  if (std::holds_alternative<WorkSealed>(ending)) co_return ItemWhole{std::move(gathering.gathered)};
  if (auto* declined = std::get_if<WorkDeclined>(&ending)) co_return ItemDeclined{declined->verdict};
  auto* broken = std::get_if<WorkBroken>(&ending);  // partial output goes nowhere
  auto* lapsed = std::get_if<WorkLapsed>(&ending);
  co_return ItemGivenBack{(broken != nullptr && broken->began) || (lapsed != nullptr && lapsed->began), false};
}

}  // namespace stonemount
