#include "restore/rebuild.h"

#include <absl/strings/str_cat.h>

#include "config/config_cache.h"

namespace stonemount {

namespace {
constexpr Us kAskUs = 600 * kMilliUs;
constexpr Us kSubmitUs = 2 * kSecondUs;
}  // namespace

Job<Done> Rebuilder::look() {
  if (machine_.state().configRevision() != 0) co_return Done{};
  PeerRecord newest;
  for (const PeerRecord& record : gossip_.alive(Role::kNode))
    if (record.control > newest.control) newest = record;
  if (newest.control <= machine_.state().revision()) co_return Done{};
  Job<std::variant<ControlNews, PeerSilent>> asking =
      ask<ControlNews>(rpc_, newest.wire, ConfigCacheRequest{0}, kAskUs);
  std::variant<ControlNews, PeerSilent> verdict = co_await asking;
  auto* told = std::get_if<ControlNews>(&verdict);
  if (told == nullptr || told->configRevision == 0) co_return Done{};
  logDoubt("control_rebuilt", {{"from", addressText(newest.wire)}, {"config", absl::StrCat(told->configRevision)}});
  ControlCommand command = Rebuild{std::move(*told)};
  Job<ChainAnswer> sending = core_.submit(pack(command), kSubmitUs);
  co_await sending;
  co_return Done{};
}

}  // namespace stonemount
