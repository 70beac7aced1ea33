#include "membership/failure_detector.h"

#include <algorithm>

namespace stonemount {

void FailureDetector::look(const View& view, Us nowUs) {
  const bool blind = lookedUs_ < 0 || nowUs - lookedUs_ > plan_.blindUs;
  lookedUs_ = nowUs;
  for (const std::vector<Seat>* seats : {&view.voters, &view.nonVoters})
    for (const Seat& seat : *seats) sights_.try_emplace(seat.address, Sight{nowUs, false, {}});
  for (auto& [address, sight] : sights_)
    if (blind) sight.heardUs = nowUs;
  for (auto sight = sights_.begin(); sight != sights_.end();) {
    const bool seated = findMember(view, sight->first) != nullptr;
    if (!seated && nowUs - sight->second.heardUs > plan_.deadUs)
      sight = sights_.erase(sight);
    else
      ++sight;
  }
}

void FailureDetector::suppose(const Address& member, Us heardUs) {
  sights_.try_emplace(member, Sight{heardUs, false, {}});
}

void FailureDetector::heard(const Address& member, const Pong& pong, Us heardUs) {
  Sight& sight = sights_[member];
  sight.heardUs = std::max(sight.heardUs, heardUs);
  sight.asked = true;
  sight.pong = pong;
}

const Pong* FailureDetector::pong(const Address& member, Us nowUs) const {
  auto found = sights_.find(member);
  const bool lately = found != sights_.end() && found->second.asked && nowUs - found->second.heardUs < plan_.lateUs;
  return lately ? &found->second.pong : nullptr;
}

bool FailureDetector::doubted(const Address& member, Us nowUs) const {
  auto found = sights_.find(member);
  if (found == sights_.end()) return false;
  return nowUs - found->second.heardUs >= plan_.doubtUs ||
         (found->second.asked && !diskAnswers(found->second.pong, plan_.doubtUs));
}

// Silent to the watcher, and to every other voter that it hears: a way cut between two is no death. One whose disk
// has not answered for as long says so itself.
bool FailureDetector::dead(const View& view, const Address& member, Us nowUs) const {
  auto found = sights_.find(member);
  if (found == sights_.end()) return false;
  const bool diskless = found->second.asked && !diskAnswers(found->second.pong, plan_.deadUs);
  if (nowUs - found->second.heardUs < plan_.deadUs && !diskless) return false;
  for (const Seat& seat : view.voters) {
    const Pong* other = pong(seat.address, nowUs);
    if (seat.address == member || other == nullptr || other->revision != view.revision || diskless) continue;
    if (std::find(other->suspects.begin(), other->suspects.end(), member) == other->suspects.end()) return false;
  }
  return true;
}

}  // namespace stonemount
