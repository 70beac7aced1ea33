// A simulated fleet of control processes, some of them on machines that have no disk. Nobody tells who the members of
// the chain are: all are given the same three seeds, which may be machines of either kind.
#pragma once

#include "expect.h"
#include "platform/operator.h"
#include "platform_texts.h"
#include "simulator/fleet.h"

namespace stonemount {

struct Heard {
  int status = 0;
  Bytes body;
  Us afterUs = 0;
};

class ControlRig {
 public:
  ControlRig(std::uint64_t given, std::size_t cores, std::set<std::uint32_t> withoutDisk)
      : seed(given), fleet(given, shapeOf(cores, withoutDisk)), never_(std::move(withoutDisk)) {}

  Part& core(std::size_t place) { return *fleet.of(PartKind::kCore)[place]; }
  std::size_t cores() { return fleet.of(PartKind::kCore).size(); }
  void startAll() {
    for (Part& part : fleet.parts())
      if (part.kind == PartKind::kCore || part.kind == PartKind::kStore) fleet.start(part);
  }
  void run(Us lengthUs) {
    const Us untilUs = fleet.world().nowUs() + lengthUs;
    while (fleet.world().nowUs() < untilUs) {
      fleet.run(std::min<Us>(5 * kMilliUs, untilUs - fleet.world().nowUs()));
      look();
    }
  }
  template <class Condition>
  bool until(Us limitUs, Condition holds) {
    const Us untilUs = fleet.world().nowUs() + limitUs;
    while (!holds() && fleet.world().nowUs() < untilUs) run(20 * kMilliUs);
    return holds();
  }
  const View& newest() const { return newest_; }
  // So many voters, all of them members of the chain that run in it.
  bool whole(std::size_t voters) {
    if (newest().voters.size() < voters || newest().chain.size() < voters) return false;
    for (const Seat& seat : newest().voters) {
      Part* part = partAt(seat.address);
      if (part == nullptr || !part->core || !part->core->replica().active()) return false;
    }
    return true;
  }
  Part* partAt(const Address& wire) {
    for (Part& part : fleet.parts())
      if (part.host->wire() == wire) return &part;
    return nullptr;
  }
  Part& seated(std::size_t place) { return *partAt(newest().voters[place % newest().voters.size()].address); }
  // The machine is gone for good, with its disk.
  void lose(Part& part) {
    fleet.kill(part, true);
    part.gone = true;
  }
  // The process starts anew on an empty disk, or on none.
  void startAgain(Part& part, bool disk, bool firstStart = false) {
    fleet.kill(part, true);
    part.settings.firstStart = firstStart;
    part.host->disk.reset();
    if (disk) part.host->disk = std::make_unique<SimDisk>(*part.host, kFiles, kFileBytes);
    for (std::uint32_t place = 0; disk && place < cores(); ++place)
      if (&core(place) == &part) never_.erase(place);
    fleet.start(part);
  }
  void startAgainAsItWas(Part& part, bool firstStart) {
    fleet.kill(part, true);
    part.settings.firstStart = firstStart;
    fleet.start(part);
  }
  // One call of the platform's operator at the control address of this process. 0: nobody answers there.
  Heard ask(Part& part, const std::string& method, const std::string& path, const Bytes& body = "",
            const std::string& match = "") {
    Heard heard;
    OperatorService* operators = part.operators();
    if (operators == nullptr) return heard;
    PlatformOperator face(*operators, part.retireService(), {"brno", "olomouc", "zlin"});
    HttpAsk wish = configAsk(method, match, body);
    wish.path = wish.target = path;
    bool open = true;
    face.handle(wish, std::make_shared<Reply>(*this, heard, open));
    for (int i = 0; i < 4000 && open; ++i) fleet.run(2 * kMilliUs);
    return heard;
  }
  // Pushed as the operator does: sent again, unchanged, until it is taken.
  bool pushes(Part& part, std::uint64_t revision, std::uint64_t base) {
    const auto taken = [this, &part, revision, base] {
      return ask(part, "PUT", "/api/configuration", plainPut(revision), absl::StrCat(base)).status == 200;
    };
    return until(10 * kSecondUs, taken);
  }
  bool check(bool well, const std::string& what) {
    expect(well, absl::StrCat("seed=", seed, " ", what));
    return well;
  }

  std::uint64_t seed;
  Fleet fleet;

 private:
  static constexpr std::size_t kFiles = 8, kFileBytes = 1 << 20;
  class Reply : public HttpReply {
   public:
    Reply(ControlRig& rig, Heard& heard, bool& open)
        : rig_(rig), heard_(heard), open_(open), askedUs_(rig.fleet.world().nowUs()) {}
    ~Reply() override { open_ = false; }
    void begin(int status, const HeaderMap&) override { heard_.status = status; }
    void chunk(const Bytes& bytes) override { heard_.body += bytes; }
    void end() override { heard_.afterUs = rig_.fleet.world().nowUs() - askedUs_; }
    void whole(int status, const HeaderMap& headers, const Bytes& body) override {
      begin(status, headers);
      chunk(body);
      end();
    }
    std::size_t backlogBytes() const override { return 0; }

   private:
    ControlRig& rig_;
    Heard& heard_;
    bool& open_;
    Us askedUs_;
  };
  static FleetShape shapeOf(std::size_t cores, const std::set<std::uint32_t>& withoutDisk) {
    FleetShape shape;
    shape.zones = {"brno", "olomouc", "zlin"};
    shape.cores = cores;
    shape.stores = 3;
    shape.nodes = shape.models = shape.apps = 0;
    shape.told = false;
    shape.coresWithoutDisk = withoutDisk;
    return shape;
  }
  // At every moment: no two processes hold different views of one number, and no machine has a seat that never had a
  // disk.
  void look() {
    std::map<Revision, const View*> held;
    for (Part* part : fleet.of(PartKind::kCore)) {
      const Replica* member = fleet.memberOf(*part);
      if (member == nullptr || member->view().revision == 0) continue;
      const View& view = member->view();
      const View* known = held.emplace(view.revision, &view).first->second;
      if (!(*known == view) && toldOf_.insert(view.revision).second)
        check(false, absl::StrCat("two views ", view.revision, ": two chains were founded"));
      if (view.revision > newest_.revision) newest_ = view;
    }
    for (const std::uint32_t place : never_)
      if (findMember(newest_, core(place).host->wire()) != nullptr && toldOf_.insert(newest_.revision).second)
        check(false, absl::StrCat("a machine without a disk has a seat in view ", newest_.revision));
  }
  std::set<std::uint32_t> never_;
  View newest_;
  std::set<Revision> toldOf_;
};

}  // namespace stonemount
