// Reads a worker's answer: numbered parts under our exchange id, and a seal at the end
// (docs/worker-contract.md, design.md 9.4).
#pragma once

#include "stonemount.h"

namespace stonemount {

enum class SealFault : std::uint8_t { kNone, kUnreadable, kOtherExchange, kOutOfOrder, kBadSeal, kAfterSeal, kTooLong };
const char* sealFaultText(SealFault fault);

class SealedReader {
 public:
  explicit SealedReader(std::string exchange) : exchange_(std::move(exchange)) {}
  // Appends the parts that became whole. False on a fault; nothing after it counts.
  bool feed(const Bytes& bytes, std::vector<Bytes>& parts);
  bool sealed() const { return sealed_ && fault_ == SealFault::kNone; }
  SealFault fault() const { return fault_; }
  std::uint32_t count() const { return count_; }
  std::uint32_t digest() const { return digest_; }

 private:
  bool line(const std::string& text, std::vector<Bytes>& parts);
  bool fail(SealFault fault);
  std::string exchange_;
  std::string rest_;
  std::uint32_t count_ = 0;
  std::uint32_t digest_ = 0;
  bool sealed_ = false;
  SealFault fault_ = SealFault::kNone;
};

std::string partLine(const std::string& exchange, std::uint32_t number, const Bytes& data);
std::string sealLine(const std::string& exchange, std::uint32_t count, std::uint32_t digest);

}  // namespace stonemount
