// The JSON of lots on the users' platform: garbage, limits, bytes, long pages.
#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <rapidcheck.h>

#include "config/json.h"
#include "platform/lots.h"

using namespace stonemount;
using namespace stonemount::platform;

namespace {
Bytes entry(const std::string& id, const std::string& path, const std::string& headers, const std::string& body) {
  return absl::StrCat(R"({"Id":")", id, R"(","Path":")", path, R"(","Headers":{)", headers, R"(},"Body":")", body,
                      R"(","Tokens":940})");
}
bool taken(const Bytes& body) { return std::holds_alternative<std::vector<LotItem>>(readEntries(body)); }
Bytes lot(const std::string& entries) { return absl::StrCat(R"({"Entries":[)", entries, "]}"); }

void whatWillNotDo() {
  RC_ASSERT(taken(lot(entry("a", "/p/1", R"("Model":"m")", "q83vEjRWeJA="))));
  RC_ASSERT(!taken(""));
  RC_ASSERT(!taken("{"));
  RC_ASSERT(!taken("[]"));
  RC_ASSERT(!taken(lot("")));
  RC_ASSERT(!taken(lot(entry("", "/p", "", ""))));
  RC_ASSERT(!taken(lot(R"({"Path":"/p","Body":""})")));
  RC_ASSERT(!taken(lot(entry("a", "/p", "", "") + "," + entry("a", "/q", "", ""))));
  RC_ASSERT(!taken(lot(entry("a", "p", "", ""))));
  RC_ASSERT(!taken(lot(entry("a", "/p HTTP/1.1\\r\\nx: y", "", ""))));
  RC_ASSERT(!taken(lot(entry("a\\r\\nb", "/p", "", ""))));
  RC_ASSERT(!taken(lot(entry("a", "/p", R"("Model":"m\r\nevil: 1")", ""))));
  RC_ASSERT(!taken(lot(entry("a", "/p", R"("Mo del":"m")", ""))));
  RC_ASSERT(!taken(lot(entry("a", "/p", R"("Model":"m","model":"n")", ""))));
  RC_ASSERT(!taken(lot(entry("a", "/p", "", "not base64!"))));
  Bytes many;
  for (int i = 0; i < 200; ++i) many += (i > 0 ? "," : "") + entry(absl::StrCat("i", i), "/p", "", "");
  RC_ASSERT(taken(lot(many)));
  RC_ASSERT(!taken(lot(many + "," + entry("one-more", "/p", "", ""))));
}

void bytesComeThrough(const std::string& bytes) {
  const auto read = readEntries(lot(
      entry("a", "/p/1?x=%20", R"("Model":"m","Content-Length":"7","Connection":"close")", absl::Base64Escape(bytes))));
  const auto& items = std::get<std::vector<LotItem>>(read);
  RC_ASSERT(items.size() == 1 && items[0].body == bytes && items[0].target == "/p/1?x=%20" && items[0].tokens == 940);
  RC_ASSERT((items[0].headers == std::map<std::string, std::string>{{"attempt-id", "a"}, {"model", "m"}}));
}

// Any bytes at all: an answer, never an end of the process.
void garbage(std::uint64_t seed) {
  Chance chance(seed);
  Bytes body = lot(entry("a", "/p/1", R"("Model":"m")", "q83vEjRWeJA=") + "," + entry("b", "/p/2", "", ""));
  for (std::uint64_t i = 0; i < 1 + chance.below(6); ++i) {
    const std::size_t at = chance.below(body.size());
    if (chance.oneIn(3))
      body.erase(at, 1 + chance.below(20));
    else if (chance.oneIn(2))
      body.insert(at, 1, static_cast<char>(chance.below(256)));
    else
      body[at] = static_cast<char>(chance.below(256));
    if (body.empty()) break;
  }
  (void)taken(body);
}

// Escaped, a text may be six times as long: pages stay inside their bound, and joined they hold it all.
void pagesJoin(std::uint64_t seed) {
  Chance chance(seed);
  LotPage whole;
  whole.total = 40;
  for (int i = 0; i < 40; ++i)
    whole.results.push_back(
        {absl::StrCat("item", i), !chance.oneIn(5), Bytes(chance.below(9000), chance.oneIn(2) ? '\x01' : '"')});
  constexpr std::size_t kMost = 20000;
  std::uint32_t from = 0;
  while (from < whole.results.size()) {
    LotPage rest = whole;
    rest.results.erase(rest.results.begin(), rest.results.begin() + from);
    const Bytes text = pageText(from, rest, kMost);
    JsonVerdict read = parseJson(text);
    RC_ASSERT(std::holds_alternative<JsonDocument>(read));
    const JsonDocument& page = std::get<JsonDocument>(read);
    const auto outcomes = page["Outcomes"].GetArray();
    RC_ASSERT(outcomes.Size() >= 1);
    RC_ASSERT(text.size() <= kMost || outcomes.Size() == 1);
    for (const JsonValue& one : outcomes) {
      const LotResult& result = whole.results[from++];
      RC_ASSERT(jsonString(one, "Id") == result.id && jsonString(one, "Detail") == result.text);
      RC_ASSERT(jsonString(one, "State") == (result.whole ? "complete" : "abandoned"));
    }
    RC_ASSERT(jsonNumber(page, "NextToken") == from && jsonNumber(page, "Total") == 40);
  }
}
}  // namespace

int main() {
  bool well = rc::check("what will not do", whatWillNotDo);
  well &= rc::check("bytes come through", bytesComeThrough);
  well &= rc::check("garbage", garbage);
  well &= rc::check("pages join", pagesJoin);
  return well ? 0 : 1;
}
