// How requests are admitted by their tenants' quotas, as whoever carries them sees it.
#pragma once

#include "quota/quota_limit.h"
#include "runtime/task.h"

namespace stonemount {

// One request's token. Empty tenant: none was needed.
struct QuotaToken {
  std::string tenant;
  std::uint64_t epoch = 0;  // of the leader who granted it
};
enum class QuotaDenial : std::uint8_t {
  kOverLimit,   // its leader says so
  kUnreachable  // no leader of the part has answered lately: it cannot be counted
};
struct QuotaRefusal {
  QuotaDenial why = QuotaDenial::kOverLimit;
  Us againUs = 0;  // when to come again
};
using QuotaAnswer = std::variant<QuotaToken, QuotaRefusal>;

// Every token is settled once, by `spend` or `giveBack`.
class QuotaGate {
 public:
  virtual ~QuotaGate() = default;
  // Waits up to that for a token; is ready at once where one is here, or where the limit is known to be reached.
  virtual Job<QuotaAnswer> admit(std::string tenant, Us waitUs) = 0;
  virtual void spend(const QuotaToken& token) = 0;     // its request goes to a worker
  virtual void giveBack(const QuotaToken& token) = 0;  // its request reached no worker, and will not
};

// The token of a request, given back unless it was spent.
class QuotaHold {
 public:
  QuotaHold() = default;
  QuotaHold(const QuotaHold&) = delete;
  QuotaHold& operator=(const QuotaHold&) = delete;
  ~QuotaHold() {
    if (token_) gate_->giveBack(*token_);
  }
  void take(QuotaGate& gate, QuotaToken token) {
    gate_ = &gate;
    token_ = std::move(token);
  }
  void spend() {
    if (token_) gate_->spend(*token_);
    token_.reset();
  }

 private:
  QuotaGate* gate_ = nullptr;
  std::optional<QuotaToken> token_;
};

}  // namespace stonemount
