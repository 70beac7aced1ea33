#include "proxy/sealed_reader.h"

#include "config/json.h"

namespace stonemount {

namespace {
constexpr std::size_t kLineBound = 1 << 20;
}

const char* sealFaultText(SealFault fault) {
  switch (fault) {
    case SealFault::kNone:
      return "none";
    case SealFault::kUnreadable:
      return "unreadable";
    case SealFault::kOtherExchange:
      return "other_exchange";
    case SealFault::kOutOfOrder:
      return "out_of_order";
    case SealFault::kBadSeal:
      return "bad_seal";
    case SealFault::kAfterSeal:
      return "after_seal";
    case SealFault::kTooLong:
      return "too_long";
  }
  return "unknown";
}

bool SealedReader::fail(SealFault fault) {
  if (fault_ == SealFault::kNone) fault_ = fault;
  return false;
}

bool SealedReader::feed(const Bytes& bytes, std::vector<Bytes>& parts) {
  if (fault_ != SealFault::kNone) return false;
  rest_ += bytes;
  std::size_t from = 0;
  for (std::size_t end = rest_.find('\n'); end != std::string::npos; end = rest_.find('\n', from)) {
    if (!line(rest_.substr(from, end - from), parts)) return false;
    from = end + 1;
  }
  rest_.erase(0, from);
  return rest_.size() <= kLineBound || fail(SealFault::kTooLong);
}

bool SealedReader::line(const std::string& text, std::vector<Bytes>& parts) {
  if (text.empty()) return true;
  if (sealed_) return fail(SealFault::kAfterSeal);
  JsonVerdict read = parseJson(text);
  auto* document = std::get_if<JsonDocument>(&read);
  if (document == nullptr || !document->IsObject()) return fail(SealFault::kUnreadable);
  if (jsonString(*document, "x") != exchange_) return fail(SealFault::kOtherExchange);
  if (document->HasMember("seal")) {
    const JsonValue& seal = (*document)["seal"];
    const bool counted = jsonNumber(seal, "count", -1) == static_cast<std::int64_t>(count_);
    const bool digested = jsonString(seal, "digest") == hexText(digest_);
    if (!counted || !digested) return fail(SealFault::kBadSeal);
    sealed_ = true;
    return true;
  }
  if (jsonNumber(*document, "n", -1) != static_cast<std::int64_t>(count_)) return fail(SealFault::kOutOfOrder);
  if (!document->HasMember("d") || !(*document)["d"].IsString()) return fail(SealFault::kUnreadable);
  Bytes data = jsonString(*document, "d");
  digest_ = checksum(data, digest_);
  ++count_;
  parts.push_back(std::move(data));
  return true;
}

std::string partLine(const std::string& exchange, std::uint32_t number, const Bytes& data) {
  JsonOut out;
  out.object().field("x", exchange).field("n", number).field("d", data).closeObject();
  return out.take() + "\n";
}

std::string sealLine(const std::string& exchange, std::uint32_t count, std::uint32_t digest) {
  JsonOut out;
  out.object().field("x", exchange).key("seal").object().field("count", count).field("digest", hexText(digest));
  out.closeObject().closeObject();
  return out.take() + "\n";
}

}  // namespace stonemount
