#include "quota/quota_leader.h"

#include <absl/strings/str_cat.h>

#include "control/commands.h"

namespace stonemount {

namespace {
constexpr Us kTakeLimitUs = kSecondUs;
constexpr Us kReserveLimitUs = 2 * kSecondUs;
constexpr Us kLookUs = 100 * kMilliUs;
constexpr Us kLeastPauseUs = 10 * kMilliUs;

std::optional<QuotaVerdict> verdictOf(const ChainAnswer& answer) {
  auto* body = std::get_if<Bytes>(&answer);
  if (body == nullptr) return std::nullopt;
  auto read = unpack<QuotaVerdict>(*body);
  auto* verdict = std::get_if<QuotaVerdict>(&read);
  if (verdict == nullptr) return std::nullopt;
  return std::move(*verdict);
}
}  // namespace

QuotaBounds quotaBoundsOf(const Bounds& bounds) {
  return {bounds.quotaWindowUs, bounds.quotaOvershootPerMille, bounds.quotaSlack};
}

QuotaLeader::QuotaLeader(Ports& ports, RpcEndpoint& rpc, TaskRoom& room, const Election& election, ChainClient& core,
                         const QuotaLimits& limits, const QuotaBounds& bounds)
    : ports_(ports), rpc_(rpc), room_(room), election_(election), core_(core), limits_(limits) {
  for (std::uint32_t part = 0; part < kQuotaParts; ++part) {
    books_.emplace_back(part, bounds, limits);
    lacking_.push_back(std::make_unique<Event>());
  }
}

std::vector<std::string> QuotaLeader::duties() {
  std::vector<std::string> duties;
  for (std::uint32_t part = 0; part < kQuotaParts; ++part) duties.push_back(quotaDuty(part));
  return duties;
}

void QuotaLeader::begin() {
  rpc_.serve(QuotaAsk::kKind, sigc::mem_fun(*this, &QuotaLeader::onAsk));
  rpc_.serve(QuotaReport::kKind, sigc::mem_fun(*this, &QuotaLeader::onReport));
  for (std::uint32_t part = 0; part < kQuotaParts; ++part) room_.start(lead(part));
}

Task QuotaLeader::lead(std::uint32_t part) {
  while (true) {
    QuotaBook& book = books_[part];
    const bool holds = election_.holds(quotaDuty(part));
    if (!holds && book.leads()) {
      book.end();
      logEvent("quota_part_left", {{"part", absl::StrCat(part)}});
    }
    if (holds && !book.leads() && !limits_.limited().empty()) {
      Job<Done> taking = takePart(part);
      co_await taking;
    }
    std::optional<ReserveQuota> command = book.reservation(ports_.clock.monoUs());
    if (command) {
      Job<Done> reserving = reserve(part, std::move(*command));
      co_await reserving;
    }
    Pause pause(ports_.timers, kLeastPauseUs);
    co_await pause;
    EventWait waiting(ports_.timers, *lacking_[part], kLookUs);
    co_await waiting;
  }
}

Job<Done> QuotaLeader::takePart(std::uint32_t part) {
  const ControlCommand command = TakeQuotaPart{part};
  Job<ChainAnswer> sending = core_.submit(pack(command), kTakeLimitUs);
  const ChainAnswer answer = co_await sending;
  const std::optional<QuotaVerdict> verdict = verdictOf(answer);
  if (!verdict || !verdict->current || !election_.holds(quotaDuty(part))) co_return Done{};
  books_[part].begin(verdict->epoch, ports_.clock.monoUs());
  logEvent("quota_part_taken", {{"part", absl::StrCat(part)}, {"epoch", absl::StrCat(verdict->epoch)}});
  co_return Done{};
}

Job<Done> QuotaLeader::reserve(std::uint32_t part, ReserveQuota reservation) {
  const std::uint64_t epoch = reservation.epoch;
  const ControlCommand command = std::move(reservation);
  Job<ChainAnswer> sending = core_.submit(pack(command), kReserveLimitUs);
  const ChainAnswer answer = co_await sending;
  QuotaBook& book = books_[part];
  if (book.epoch() != epoch) co_return Done{};
  const std::optional<QuotaVerdict> verdict = verdictOf(answer);
  if (verdict)
    book.take(*verdict, ports_.clock.monoUs());
  else
    book.fail();
  co_return Done{};
}

// A core that does not lead the part names the one that does.
void QuotaLeader::onAsk(const Asked& asked) {
  auto read = unpack<QuotaAsk>(asked.body);
  auto* ask = std::get_if<QuotaAsk>(&read);
  if (ask == nullptr || ask->part >= kQuotaParts) return;
  QuotaBook& book = books_[ask->part];
  const std::string duty = quotaDuty(ask->part);
  if (!book.leads() || !election_.holds(duty)) {
    const Address holder = election_.holder(duty);
    return rpc_.reply(asked, QuotaReply{false, holder == rpc_.self() ? Address() : holder, 0, {}});
  }
  rpc_.reply(asked, book.answer(asked.peer, *ask, ports_.clock.monoUs()));
  if (book.due(ports_.clock.monoUs())) lacking_[ask->part]->notify();
}

void QuotaLeader::onReport(const Asked& asked) {
  auto read = unpack<QuotaReport>(asked.body);
  auto* report = std::get_if<QuotaReport>(&read);
  if (report == nullptr || report->state.part >= kQuotaParts) return;
  books_[report->state.part].note(asked.peer, report->state, ports_.clock.monoUs());
}

std::vector<QuotaBookEntry> QuotaLeader::entries() const {
  std::vector<QuotaBookEntry> entries;
  for (const QuotaBook& book : books_)
    for (QuotaBookEntry& entry : book.entries()) entries.push_back(std::move(entry));
  return entries;
}

void QuotaLeader::show(JsonOut& out) const {
  out.key("quotas").array();
  for (const QuotaBookEntry& entry : entries()) {
    out.object().field("tenant", entry.tenant).field("ratePerKs", entry.limit.ratePerKs);
    out.field("burst", entry.limit.burst).field("inStock", entry.stock).field("atNodes", entry.out);
    out.field("granted", entry.granted).field("refused", entry.refused).closeObject();
  }
  out.closeArray();
}

}  // namespace stonemount
