// Operators of the users' platform against simulated cores, as their page has them: several build on one version and
// race, eight orders are under way at once, a try is left after a second of silence and sent as it was to another
// core, acknowledgements are lost on their way, and what was acknowledged is sent again later. All of it goes into
// one history, which must be linearizable. Deterministic by the seed.
#pragma once

#include "platform_rig.h"
#include "simulator/linearizability.h"

namespace stonemount {

class OrdersRig {
 public:
  static constexpr char kConfiguration[] = "configuration";
  static constexpr std::size_t kUnderWay = 8;
  explicit OrdersRig(std::uint64_t seed) : rig(seed), chance(seed ^ 0x0DDE5) {}

  // A change that nobody else sends: its number is in its only route's prefix. By PATCH it alters that route by name.
  std::size_t change(Revision base, Revision next, bool patch = false) {
    const std::uint64_t which = orders_.size() + 1;
    const std::string route = routeText({.prefix = absl::StrCat("/c", which, "/")});
    Order order;
    order.ask = configAsk(patch ? "PATCH" : "PUT", std::to_string(base),
                          patch ? patchText(next, {route}, {}) : putText(next, {route}, {serviceText("s0")}));
    order.reg = kConfiguration;
    return add(std::move(order), {OrderKind::kSwap, base, next, which});
  }
  std::size_t evacuation(const std::string& zone, bool evacuated) {
    Order order;
    order.ask.method = evacuated ? "POST" : "DELETE";
    order.ask.path = order.ask.target = "/api/evacuation/" + zone;
    order.reg = zone;
    return add(std::move(order), {OrderKind::kWrite, 0, 0, evacuated ? 2u : 1u});
  }
  bool settled(std::size_t id) const { return orders_[id].state != State::kOpen; }
  bool taken(std::size_t id) const { return orders_[id].state == State::kTaken; }
  std::size_t underWay() const {
    std::size_t count = 0;
    for (const Order& order : orders_) count += order.state == State::kOpen ? 1 : 0;
    return count;
  }
  // Sent once more, as it was, though its answer is known.
  void sendAgain(std::size_t id) {
    orders_[id].state = State::kOpen;
    orders_[id].again = true;
    orders_[id].nextUs = 0;
  }
  void step(Us lengthUs = 20 * kMilliUs) {
    rig.run(lengthUs);
    for (std::size_t id = 0; id < orders_.size(); ++id)
      if (orders_[id].state == State::kOpen) press(id);
  }
  // Until every order has its answer. False: one had none in time.
  bool settle(Us limitUs = 40 * kSecondUs) {
    const Us untilUs = rig.world.nowUs() + limitUs;
    while (underWay() > 0 && rig.world.nowUs() < untilUs) step();
    return underWay() == 0;
  }
  // What stands, asked of one core after another.
  bool readBack() {
    for (std::size_t tries = 0; tries < 60; ++tries, step(200 * kMilliUs)) {
      const std::size_t core = chance.below(rig.cores.size());
      if (!rig.cores[core].host->up()) continue;
      const Us sentUs = rig.world.nowUs();
      const Heard heard = rig.ask(core, "GET", "/api/configuration");
      if (heard.status != 200) continue;
      JsonVerdict read = parseJson(heard.body);
      const auto* document = std::get_if<JsonDocument>(&read);
      const std::size_t at = heard.body.find("\"/c");
      std::uint64_t which = 0;
      if (document == nullptr || at == Bytes::npos) return false;
      const std::size_t end = heard.body.find('/', at + 2);
      if (!absl::SimpleAtoi(heard.body.substr(at + 3, end - at - 3), &which)) return false;
      seen = static_cast<Revision>(jsonNumber(*document, "Revision"));
      history.read(kConfiguration, seen, which, sentUs, rig.world.nowUs());
      return true;
    }
    return false;
  }
  // At rest: the zone's order as the chain's tail has it.
  bool readZone(const std::string& zone) {
    for (PlatformRig::CoreProcess& one : rig.cores) {
      if (!one.core || !one.core->replica().tail()) continue;
      const Us nowUs = rig.world.nowUs();
      history.read(zone, 0, one.core->machine().state().evacuated(zone) ? 2 : 1, nowUs, nowUs);
      return true;
    }
    return false;
  }
  PlatformRig rig;
  Chance chance;
  OrderHistory history;
  std::uint64_t lostOneIn = 0;  // acknowledgements and refusals; 0: none
  std::uint64_t resent = 0, lost = 0, acknowledged = 0, refused = 0;
  Revision seen = 0;  // the newest version that the operators know of

 private:
  enum class State : std::uint8_t { kOpen, kTaken, kRefused };
  struct Order {
    HttpAsk ask;
    std::string reg;
    OrderHistory::Id noted = 0;
    Revision next = 0;
    State state = State::kOpen;
    bool again = false;
    std::size_t tries = 0;
    Heard* heard = nullptr;  // of the try under way; none: the next waits for `nextUs`
    Us sentUs = 0;
    Us nextUs = 0;
  };
  std::size_t add(Order order, OrderNote note) {
    note.sentUs = rig.world.nowUs();
    note.who = absl::StrCat("order ", orders_.size() + 1);
    order.next = note.next;
    order.noted = history.begin(order.reg, std::move(note));
    orders_.push_back(std::move(order));
    press(orders_.size() - 1);
    return orders_.size() - 1;
  }
  void press(std::size_t id) {
    Order& order = orders_[id];
    const Us nowUs = rig.world.nowUs();
    if (order.heard != nullptr) {
      if (order.heard->status == 0 && nowUs - order.sentUs < kSecondUs) return;
      const int status = order.heard->status;
      order.heard = nullptr;
      if (answered(order, status)) return;
      order.nextUs = nowUs + static_cast<Us>(std::min<std::size_t>(order.tries, 10)) * 50 * kMilliUs;
    }
    if (nowUs < order.nextUs) return;
    const std::size_t core = chance.below(rig.cores.size());
    if (!rig.cores[core].host->up()) return;
    resent += order.tries > 0 ? 1 : 0;
    ++order.tries;
    order.sentUs = nowUs;
    order.heard = &heard_.emplace_back();
    rig.send(core, order.ask, *order.heard);
  }
  // True: the operator has its answer.
  bool answered(Order& order, int status) {
    const bool clear = status == 200 || (status >= 400 && status < 500 && status != 408 && status != 429);
    if (!clear) return false;
    if (lostOneIn > 0 && !order.again && chance.oneIn(lostOneIn)) {
      ++lost;
      return false;
    }
    if (status == 200) {
      history.acknowledged(order.reg, order.noted, rig.world.nowUs());
      order.state = State::kTaken;
      seen = std::max(seen, order.next);
      ++acknowledged;
    } else {
      history.refused(order.reg, order.noted, order.sentUs, rig.world.nowUs());
      order.state = State::kRefused;
      ++refused;
      if (status != 412) PlatformRig::failed += 1, std::printf("FAILED a proper order gave %d\n", status);
    }
    return true;
  }
  std::deque<Order> orders_;
  std::deque<Heard> heard_;  // late answers still come to them
};

}  // namespace stonemount
