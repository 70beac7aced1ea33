#include "config/rule.h"

#include <mpParser.h>

namespace stonemount {

namespace {
constexpr std::size_t kMostKept = 512;
// Numbers, comparisons, logic and strings; no matrices, whose size an expression could choose.
constexpr unsigned kPackages = mup::pckCOMMON | mup::pckNON_COMPLEX | mup::pckSTRING;
}  // namespace

const char* ruleTroubleText(RuleTrouble trouble) {
  switch (trouble) {
    case RuleTrouble::kTooLong:
      return "is too long for a rule";
    case RuleTrouble::kUnreadable:
      return "cannot be read as a rule";
    case RuleTrouble::kNotYesOrNo:
      return "is neither true nor false";
  }
  return "unknown";
}

struct RuleBook::Rule {
  Rule() : parser(kPackages) {
    parser.DefineVar("bytes", mup::Variable(&bytes));
    parser.DefineVar("limitUs", mup::Variable(&limitUs));
    parser.DefineVar("zone", mup::Variable(&zone));
  }
  mup::Value bytes, limitUs, zone;
  mup::ParserX parser;
};

RuleBook::RuleBook() = default;
RuleBook::~RuleBook() = default;

// The library throws; nothing of that leaves this function.
RuleVerdict RuleBook::judge(const std::string& text, const RuleSight& sight) {
  if (text.size() > kLongest) return RuleFault{RuleTrouble::kTooLong, ""};
  try {
    auto found = rules_.find(text);
    if (found == rules_.end()) {
      if (rules_.size() >= kMostKept) rules_.clear();
      auto fresh = std::make_unique<Rule>();
      fresh->parser.SetExpr(text);
      found = rules_.emplace(text, std::move(fresh)).first;
    }
    Rule& rule = *found->second;
    rule.bytes = static_cast<mup::int_type>(sight.bytes);
    rule.limitUs = static_cast<mup::int_type>(sight.limitUs);
    rule.zone = sight.zone;
    const mup::IValue& result = rule.parser.Eval();
    if (result.GetType() != 'b') return RuleFault{RuleTrouble::kNotYesOrNo, ""};
    return result.GetBool();
  } catch (const mup::ParserError& error) {
    rules_.erase(text);
    return RuleFault{RuleTrouble::kUnreadable, error.GetMsg()};
  } catch (...) {
    rules_.erase(text);
    return RuleFault{RuleTrouble::kUnreadable, ""};
  }
}

}  // namespace stonemount
