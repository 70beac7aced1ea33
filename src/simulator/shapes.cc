// The two deployments (design.md 13).
#include "simulator/fleet.h"

namespace stonemount {

// The sizes of the brief, rates and lots too.
FleetShape posilkaShape() {
  FleetShape shape;
  shape.name = "posilka";
  shape.zones = {"brno", "olomouc", "zlin"};
  shape.nodes = 9;
  shape.models = 12;
  shape.lookupEveryUs = 50 * kMilliUs;  // of three zones: sixty a second
  shape.lotItems = 80;
  shape.lots = 3;
  shape.lotEveryUs = 8 * kSecondUs;
  return shape;
}

FleetShape portaviaShape() {
  FleetShape shape;
  shape.name = "portavia";
  shape.zones = {"centrs", "agenskalns", "teika", "imanta"};
  shape.cores = shape.stores = 4;
  shape.nodes = 5;
  shape.models = 12;
  shape.apps = 4;
  shape.lookupEveryUs = 80 * kMilliUs;  // of four zones: fifty a second
  shape.lots = 4;
  shape.lotItems = 40;
  shape.lotEveryUs = 5 * kSecondUs;
  return shape;
}

}  // namespace stonemount
