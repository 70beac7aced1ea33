// Orders of the store's membership in the control chain (design.md 6.10).
#include <algorithm>

#include "control/commands.h"

namespace stonemount {

namespace {
constexpr std::size_t kRetiredKept = 256;  // older orders are of machines that are long gone
}

bool MemberOrders::retires(const Address& address, const std::string& machine) const {
  for (const RetireOrder& order : retired)
    if (order.address == address && (machine.empty() || order.machine == machine)) return true;
  return false;
}

OrderVerdict applyOrder(MemberOrders& orders, const FoundStore& command) {
  const bool first = orders.storeFounders.empty();
  if (first) orders.storeFounders = command.founders;
  return {first ? OrderOutcome::kDone : OrderOutcome::kAgain, orders};
}

// Two that are asked for at once are each counted on by the other: the second sees the first's order here.
OrderVerdict applyOrder(MemberOrders& orders, const RetireStore& command) {
  for (const RetireOrder& order : orders.retired)
    if (order.address == command.address && order.machine == command.machine) return {OrderOutcome::kAgain, orders};
  std::size_t rest = 0;
  for (const Address& address : command.rest)
    rest += address != command.address && !orders.retires(address, "") ? 1 : 0;
  if (rest < command.needed) return {OrderOutcome::kTooFew, orders};
  orders.retired.push_back({command.machine, command.address});
  if (orders.retired.size() > kRetiredKept) orders.retired.pop_front();
  return {OrderOutcome::kDone, orders};
}

}  // namespace stonemount
