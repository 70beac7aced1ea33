#include "node/lot_desk.h"

#include "store/stored_text.h"

namespace stonemount {

namespace {
constexpr Us kFullAgainUs = 300 * kMilliUs;
constexpr Us kQuotaAgainUs = 500 * kMilliUs;  // about what some items take to be done
constexpr std::uint32_t kResults = 1000;

std::size_t bytesOf(const std::vector<LotItem>& items) {
  std::size_t bytes = 1;
  for (const LotItem& item : items) bytes += item.body.size() + item.target.size() + item.id.size();
  return bytes;
}
}  // namespace

std::uint64_t lotDigest(const std::string& host, const std::vector<LotItem>& itemsAsSent) {
  return spread(pack(itemsAsSent), spread(host));
}

class LotService::OpenCall {
 public:
  explicit OpenCall(std::size_t& calls) : calls_(calls) { ++calls_; }
  OpenCall(const OpenCall&) = delete;
  ~OpenCall() { --calls_; }

 private:
  std::size_t& calls_;
};

Job<LotSubmitted> LotService::submit(StandingLot lot) {
  const OpenCall open(calls_);
  const Route* route = lotRouteFor(control_, lot.host, lot.path);
  const std::size_t bytes = bytesOf(lot.items);
  if (route == nullptr || (bytesIn_ > 0 && bytesIn_ + bytes > plan_.bytesAtOnce)) co_return LotRefused{kFullAgainUs};
  SubmitLot command;
  command.name = std::move(lot.name);
  command.route = locationOf(lot.host, lot.path);
  command.host = std::move(lot.host);
  command.items = std::move(lot.items);
  command.digest = lot.digest;
  command.attempts = route->attempts;
  command.retentionUs = route->retentionUs;
  command.keepUs = plan_.keepUs;
  command.keyUs = plan_.keyUs;
  command.node = rpc_.self();
  command.licenceUs = scheduler_.licenceUs();
  const ReservedPlaces reserved = scheduler_.reserveAtOnce(*route, command.items.size());
  command.atOnce = reserved.items;
  command.slotCap = scheduler_.mostPassed();
  const Us askedUs = ports_.clock.monoUs();
  bytesIn_ += bytes;
  Bytes packed =
      route->mostQueuedTokens > 0 ? pack(StoreCommand(boundedBy(*route, command))) : pack(StoreCommand(command));
  Job<ChainAnswer> sending = store_.submit(std::move(packed), plan_.submitUs, 0, WhenFull::kTellAtOnce);
  ChainAnswer answer = co_await sending;
  bytesIn_ -= bytes;
  StoreVerdict verdict;
  verdict.outcome = StoreOutcome::kUnreadable;
  if (auto* told = std::get_if<Bytes>(&answer)) {
    auto read = unpack<StoreVerdict>(*told);
    if (auto* known = std::get_if<StoreVerdict>(&read)) verdict = std::move(*known);
  }
  scheduler_.startTaken(reserved, command, verdict.granted, askedUs);
  if (auto* failure = std::get_if<ChainFailure>(&answer)) {
    // The client says these only where every try was answered, and none was taken (design.md 6.8).
    if (failure->trouble == ChainError::kTooLong) co_return LotTooLong{};
    if (failure->trouble == ChainError::kUnreachable) co_return LotUnsure{};
    co_return LotRefused{kFullAgainUs};
  }
  if (verdict.outcome == StoreOutcome::kDone) co_return LotTaken{false};
  if (verdict.outcome == StoreOutcome::kAgain) co_return LotTaken{true};
  if (verdict.outcome == StoreOutcome::kConflict) co_return LotConflict{};
  if (verdict.outcome == StoreOutcome::kOverQuota) co_return LotOverQuota{kQuotaAgainUs};
  co_return LotUnsure{};
}

SubmitLotWithin LotService::boundedBy(const Route& route, const SubmitLot& lot) {
  lotRoutes_.refresh();
  const std::string scope = scopeOf(route);
  return {lot, route.mostQueuedTokens, scope, lotRoutes_.nestedBelow(scope)};
}

// A page's state in the outcome, what else was told in `verdict`.
Job<LotRead> LotService::ask(LotAsk wish, Us holdUs, LotVerdict& verdict) {
  const OpenCall open(calls_);
  Job<ChainAnswer> asking = store_.read(pack(StoreQuery(std::move(wish))), holdUs, holdUs + plan_.readUs);
  ChainAnswer answer = co_await asking;
  auto* told = std::get_if<Bytes>(&answer);
  if (told == nullptr) co_return LotUnreachable{};
  auto read = unpack<LotVerdict>(*told);
  if (std::holds_alternative<BadBytes>(read)) co_return LotUnreachable{};
  verdict = std::get<LotVerdict>(std::move(read));
  if (verdict.outcome == StoreOutcome::kUnknownLot) co_return LotUnknown{};
  LotPage page;
  page.total = verdict.items;
  page.ended = verdict.ended;
  page.next = verdict.next;
  co_return page;
}

Job<LotRead> LotService::read(std::string lot, std::uint32_t from, Us holdUs, std::uint32_t mostBytes) {
  LotAsk wish;
  wish.lot = std::move(lot);
  wish.listed = true;
  wish.from = from;
  wish.count = kResults;
  wish.hold = holdUs > 0;
  wish.mostBytes = mostBytes;
  LotVerdict verdict;
  Job<LotRead> asking = ask(std::move(wish), holdUs, verdict);
  LotRead read = co_await asking;
  if (auto* page = std::get_if<LotPage>(&read)) {
    page->results.reserve(verdict.sights.size());
    std::size_t bytes = 0;
    for (ItemSight& sight : verdict.sights) {
      std::variant<Bytes, BadStoredText> text = readStoredText(std::move(sight.answer));
      if (std::holds_alternative<BadStoredText>(text)) co_return LotUnreachable{};
      page->results.push_back(
          {std::move(sight.id), sight.state == ItemState::kSealed, std::get<Bytes>(std::move(text))});
      bytes += page->results.back().text.size();
      if (bytes > mostBytes) break;  // the store counts texts as they are stored
    }
  }
  co_return read;
}

Job<LotBodyRead> LotService::body(std::string lot, std::string item) {
  LotAsk wish;
  wish.lot = std::move(lot);
  wish.item = std::move(item);
  wish.bodies = true;
  wish.count = 1;
  LotVerdict verdict;
  Job<LotRead> asking = ask(std::move(wish), 0, verdict);
  const LotRead read = co_await asking;
  if (std::holds_alternative<LotUnreachable>(read)) co_return LotUnreachable{};
  if (std::holds_alternative<LotUnknown>(read)) co_return LotUnknown{};
  if (verdict.sights.empty() || verdict.ended) co_return LotNoBody{};
  ItemSight& sight = verdict.sights.front();
  const bool final = sight.state == ItemState::kSealed || sight.state == ItemState::kRefused;
  if (final && sight.body.empty()) co_return LotNoBody{};
  co_return LotBody{std::move(sight.body)};
}

Job<LotEnding> LotService::end(std::string lot) {
  const OpenCall open(calls_);
  Job<ChainAnswer> sending = store_.submit(pack(StoreCommand(EndLot{std::move(lot)})), plan_.submitUs);
  ChainAnswer answer = co_await sending;
  auto* told = std::get_if<Bytes>(&answer);
  if (told == nullptr) co_return LotUnreachable{};
  auto read = unpack<StoreVerdict>(*told);
  auto* verdict = std::get_if<StoreVerdict>(&read);
  if (verdict == nullptr) co_return LotUnreachable{};
  if (verdict->outcome == StoreOutcome::kUnknownLot) co_return LotUnknown{};
  co_return LotEnded{};
}

}  // namespace stonemount
