// The fleet's messages: nodes ask leaders, leaders ask the ledger.
#include <algorithm>

#include "quota_rig.h"
#include "quota_rig_parts.h"

namespace stonemount {

namespace {
constexpr Us kAskLimitUs = 150 * kMilliUs;
constexpr Us kSubmitLimitUs = 2 * kSecondUs;
}  // namespace

// As QuotaClient::keep does it.
void QuotaFleet::poll(std::size_t number, std::uint32_t part) {
  Node& node = *nodes_[number];
  const Us idleUs = node.holdings->idleUs(part, nowUs_);
  const bool reports = node.holdings->reportDue(part, nowUs_);
  if (node.holdings->askDue(part, nowUs_) || (reports && !node.leaders[part])) {
    ask(number, part);
  } else if (reports) {
    QuotaAsk state = node.holdings->report(part);
    ++messages_;
    const std::size_t core = *node.leaders[part];
    const bool lost = node.cutUntilUs > nowUs_ || cores_[core]->cutUntilUs > nowUs_;
    if (!lost)
      after(some(kMilliUs, 8 * kMilliUs), [this, core, number, state, life = cores_[core]->life] {
        onCore(core, life, [this, core, number, state] {
          cores_[core]->books[state.part].note(nodes_[number]->address, state, nowUs_);
        });
      });
  }
  const Us nextUs = nowUs_ + std::max(kMilliUs, idleUs);
  if (node.pollUs[part] > nowUs_ && node.pollUs[part] <= nextUs) return;
  node.pollUs[part] = nextUs;
  at(nextUs, [this, number, part, life = node.life] {
    onNode(number, life, [this, number, part] {
      if (nodes_[number]->pollUs[part] <= nowUs_) poll(number, part);
    });
  });
}

void QuotaFleet::ask(std::size_t number, std::uint32_t part) {
  Node& node = *nodes_[number];
  const std::size_t core = node.leaders[part] ? *node.leaders[part] : chance_.below(cores_.size());
  const QuotaAsk ask = node.holdings->ask(part, nowUs_);
  const std::uint64_t question = ++node.question[part];
  ++messages_;
  const bool lost = node.cutUntilUs > nowUs_ || cores_[core]->cutUntilUs > nowUs_;
  if (!lost)
    after(some(kMilliUs, 8 * kMilliUs),
          [this, core, number, ask, question, life = node.life] { deliverAsk(core, number, life, ask, question); });
  after(kAskLimitUs, [this, number, part, question, life = node.life] {
    onNode(number, life, [this, number, part, question] {
      Node& asking = *nodes_[number];
      if (asking.question[part] != question) return;
      ++asking.question[part];
      asking.holdings->silent(part, nowUs_);
      asking.leaders[part].reset();
      poll(number, part);
    });
  });
}

void QuotaFleet::deliverAsk(std::size_t number, std::size_t node, std::uint64_t life, QuotaAsk ask,
                            std::uint64_t question) {
  onCore(number, cores_[number]->life, [this, number, node, life, ask, question] {
    Core& core = *cores_[number];
    QuotaReply reply;
    std::optional<std::size_t> leader;
    if (core.holds[ask.part] && core.books[ask.part].leads()) {
      reply = core.books[ask.part].answer(nodes_[node]->address, ask, nowUs_);
      leader = number;
      lead(number, ask.part);
    } else {
      leader = holders_[ask.part];
    }
    ++messages_;
    if (nodes_[node]->cutUntilUs > nowUs_ || core.cutUntilUs > nowUs_) return;
    after(some(kMilliUs, 8 * kMilliUs), [this, node, life, part = ask.part, question, leader, reply] {
      onNode(node, life,
             [this, node, part, question, leader, reply] { answered(node, part, question, leader, reply); });
    });
  });
}

void QuotaFleet::answered(std::size_t number, std::uint32_t part, std::uint64_t question,
                          std::optional<std::size_t> leader, const QuotaReply& reply) {
  Node& node = *nodes_[number];
  if (node.question[part] != question) return;
  ++node.question[part];
  node.holdings->take(part, reply, nowUs_);
  node.leaders[part] = leader;
  poll(number, part);
}

void QuotaFleet::keepCore(std::size_t number, std::uint64_t life) {
  onCore(number, life, [this, number, life] {
    for (std::uint32_t part = 0; part < kQuotaParts; ++part) lead(number, part);
    after(20 * kMilliUs, [this, number, life] { keepCore(number, life); });
  });
}

// As QuotaLeader::lead does it.
void QuotaFleet::lead(std::size_t number, std::uint32_t part) {
  Core& core = *cores_[number];
  QuotaBook& book = core.books[part];
  if (!core.holds[part]) return book.end();
  if (core.busy[part]) return;
  const std::uint64_t life = core.life;
  if (!book.leads()) {
    ++takes_;
    core.busy[part] = true;
    submit(number, TakeQuotaPart{part}, [this, number, part](std::optional<QuotaVerdict> verdict) {
      Core& taking = *cores_[number];
      taking.busy[part] = false;
      if (verdict && taking.holds[part]) taking.books[part].begin(verdict->epoch, nowUs_);
    });
    return;
  }
  std::optional<ReserveQuota> command = book.reservation(nowUs_);
  if (!command) return;
  ++reservations_;
  core.busy[part] = true;
  const std::uint64_t epoch = command->epoch;
  submit(number, std::move(*command), [this, number, part, epoch, life](std::optional<QuotaVerdict> verdict) {
    Core& reserving = *cores_[number];
    reserving.busy[part] = false;
    if (reserving.life != life || reserving.books[part].epoch() != epoch) return;
    if (verdict)
      reserving.books[part].take(*verdict, nowUs_);
    else
      reserving.books[part].fail();
  });
}

// The chain applies it once: soon, or after a stall, or after whoever sent it has given up, or never.
template <class Command>
void QuotaFleet::submit(std::size_t number, Command command, std::function<void(std::optional<QuotaVerdict>)> done) {
  const std::uint64_t life = cores_[number]->life;
  const bool odd = plan_.troubles && chance_.oneIn(50);
  Us appliedUs = std::max(nowUs_, stalledUntilUs_) + some(4 * kMilliUs, 25 * kMilliUs);
  if (odd) appliedUs += some(0, 3 * kSecondUs);
  const bool lost = cores_[number]->chainCutUntilUs > nowUs_ && !chance_.oneIn(4);
  auto answered = std::make_shared<bool>(false);
  const Us backUs = some(2 * kMilliUs, odd ? 300 * kMilliUs : 20 * kMilliUs);
  if (!lost)
    at(appliedUs, [this, number, life, command, done, answered, backUs] {
      const QuotaVerdict verdict = ledger_.apply(command);
      after(backUs, [this, number, life, verdict, done, answered] {
        onCore(number, life, [this, number, verdict, done, answered] {
          if (*answered || cores_[number]->chainCutUntilUs > nowUs_) return;
          *answered = true;
          done(verdict);
        });
      });
    });
  after(kSubmitLimitUs, [this, number, life, done, answered] {
    onCore(number, life, [done, answered] {
      if (!std::exchange(*answered, true)) done(std::nullopt);
    });
  });
}

}  // namespace stonemount
