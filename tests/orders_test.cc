// One number, one change: operators who race, lose acknowledgements and send orders again, while cores are cut off,
// killed and wiped. Whatever happens, their history is linearizable, and nothing that was acknowledged is refused.
#include "orders_rig.h"

using namespace stonemount;

namespace {
void finish(OrdersRig& orders, const std::string& what) {
  PlatformRig& rig = orders.rig;
  rig.expect(orders.settle(), what + ": every order has its answer");
  rig.expect(orders.readBack(), what + ": the configuration reads back");
  for (const std::string& fault : orders.history.faults()) rig.expect(false, what + ": " + fault);
  rig.expect(orders.acknowledged > 0, what + ": some were acknowledged");
}

// Two operators, one number, different content, to two cores at the same moment or nearly.
void oneNumberTwoContents(std::uint64_t seed) {
  OrdersRig orders(seed);
  Revision base = 0;
  for (int round = 0; round < 12; ++round) {
    const Revision next = base + 1 + orders.chance.below(5);
    const bool patch = base > 0;
    const std::size_t left = orders.change(base, next, patch && orders.chance.oneIn(2));
    if (orders.chance.oneIn(2)) orders.step(static_cast<Us>(orders.chance.below(8)) * kMilliUs);
    const std::size_t right = orders.change(base, next, patch && orders.chance.oneIn(2));
    if (!orders.settle()) break;
    orders.rig.expect(orders.taken(left) != orders.taken(right), absl::StrCat("one prevails, round ", round));
    base = next;
    orders.sendAgain(orders.taken(left) ? left : right);
  }
  finish(orders, absl::StrCat("one number, seed ", seed));
}

// Eight under way at once, each operator on the newest version that it knows, until hundreds were taken; then each of
// the first ones is sent again.
void storm(std::uint64_t seed) {
  OrdersRig orders(seed);
  orders.lostOneIn = 4;
  const std::size_t first = orders.change(0, 1);
  orders.settle();
  std::vector<std::size_t> ids{first};
  while (orders.history.orders() < 4000 && orders.acknowledged < 320) {
    while (orders.underWay() < OrdersRig::kUnderWay)
      ids.push_back(orders.change(orders.seen, orders.seen + 1 + orders.chance.below(3), orders.chance.oneIn(3)));
    orders.step(5 * kMilliUs);
    if (orders.chance.oneIn(40)) orders.readBack();
  }
  orders.settle();
  orders.rig.expect(orders.acknowledged >= 300, absl::StrCat("hundreds are taken: ", orders.acknowledged));
  for (std::size_t id : ids)
    if (orders.taken(id) && id % 7 == 0) orders.sendAgain(id);
  orders.sendAgain(first);
  finish(orders, absl::StrCat("a storm, seed ", seed));
  orders.rig.expect(orders.history.acknowledgedAgain > 20 && orders.lost > 20, "many were sent again");
}

void isolateOne(PlatformRig& rig, std::size_t which, bool cut) { rig.isolate(rig.cores[which], cut); }

// The same under faults: at any time one core is cut off, killed, without power or wiped, or all lose power.
void underFaults(std::uint64_t seed) {
  OrdersRig orders(seed);
  PlatformRig& rig = orders.rig;
  orders.lostOneIn = 3;
  std::vector<std::size_t> ids{orders.change(0, 1)};
  orders.settle();
  bool evacuated = false;
  std::size_t zoneOrder = orders.evacuation("z2", evacuated = true);
  for (int round = 0; round < 10; ++round) {
    const std::size_t which = orders.chance.below(3);
    const std::uint64_t trouble = orders.chance.below(6);
    PlatformRig::CoreProcess& one = rig.cores[which];
    if (trouble == 0) isolateOne(rig, which, true);
    if (trouble == 1) rig.kill(one, false);
    if (trouble == 2 || trouble == 3) rig.kill(one, true);
    if (trouble == 3) one.host->disk->wipe();
    if (trouble == 4)
      for (PlatformRig::CoreProcess& each : rig.cores) rig.kill(each, true);
    const Us untilUs = rig.world.nowUs() + 500 * kMilliUs + static_cast<Us>(orders.chance.below(3000)) * kMilliUs;
    while (rig.world.nowUs() < untilUs) {
      if (orders.underWay() < OrdersRig::kUnderWay && orders.chance.oneIn(4))
        ids.push_back(orders.change(orders.seen, orders.seen + 1 + orders.chance.below(3), orders.chance.oneIn(3)));
      if (orders.chance.oneIn(60)) orders.sendAgain(ids[orders.chance.below(ids.size())]);
      if (orders.settled(zoneOrder)) zoneOrder = orders.evacuation("z2", evacuated = !evacuated);
      orders.step();
    }
    isolateOne(rig, which, false);
    for (PlatformRig::CoreProcess& each : rig.cores)
      if (!each.host->up()) rig.start(each);
    if (trouble == 3) rig.run(6 * kSecondUs);  // a wiped disk is filled before another is lost
    if (orders.chance.oneIn(2)) orders.readBack();
  }
  finish(orders, absl::StrCat("under faults, seed ", seed));
  rig.run(3 * kSecondUs);
  rig.expect(orders.readZone("z2"), "the zone is read");
  for (const std::string& fault : orders.history.faults()) rig.expect(false, absl::StrCat("seed ", seed, ": ", fault));
}

// The try of a core that is cut off comes to the chain only after its order was acknowledged elsewhere and taken back.
void lateTwin(std::uint64_t seed) {
  OrdersRig orders(seed);
  PlatformRig& rig = orders.rig;
  std::size_t alone = 0;
  while (rig.cores[alone].core->replica().head()) ++alone;
  const std::size_t other = (alone + 1) % 3;
  Heard first;
  HttpAsk ask;
  ask.method = "POST";
  ask.path = ask.target = "/api/evacuation/z2";
  rig.send(alone, ask, first);
  rig.run(static_cast<Us>(seed) * 500);  // the head was heard, and the order is on its way or not yet
  rig.isolate(rig.cores[alone], true);
  Heard heard = rig.ask(other, "POST", ask.path);
  for (int i = 0; i < 20 && heard.status != 200; ++i) heard = rig.ask(other, "POST", ask.path);
  rig.expect(heard.status == 200, absl::StrCat("an evacuation, seed ", seed));
  heard = rig.ask(other, "DELETE", ask.path);
  rig.expect(heard.status == 200, absl::StrCat("taken back, seed ", seed));
  rig.isolate(rig.cores[alone], false);
  rig.run(4 * kSecondUs);
  rig.expect(!rig.cores[other].core->machine().state().evacuated("z2"),
             absl::StrCat("it stays taken back, seed ", seed, ", the late one was answered ", first.status));
}
// What a core sends says which order for the zone was the newest when the call came in.
struct ZoneOrders : sigc::trackable {
  void note(const Entry& entry) {
    auto read = unpack<ControlCommand>(entry.command);
    auto* command = std::get_if<ControlCommand>(&read);
    if (command != nullptr && std::holds_alternative<SetZoneSince>(*command))
      seen.push_back(std::get<SetZoneSince>(*command).seen);
  }
  std::vector<Revision> seen;
};

void ordersCarryWhatWasSeen(std::uint64_t seed) {
  OrdersRig orders(seed);
  ZoneOrders sent;
  for (PlatformRig::CoreProcess& one : orders.rig.cores)
    one.core->replica().taken.connect(sigc::mem_fun(sent, &ZoneOrders::note));
  const ControlMachine& machine = orders.rig.cores[0].core->machine();
  std::vector<Revision> wanted;
  for (int i = 0; i < 6; ++i) {
    wanted.push_back(machine.zoneOrdered("z2"));
    orders.evacuation("z2", i % 2 == 0);
    orders.settle();
    orders.step(100 * kMilliUs);
  }
  orders.rig.expect(sent.seen == wanted && wanted.back() > wanted.front(), "each order carries what its core knew");
}
}  // namespace

int main() {
  for (std::uint64_t seed = 1; seed <= 4; ++seed) oneNumberTwoContents(seed);
  for (std::uint64_t seed = 1; seed <= 2; ++seed) storm(seed);
  for (std::uint64_t seed = 1; seed <= 10; ++seed) underFaults(seed);
  for (std::uint64_t seed = 1; seed <= 12; ++seed) lateTwin(seed);
  ordersCarryWhatWasSeen(1);
  std::printf("%d passed, %d failed\n", PlatformRig::passed, PlatformRig::failed);
  return PlatformRig::failed == 0 ? 0 : 1;
}
