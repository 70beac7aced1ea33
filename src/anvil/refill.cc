// Refill: a member outside the chain copies the tail, state first and then the log (design.md 6.7).
#include <absl/strings/str_cat.h>

#include "anvil/member.h"

namespace stonemount {

namespace {
constexpr Us kFetchLimitUs = 600 * kMilliUs;
constexpr std::size_t kPartBytes = 256 << 10;
constexpr std::size_t kLogBytes = 256 << 10;
constexpr std::uint64_t kNearEnough = 64;
}  // namespace

Task Member::refill() {
  while (standing_ != Standing::kBroken) {
    Pause pause(ports_.alarms, plan_.pingUs / 2);
    co_await pause;
    if (standing_ != Standing::kOutside || fetching_ || appended_ > end_) continue;
    if (memory_.view.chain.empty()) continue;
    const Address source = memory_.view.chain.back().address;
    fetching_ = true;
    Job<bool> following = fetchLog(source, 0);
    bool follows = co_await following;
    if (!follows && standing_ == Standing::kOutside && fetchRefused_) {
      refilled_ = false;
      Job<bool> copying = fetchState(source);
      follows = co_await copying;
    }
    fetching_ = false;
  }
}

Job<bool> Member::fetchState(Address source) {
  Bytes state;
  FetchState wish;
  while (true) {
    Job<std::variant<StatePart, PartnerSilent>> job = ask<StatePart>(desk_, source, wish, kFetchLimitUs);
    std::variant<StatePart, PartnerSilent> verdict = co_await job;
    auto* part = std::get_if<StatePart>(&verdict);
    if (part == nullptr || part->token == 0 || standing_ != Standing::kOutside) co_return false;
    state += part->bytes;
    wish.token = part->token;
    wish.offset = state.size();
    if (state.size() >= part->total) break;
    if (part->bytes.empty()) co_return false;
  }
  if (!loadImage(state, false)) co_return false;
  drawer_.dropCheckpoint();
  drawer_.beginCheckpoint(image());
  while (drawer_.checkpointing()) {
    if (!drawer_.pumpCheckpoint(16)) {
      diskBroke();
      co_return false;
    }
    Press::Wait wait(press_);
    const bool durable = co_await wait;
    if (!durable) {
      diskBroke();
      co_return false;
    }
  }
  logEvent("refilled", {{"from", addressText(source)}, {"bytes", absl::StrCat(state.size())},
                        {"end", absl::StrCat(end_)}});
  co_return true;
}

// Follows the source's log. True once near its end, or past `upTo` where that is given.
Job<bool> Member::fetchLog(Address source, std::uint64_t upTo) {
  fetchRefused_ = false;
  while (standing_ == Standing::kOutside) {
    FetchLog wish{memory_.view.revision, end_, endRevision_};
    Job<std::variant<LogPart, PartnerSilent>> job = ask<LogPart>(desk_, source, wish, kFetchLimitUs);
    std::variant<LogPart, PartnerSilent> verdict = co_await job;
    auto* part = std::get_if<LogPart>(&verdict);
    if (part == nullptr || standing_ != Standing::kOutside) co_return false;
    if (!part->granted) {
      fetchRefused_ = part->parted;
      co_return false;
    }
    for (const Entry& entry : part->entries) {
      STONEMOUNT_INVARIANT(entry.index == std::max(appended_, end_) + 1);
      AppendVerdict kept = drawer_.append(RecordKind::kEntry, pack(entry));
      if (!std::holds_alternative<std::uint64_t>(kept)) {
        diskBroke();
        co_return false;
      }
      appended_ = entry.index;
    }
    if (!part->entries.empty()) {
      maybeCheckpoint();
      Press::Wait wait(press_);
      const bool durable = co_await wait;
      if (!durable) {
        diskBroke();
        co_return false;
      }
      for (const Entry& entry : part->entries) applyEntry(entry, false);
    }
    const std::uint64_t goal = upTo != 0 ? upTo : part->end;
    if (upTo == 0 && end_ + kNearEnough >= goal) refilled_ = true;
    if (end_ >= goal) co_return true;
  }
  co_return false;
}

void Member::onFetchState(const Asked& asked) {
  auto message = unpack<FetchState>(asked.body);
  if (!std::holds_alternative<FetchState>(message)) return;
  const FetchState& wish = std::get<FetchState>(message);
  StatePart part;
  const bool mine = holdsSeat(memory_.view.chain, self_, memory_.incarnation) &&
                    memory_.view.chain.back().address == self_;
  if (mine && wish.token == 0) {
    picture_ = image();
    pictureEnd_ = end_;
    pictureToken_ = ports_.chance.next() | 1;
  }
  if (mine && (wish.token == 0 || wish.token == pictureToken_) && wish.offset <= picture_.size()) {
    part.token = pictureToken_;
    part.total = picture_.size();
    part.end = pictureEnd_;
    part.bytes = picture_.substr(wish.offset, kPartBytes);
  }
  desk_.reply(asked, part);
}

void Member::onFetchLog(const Asked& asked) {
  auto message = unpack<FetchLog>(asked.body);
  if (!std::holds_alternative<FetchLog>(message)) return;
  const FetchLog& wish = std::get<FetchLog>(message);
  LogPart part;
  part.end = end_;
  const bool mine = holdsSeat(memory_.view.chain, self_, memory_.incarnation) &&
                    wish.revision == memory_.view.revision;
  const bool holds = mine && (tail() || standing_ == Standing::kSealed);
  if (!holds) {
    part.end = 0;  // ask again later; nothing is said about the log
  } else if (wish.after == end_) {
    part.granted = wish.afterRevision == endRevision_;
  } else if (wish.after < end_ && !recent_.empty() && recent_.front().index <= wish.after) {
    const std::size_t from = wish.after - recent_.front().index;
    part.granted = recent_[from].revision == wish.afterRevision;
    std::size_t bytes = 0;
    for (std::size_t i = from + 1; part.granted && i < recent_.size() && bytes < kLogBytes; ++i) {
      bytes += recent_[i].command.size();
      part.entries.push_back(recent_[i]);
    }
  }
  part.parted = holds && !part.granted;
  desk_.reply(asked, part);
}

void Member::onCatchUp(const Asked& asked) {
  auto message = unpack<CatchUp>(asked.body);
  if (std::holds_alternative<CatchUp>(message)) room_.start(catchUp(asked, std::get<CatchUp>(message)));
}

Task Member::catchUp(Asked asked, CatchUp wish) {
  SealVerdict verdict;
  verdict.incarnation = memory_.incarnation;
  while (fetching_) {
    Pause pause(ports_.alarms, 5 * kMilliUs);
    co_await pause;
  }
  if (standing_ == Standing::kOutside && refilled_ && memory_.view.revision == wish.revision && appended_ <= end_) {
    fetching_ = true;
    Job<bool> following = fetchLog(wish.source, wish.end);
    verdict.granted = co_await following;
    fetching_ = false;
  }
  verdict.granted &= memory_.view.revision == wish.revision && standing_ == Standing::kOutside;
  verdict.end = end_;
  desk_.reply(asked, verdict);
}

}  // namespace stonemount
