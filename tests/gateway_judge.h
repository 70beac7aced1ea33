// What must hold of a gateway's day, judged by what callers got and workers were asked, never by what the
// gateway says of itself (docs/platform.md: MIXED, UNASKED, TWICE, REFUSED, ROUTE, DRAIN, EVAC, ORDER).
#pragma once

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "gateway_rig.h"

namespace stonemount {

class GatewayJudge {
 public:
  GatewayJudge(GatewayRig& rig, std::uint64_t events) : rig_(rig), events_(events) {}
  // From now on nothing new may come to that worker.
  void bar(const Address& worker) { barred_[worker].push_back({rig_.world.nowUs(), -1}); }
  void unbar(const Address& worker) {
    for (Span& span : barred_[worker])
      if (span.toUs < 0) span.toUs = rig_.world.nowUs();
  }
  // After the day: nothing is under way any more, at workers either.
  const std::vector<std::string>& judge() {
    for (std::size_t i = 0; i < rig_.ledger.size(); ++i)
      byExchange_[headerOf(rig_.ledger[i].ask.headers, platform::kAttempt)].push_back(i);
    for (const auto& asked : rig_.asked) {
      asked_ = asked.get();
      runs_ = byExchange_[asked->request.exchange];
      opened_ = rig_.echoing.opened[asked->request.exchange];
      judgeAsks();
      if (asked->item)
        judgeItem();
      else
        judgeAnswer();
      byExchange_.erase(asked->request.exchange);
    }
    asked_ = nullptr;
    hold(byExchange_.empty(), "UNASKED: an id that nobody sent");
    hold(rig_.quiet(), "something is under way for ever");
    for (const auto& [address, worker] : rig_.board.workers())
      hold(worker.inFlight() == 0, "the board was not given all back");
    return faults_;
  }
  Us slackUs = 0;  // for which the node stood still in all
  std::uint64_t countWhole = 0, countRefused = 0, countBroken = 0, countResumed = 0, countLapsed = 0, countFailed = 0;

 private:
  static constexpr Us kWayUs = 4 * kMilliUs;  // from an end to the other, with its opening
  struct Span {
    Us fromUs, toUs;
  };
  static std::string headerOf(const HeaderMap& headers, const std::string& name) {
    auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
  void hold(bool holds, const char* what) {
    if (!holds)
      faults_.push_back(
          absl::StrCat(what, asked_ != nullptr ? " " + asked_->request.exchange : "",
                       asked_ != nullptr && asked_->answer ? absl::StrCat(" status=", asked_->answer->status) : ""));
  }
  const PassAsk& run(std::size_t number) const { return rig_.ledger[number]; }
  std::size_t ran() const {
    std::size_t count = 0;
    for (const std::size_t number : runs_) count += run(number).ran ? 1 : 0;
    return count;
  }
  bool repeats() const {
    const Route& route = asked_->request.route;
    return route.kind == RouteKind::kLookup || (route.kind == RouteKind::kStream && route.resumable);
  }
  Us endUs() const { return asked_->leftUs >= 0 ? asked_->leftUs : asked_->overUs(); }

  void judgeAsks() {
    const LiveRequest& request = asked_->request;
    const std::uint32_t most = asked_->item ? 1 : request.route.attempts > 0 ? request.route.attempts : rig_.plan.tries;
    hold(opened_.size() <= most, "sent to more workers than it may be");
    hold(repeats() || ran() <= 1, "TWICE");
    hold(opened_.empty() || endUs() < 0 || opened_.back() <= endUs(), "sent when all was over");
    for (const std::size_t number : runs_) {
      const PassAsk& ask = run(number);
      const Us atUs = rig_.worldUs(ask, ask.atUs);
      bool allowed = ask.pool == request.route.pool && request.route.shares.empty();
      for (const PoolShare& share : request.route.shares) allowed |= share.pool == ask.pool && share.weight > 0;
      hold(allowed || ask.otherLife, "ROUTE");
      hold(ask.ask.method == request.ask.method && ask.ask.target == request.ask.target &&
               ask.ask.body == request.ask.body,
           "UNASKED: changed");
      HeaderMap left = ask.ask.headers;
      for (const auto& [name, value] : request.ask.headers) {
        if (name == platform::kDeadline || name == platform::kLastEvent) continue;
        hold(headerOf(left, name) == value, "UNASKED: a header changed");
        left.erase(name);
      }
      std::int64_t toldMs = 0;
      const Us leftUs = asked_->limitUs - (atUs - asked_->atUs);
      hold(absl::SimpleAtoi(headerOf(left, platform::kDeadline), &toldMs) && toldMs > 0 &&
               toldMs * kMilliUs <= leftUs + kWayUs && toldMs * kMilliUs > leftUs - 1 * kMilliUs,
           "another limit was told");
      for (const char* name : {platform::kDeadline, platform::kInstance, platform::kLastEvent}) left.erase(name);
      hold(left.empty(), "UNASKED: headers came on");
      for (const Span& span : barred_[ask.worker])
        hold(atUs <= span.fromUs + kWayUs || (span.toUs >= 0 && atUs >= span.toUs) || ask.otherLife, "DRAIN or EVAC");
      hold(ask.overUs >= 0 && (ask.whole || !ask.ran || rig_.worldUs(ask, ask.overUs) <= endUs() + 2 * kWayUs),
           "a worker was left at work");
    }
  }

  // Bytes of events: those of one run, or of several that each went on where the one before had ended.
  void judgeEvents(const Bytes& bytes, bool complete, const std::string* seal) {
    std::optional<std::uint64_t> last = asked_->request.lastEvent;
    std::optional<std::size_t> from;
    for (std::size_t at = 0; at < bytes.size();) {
      const std::string_view rest = std::string_view(bytes).substr(at, 64);
      const std::optional<std::size_t> number = passRunOf(rest);
      const std::uint64_t id = last ? *last + 1 : 1;
      const bool known = number && *number < rig_.ledger.size();
      const Bytes event = known ? passEvent(*number, id) : "";
      if (!known || bytes.compare(at, event.size(), event) != 0) return hold(false, "ORDER");
      if (number != from) {
        hold(headerOf(run(*number).ask.headers, platform::kAttempt) == asked_->request.exchange,
             "MIXED: another request's event");
        hold(run(*number).deed != PassDeed::kForeign, "MIXED: an answer that told another id");
        hold(run(*number).lastEvent == last, "ORDER: it was not asked to go on there");
        hold(!from || asked_->request.route.resumable, "ORDER: two runs joined");
        if (!from && seal != nullptr) hold(*seal == passSeal(*number), "MIXED: not the first worker's head");
        countResumed += from ? 1 : 0;
        from = number;
      }
      last = id;
      at += event.size();
    }
    if (complete) hold(last == events_, "ORDER: it ended too soon");
  }
  // Without a name of its run: an answer of no events.
  bool sealedByOwn(const std::string& seal) const {
    for (const std::size_t number : runs_)
      if (run(number).ran && passSeal(number) == seal) return true;
    return false;
  }
  void judgeBytes(bool complete) {
    const Answer& answer = *asked_->answer;
    const std::string seal = headerOf(answer.headers, platform::kSeal);
    if (headerOf(answer.headers, "content-type") == "text/event-stream") {
      if (!answer.body.empty() || complete) hold(sealedByOwn(seal), "MIXED: no seal of its own");
      return judgeEvents(answer.body, complete, &seal);
    }
    const std::optional<std::size_t> number = passRunOf(std::string_view(answer.body).substr(0, 64));
    if (!number || *number >= rig_.ledger.size())
      return hold(answer.body.empty() && !complete, "MIXED: nobody's bytes");
    const PassAsk& own = run(*number);
    const bool big =
        own.deed == PassDeed::kBig || own.deed == PassDeed::kBigForEvents || own.deed == PassDeed::kBreakBetween;
    const Bytes whole = passBody(*number, big);
    hold(headerOf(own.ask.headers, platform::kAttempt) == asked_->request.exchange, "MIXED: another request's answer");
    hold(headerOf(answer.headers, platform::kAttempt) == asked_->request.exchange,
         "MIXED: an answer that told another id");
    hold(headerOf(answer.headers, "x-own") == absl::StrCat("of run ", *number), "MIXED: another answer's head");
    hold(complete ? answer.body == whole && own.whole : whole.compare(0, answer.body.size(), answer.body) == 0,
         "MIXED: not one run's bytes");
    const std::string length = headerOf(answer.headers, "content-length");
    hold(length.empty() || length == std::to_string(whole.size()), "MIXED: another length");
    if (answer.status == 200)
      hold(seal == passSeal(*number) && own.deed != PassDeed::kUnsealed, "MIXED: success without its seal");
    if (answer.status == 500) hold(own.deed == PassDeed::kFail && complete, "MIXED: another failure");
  }

  void judgeAnswer() {
    const Answer& answer = *asked_->answer;
    if (asked_->leftUs >= 0) return judgeBytes(false);
    hold(answer.settled(), "never answered");
    if (!answer.settled()) return;
    const Us tookUs = answer.overUs - asked_->atUs;
    hold(tookUs <= asked_->limitUs + kMilliUs + slackUs,
         absl::StrCat("held longer than its limit: ", tookUs, " of ", asked_->limitUs).c_str());
    for (const char* name : {"connection", "transfer-encoding", "keep-alive"})
      hold(!answer.headers.contains(name), "a channel's header");
    const bool complete = answer.state == Answer::State::kWhole;
    switch (answer.status) {
      case 200:
        ++(complete ? countWhole : countBroken);
        return judgeBytes(complete);
      case 500:
        ++countFailed;
        return judgeBytes(complete);
      case 422:
        hold(!runs_.empty() && run(runs_.back()).deed == PassDeed::kDecline, "nobody declined");
        return hold(complete, "a final answer was broken off");
      case 502:
        hold(complete && !runs_.empty(), "502 though no worker was asked");
        ++countBroken;
        return;
      case 504:
        hold(complete && !runs_.empty() && tookUs >= asked_->limitUs - 5 * kMilliUs, "504 unsent or too soon");
        ++countLapsed;
        return;
      case 503:
        ++countRefused;
        return judgeRefusal(tookUs);
    }
    hold(false, "an answer that nobody gave");
  }
  void judgeRefusal(Us tookUs) {
    const Route& route = asked_->request.route;
    double again = 0;
    hold(ran() == 0, "REFUSED though it ran");
    hold(absl::SimpleAtod(headerOf(asked_->answer->headers, "retry-after"), &again) && again > 0 && again <= 0.5,
         absl::StrCat("no time to come back: ", headerOf(asked_->answer->headers, "retry-after")).c_str());
    const Us holdUs = std::min(route.targetUs > 0 ? std::min(rig_.plan.holdUs, route.targetUs / 5) : rig_.plan.holdUs,
                               asked_->limitUs / 3);
    Us mostUs = holdUs + kMilliUs;  // once it was refused it may look on for a moment
    if (!opened_.empty()) mostUs = std::max(mostUs, opened_.back() - asked_->atUs + 2 * kWayUs + rig_.plan.holdUs / 4);
    hold(tookUs <= mostUs + slackUs, "refused late");
  }
  void judgeItem() {
    hold(asked_->settled(), "an item never ended");
    if (!asked_->settled()) return;
    const PassEnding& ending = *asked_->itemEnding;
    judgeEvents(asked_->item->raw, std::holds_alternative<PassWhole>(ending) && asked_->item->body.empty(), nullptr);
    if (!asked_->item->body.empty()) hold(runs_.size() == 1 && asked_->item->raw.empty(), "MIXED: a body and events");
    if (std::holds_alternative<PassNotRun>(ending)) hold(ran() == 0, "REFUSED: an item ran");
    if (std::holds_alternative<PassDeclined>(ending))
      hold(ran() == 1 && run(runs_.front()).deed == PassDeed::kDecline, "nobody declined");
    if (std::holds_alternative<PassFailed>(ending))
      hold(ran() == 1 && run(runs_.front()).deed == PassDeed::kFail, "nobody failed");
    if (auto* lapsed = std::get_if<PassLapsed>(&ending))
      hold(lapsed->sent && asked_->itemOverUs >= asked_->atUs + asked_->limitUs, "lapsed too soon");
  }

  GatewayRig& rig_;
  std::uint64_t events_;
  std::map<Address, std::vector<Span>> barred_;
  std::map<std::string, std::vector<std::size_t>> byExchange_;
  std::vector<std::string> faults_;
  Asked* asked_ = nullptr;
  std::vector<std::size_t> runs_;  // what workers were asked for it
  std::vector<Us> opened_;         // when channels were opened for it, some to workers that are gone
};

}  // namespace stonemount
