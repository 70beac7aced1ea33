// Acknowledged by fewer members than disks may be lost, and one more. More seeds: FEW_COPIES_SEEDS=FIRST,COUNT.
#include <absl/strings/str_cat.h>

#include <algorithm>

#include "chain_rig.h"
#include "expect.h"
#include "given_seeds.h"

using namespace stonemount;

namespace {
constexpr std::size_t kMembers = 5;
constexpr std::size_t kKeptEntries = 40;
constexpr std::size_t kFileBytes = 1 << 20;
constexpr Us kLinkUsPerKilobyte = 137;
constexpr std::size_t kCommandBytes = 6 << 10;
constexpr Us kCommandEveryUs = 20 * kMilliUs;
constexpr Us kSyncUs = 6 * kSecondUs;  // after which a machine that is back counts as lost no more
constexpr Us kReadableUs = 15 * kSecondUs;
constexpr Us kWholeUs = 60 * kSecondUs;

enum class Trouble : std::uint8_t { kDark, kFrozen, kSlowDisk, kSlowLink, kDiskLost };

struct Spell {
  Trouble trouble = Trouble::kDark;
  std::size_t place = 0;
  Us fromUs = 0, untilUs = 0;
  bool begun = false, ended = false;
};

class Day {
 public:
  Day(std::uint64_t seed, bool replaced)
      : name_(absl::StrCat(", seed ", seed, replaced ? ", two disks replaced" : "")),
        replaced_(replaced),
        rig_(seed, kMembers, kKeptEntries, kFileBytes),
        chance_(seed * 31 + 5) {
    for (SimHost* host : rig_.hosts) host->linkUsPerKilobyte = kLinkUsPerKilobyte;
  }
  void run() {
    rig_.world.loud = std::getenv("FEW_COPIES_LOUD") != nullptr;
    rig_.world.runUntil(2 * kSecondUs);
    expect(rig_.wholeAndActive(), "the chain stands" + name_);
    drawSpells();
    const Us quietUs = std::max(spells_[0].untilUs, spells_[1].untilUs) + kSyncUs;
    const Us strikeUs = replaced_ ? quietUs : spells_[2].fromUs + drawn(200, 2500);
    while (rig_.world.nowUs() < strikeUs) step();
    const std::uint64_t before = rig_.written;
    while (rig_.written == before && rig_.world.nowUs() < strikeUs + kSecondUs) step();
    strike();
    judge();
  }

 private:
  Us drawn(std::uint64_t leastMs, std::uint64_t mostMs) {
    return static_cast<Us>(leastMs + chance_.below(mostMs - leastMs)) * kMilliUs;
  }
  void drawSpells() {
    std::vector<std::size_t> places = {0, 1, 2, 3, 4};
    for (std::size_t i = places.size(); i > 1; --i) std::swap(places[i - 1], places[chance_.below(i)]);
    Us fromUs = rig_.world.nowUs() + drawn(500, 2500);
    for (std::size_t i = 0; i < (replaced_ ? 2 : 3); ++i) {
      Spell spell;
      spell.trouble = replaced_ ? Trouble::kDiskLost : static_cast<Trouble>(chance_.below(4));
      spell.place = places[i];
      spell.fromUs = fromUs;
      spell.untilUs = fromUs + drawn(800, 4000);
      fromUs += drawn(800, 3000);
      spells_.push_back(spell);
    }
  }
  void trouble(const Spell& spell, bool begins) {
    SimHost& host = *rig_.hosts[spell.place];
    switch (spell.trouble) {
      case Trouble::kDark:
        begins ? rig_.kill(spell.place) : rig_.start(spell.place);
        break;
      case Trouble::kDiskLost:
        begins ? rig_.wipe(spell.place) : rig_.start(spell.place);
        break;
      case Trouble::kFrozen:
        if (begins) host.frozenUntilUs = spell.untilUs;
        break;
      case Trouble::kSlowDisk:
        host.disk->extraUs = begins ? 1200 * kMilliUs : 0;
        break;
      case Trouble::kSlowLink:
        host.linkUsPerKilobyte = begins ? 30 * kLinkUsPerKilobyte : kLinkUsPerKilobyte;
        break;
    }
  }
  void step() {
    const Us nowUs = rig_.world.nowUs();
    for (Spell& spell : spells_) {
      if (!spell.begun && nowUs >= spell.fromUs) trouble(spell, spell.begun = true);
      if (!spell.ended && nowUs >= spell.untilUs) spell.ended = true, trouble(spell, false);
    }
    if (nowUs >= nextUs_) {
      nextUs_ = nowUs + kCommandEveryUs;
      rig_.room.start(writeOne(rig_, hexText(++rig_.next) + Bytes(kCommandBytes, 'c')));
    }
    rig_.world.runUntil(nowUs + kMilliUs);
  }
  void strike() {
    const View& view = rig_.views.rbegin()->second;
    std::vector<std::size_t> order;
    for (const Seat& seat : view.chain) order.push_back(placeOf(seat.address));
    for (std::size_t place = 0; place < kMembers; ++place)
      if (std::find(order.begin(), order.end(), place) == order.end()) order.push_back(place);
    // The two whose disks have lasted longest, if two were replaced.
    const auto lasted = [this](std::size_t place) {
      return std::none_of(spells_.begin(), spells_.end(), [place](const Spell& spell) { return spell.place == place; });
    };
    if (replaced_) std::stable_partition(order.begin(), order.end(), lasted);
    const std::size_t first = replaced_ ? 0 : chance_.below(2) == 0 ? 0 : chance_.below(kMembers);
    const std::size_t second =
        (first + 1 + (replaced_ || chance_.below(2) == 0 ? 0 : chance_.below(kMembers - 1))) % kMembers;
    absl::StrAppend(&name_, ", ", view.chain.size(), " in the chain");
    for (std::size_t i = 0; i < kMembers; ++i) {
      if (i == first || i == second)
        rig_.wipe(order[i]);
      else
        rig_.kill(order[i]);
    }
    for (std::size_t i = 0; i < kMembers; ++i) {
      rig_.hosts[i]->frozenUntilUs = 0;
      rig_.hosts[i]->disk->extraUs = 0;
      rig_.hosts[i]->linkUsPerKilobyte = kLinkUsPerKilobyte;
    }
    rig_.world.runUntil(rig_.world.nowUs() + kSecondUs);
    for (std::size_t i = 0; i < kMembers; ++i) rig_.start(i);
  }
  std::size_t placeOf(const Address& address) const {
    return static_cast<std::size_t>(std::find(rig_.addresses.begin(), rig_.addresses.end(), address) -
                                    rig_.addresses.begin());
  }
  Task readAll() {
    reading_ = true;
    Job<ChainAnswer> job = rig_.client->read(kNamesQuery, 0, 3 * kSecondUs);
    const ChainAnswer answer = co_await job;
    reading_ = false;
    const std::optional<std::set<Bytes>> seen = namesIn(answer);
    if (!seen) co_return;
    read_ = true;
    missing_ = 0;
    for (const Bytes& value : rig_.acked) missing_ += seen->contains(value.substr(0, kNameBytes)) ? 0 : 1;
  }
  void judge() {
    expect(rig_.written > 10, absl::StrCat(rig_.written, " were acknowledged", name_));
    const Us backUs = rig_.world.nowUs();
    while (!read_ && rig_.world.nowUs() < backUs + kReadableUs) {
      if (!reading_) rig_.room.start(readAll());
      rig_.world.runUntil(rig_.world.nowUs() + 100 * kMilliUs);
    }
    expect(read_, absl::StrCat("the chain can be read 15 s after two disks were lost", name_));
    if (read_) expect(missing_ == 0, absl::StrCat(missing_, " acknowledged commands are lost", name_));
    while (!rig_.wholeAndActive() && rig_.world.nowUs() < backUs + kWholeUs)
      rig_.world.runUntil(rig_.world.nowUs() + 100 * kMilliUs);
    expect(rig_.wholeAndActive(), "the chain is whole again" + name_);
  }
  std::string name_;
  bool replaced_;
  Rig rig_;
  Chance chance_;
  std::vector<Spell> spells_;
  Us nextUs_ = 0;
  bool reading_ = false, read_ = false;
  std::size_t missing_ = 0;
};
}  // namespace

int main() {
  const Seeds seeds = givenSeeds("FEW_COPIES_SEEDS", {1, 100});
  for (std::uint64_t seed = seeds.first; seed < seeds.end(); ++seed) {
    Day(seed, false).run();
    Day(seed, true).run();
  }
  return expectationsVerdict();
}
