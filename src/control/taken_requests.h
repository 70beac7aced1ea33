// Which change requests were taken: what makes a request that is sent again known (design.md 7.2).
// Part of the replicated state, so every member must come to the same; runs on the loop's thread only.
#pragma once

#include "stonemount.h"

namespace stonemount {

struct TakenRequest {
  Revision revision = 0;     // the version that it made
  std::uint64_t digest = 0;  // of the request as it was handed in
  friend bool operator==(const TakenRequest&, const TakenRequest&) = default;
  STONEMOUNT_PACK(revision, digest)
};

// The newest requests that were taken, at most `kTakenKept`. Of what it no longer knows it keeps the newest version:
// a request for a version up to that one may have been taken, and must not be refused.
class TakenRequests {
 public:
  // 16 bytes each: 256 KiB in a snapshot. The target's day has 410 changes, so this is 39 such days.
  static constexpr std::size_t kTakenKept = 16384;
  explicit TakenRequests(std::size_t most = kTakenKept) : most_(most) {}
  // A digest of 0 is none: such a request is not known again.
  void note(Revision revision, std::uint64_t digest);
  bool knows(Revision revision, std::uint64_t digest) const;
  // The request for that version is not known here, and yet may have been taken once.
  bool mayHaveTaken(Revision base, Revision next) const;
  // State came from elsewhere, without the requests that made it: all up to that version are unknown.
  void restoredAt(Revision revision);
  void load(std::deque<TakenRequest> kept, Revision forgotten, Revision restored);
  const std::deque<TakenRequest>& kept() const { return kept_; }
  Revision forgotten() const { return forgotten_; }
  Revision restored() const { return restored_; }

 private:
  std::size_t most_;
  std::deque<TakenRequest> kept_;                    // newest last
  absl::flat_hash_map<Revision, std::uint64_t> of_;  // the digest that made a version; not saved
  Revision forgotten_ = 0;                           // requests for versions up to this one may be unknown
  Revision restored_ = 0;                            // the version at which state came from elsewhere; 0: never
};

}  // namespace stonemount
