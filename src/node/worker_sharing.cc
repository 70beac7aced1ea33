#include "node/worker_sharing.h"

#include <algorithm>

namespace stonemount {

namespace {
constexpr Us kHeardUs = 2 * kSecondUs;   // control that has not answered for longer is not in touch
constexpr Us kCountKnownUs = kSecondUs;  // after control has counted this node, the others have been told
}  // namespace

void WorkerSharing::onContact(const ControlContact& contact) {
  heardUs_ = std::max(heardUs_, contact.askedUs);
  followers_ = contact.followers;
  if (followers_ > 0 && firstCountedUs_ < 0) firstCountedUs_ = clock_.monoUs();
  table_.setPlace(contact.place);
  listFreshness_.controlAnswered(contact.askedUs, contact.listNumber);
  table_.cold().listIsAsOf(listFreshness_.asOfUs());
}

void WorkerSharing::onPlatformList(const std::vector<ListedWorker>& workers, Us askedUs) {
  table_.heardFromPlatform(workers);
  listFreshness_.platformAnswered(askedUs);
  table_.cold().listIsAsOf(listFreshness_.asOfUs());
}

// Views of peers are partial, so how many nodes there are is told by control, where it is heard. Those that went silent
// count until they are forgotten: they may be cut off, and go on sending.
void WorkerSharing::shareOut(std::vector<Address> known, bool settled) {
  const Us nowUs = clock_.monoUs();
  const bool controlHeard = heardUs_ >= 0 && nowUs - heardUs_ <= kHeardUs;
  fleetSize_.note(std::max(known.size() + 1, controlHeard ? followers_ : 0), controlHeard);
  const bool counted = firstCountedUs_ >= 0 && nowUs - firstCountedUs_ >= kCountKnownUs;
  table_.cold().setSharers(std::move(known), fleetSize_.count(), counted || settled);
  table_.cold().setControlHeard(controlHeard);
  table_.cold().tick();
}

}  // namespace stonemount
