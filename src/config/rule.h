// Rules: small expressions that choose among routes, through muparserx (design.md 10.3).
#pragma once

#include "stonemount.h"

namespace stonemount {

struct RuleSight {           // what a rule may speak of
  std::int64_t bytes = 0;    // of the prompt, or of the key
  std::int64_t limitUs = 0;  // that the caller allows
  std::string zone;          // of the node that was asked
};
enum class RuleTrouble : std::uint8_t { kTooLong, kUnreadable, kNotYesOrNo };
const char* ruleTroubleText(RuleTrouble trouble);
struct RuleFault {
  RuleTrouble trouble = RuleTrouble::kUnreadable;
  std::string detail;  // the library's own words
};
using RuleVerdict = std::variant<bool, RuleFault>;

// Keeps what it has read, up to a bound. No rule loops, calls out or allocates by what it is asked.
class RuleBook {
 public:
  RuleBook();
  ~RuleBook();
  RuleVerdict judge(const std::string& text, const RuleSight& sight);
  static constexpr std::size_t kLongest = 300;

 private:
  struct Rule;
  std::map<std::string, std::unique_ptr<Rule>> rules_;
};

}  // namespace stonemount
