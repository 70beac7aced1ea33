// Lots read back as their callers read them, and their results held against what workers were asked.
#pragma once

#include "lots_rig.h"

namespace stonemount {

inline std::vector<std::string> itemsOf(const std::string& lot, int count) {
  std::vector<std::string> items;
  for (int i = 0; i < count; ++i) items.push_back(absl::StrCat(lot, "-", i, i % 20 == 7 ? "poison" : ""));
  return items;
}

struct Result {
  std::string id, state, text;
  friend bool operator==(const Result&, const Result&) = default;
};
// Reads a lot to its end, as far as it has come; false where a read was not answered with a page.
inline bool readAll(LotsRig& rig, std::size_t node, const std::string& lot, std::vector<Result>& results,
                    std::size_t items) {
  while (true) {
    const auto reply =
        rig.ask(node, "GET", absl::StrCat("/api/lots/", lot, "?StartAfter=", results.size()), {{"hold-ms", "1000"}});
    if (reply->status != 200) return false;
    JsonVerdict read = parseJson(reply->body);
    auto* page = std::get_if<JsonDocument>(&read);
    LotsRig::expect(page != nullptr && reply->body.size() <= 1000000, "a page is JSON and no longer than it may be");
    if (page == nullptr) return false;
    LotsRig::expect(jsonNumber(*page, "Total") == static_cast<std::int64_t>(items), "the total is the items");
    const std::size_t before = results.size();
    for (const JsonValue& one : (*page)["Outcomes"].GetArray())
      results.push_back({jsonString(one, "Id"), jsonString(one, "State"), jsonString(one, "Detail")});
    LotsRig::expect(jsonNumber(*page, "NextToken") == static_cast<std::int64_t>(results.size()),
                    "the next position is after the last");
    if (results.size() == before || results.size() >= items) return true;
  }
}

inline void judgeResults(LotsRig& rig, const std::vector<std::string>& items, const std::vector<Result>& results,
                         const std::string& what) {
  std::set<std::string> seen;
  for (const Result& result : results) {
    LotsRig::expect(seen.insert(result.id).second, what + ": each item once, " + result.id);
    LotsRig::expect(std::find(items.begin(), items.end(), result.id) != items.end(),
                    what + ": of this lot, " + result.id);
    const ItemLog& item = rig.log.items[result.id];
    if (result.state == "complete")
      LotsRig::expect(result.text == LotsRig::textOf(result.id), what + ": the whole text, " + result.id);
    else
      LotsRig::expect(result.state == "abandoned" && (item.declined > 0 || item.failures >= 3),
                      what + ": given up for cause, " + result.id);
  }
  for (const std::string& wrong : rig.log.wrong) LotsRig::expect(false, what + ": " + wrong);
}

}  // namespace stonemount
