#include "membership/chain_seats.h"

#include <algorithm>

namespace stonemount {

namespace {
// How far it has got with catching up.
int progressOf(const Pong& pong) { return pong.caughtUp ? 2 : pong.copying ? 1 : 0; }
}  // namespace

ChainSeats::ChainSeats(FailureDetectorPlan plan, std::size_t wantedSeats)
    : plan_(plan), wantedSeats_(wantedSeats), detector_(plan) {}

void ChainSeats::name(const PeerRecord& record, Us nowUs) { candidates_[record.wire] = {record, nowUs}; }

void ChainSeats::heard(const Address& wire, const Pong& pong, Us heardUs) {
  detector_.heard(wire, pong, heardUs);
  auto found = candidates_.find(wire);
  if (found != candidates_.end()) found->second.lastUs = std::max(found->second.lastUs, heardUs);
}

// Who was neither named nor answered for long is a candidate no more.
void ChainSeats::look(const View& view, Us nowUs) {
  detector_.look(view, nowUs);
  absl::erase_if(candidates_, [this, nowUs](const auto& entry) { return nowUs - entry.second.lastUs > plan_.deadUs; });
}

void ChainSeats::clear() {
  detector_.clear();
  candidates_.clear();
}

std::vector<Address> ChainSeats::named() const {
  std::vector<Address> named;
  for (const auto& [wire, candidate] : candidates_) named.push_back(wire);
  return named;
}

std::string ChainSeats::machineAt(const Address& wire) const {
  auto found = candidates_.find(wire);
  return found != candidates_.end() ? found->second.record.machine : std::string();
}

SeatNeed ChainSeats::need(const View& view, const Address& self, Retired retired, Us nowUs) const {
  SeatNeed need;
  need.view = view;
  need.wanted = wantedSeats_;
  for (const std::vector<Seat>* seats : {&view.voters, &view.nonVoters}) {
    for (const Seat& seat : *seats) {
      if (seat.address == self) continue;
      if (detector_.dead(view, seat.address, nowUs)) need.dead.insert(seat.address);
      if (detector_.doubted(seat.address, nowUs)) need.doubted.insert(seat.address);
      if (retired(seat.address, machineAt(seat.address))) need.retired.insert(seat.address);
    }
  }
  addFit(need, retired, nowUs);
  return need;
}

// Among equals the choice falls on the first: on whoever has got furthest with catching up.
void ChainSeats::addFit(SeatNeed& need, Retired retired, Us nowUs) const {
  std::vector<std::pair<int, Seat>> fit;
  for (const auto& [wire, candidate] : candidates_) {
    const Pong* pong = detector_.pong(wire, nowUs);
    if (pong == nullptr || findMember(need.view, wire) != nullptr || candidate.record.draining) continue;
    if (retired(wire, candidate.record.machine)) continue;
    const bool waits = pong->state == ReplicaState::kOutside || pong->state == ReplicaState::kBootstrapping;
    if (waits && diskAnswers(*pong, plan_.lateUs))
      fit.emplace_back(progressOf(*pong), Seat{wire, pong->incarnation, candidate.record.zone});
  }
  std::stable_sort(fit.begin(), fit.end(),
                   [](const auto& left, const auto& right) { return left.first > right.first; });
  for (const auto& [progress, seat] : fit) need.fit.push_back(seat);
}

}  // namespace stonemount
