// Reads a run's folder. Lines are written by scripts/soak and by the stand-ins, as things happen.
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "config/json.h"
#include "records.h"

namespace stonemount::soak {

namespace {
using Words = std::vector<std::string>;
namespace fs = std::filesystem;

class Reader {
 public:
  Reader(fs::path folder, Run& run) : folder_(std::move(folder)), run_(run) {}
  void read() {
    readSettings();
    readTroubles();
    readCuts();
    readCallers();
    readRuns();
    readSamples("processes-before", run_.before);
    readSamples("processes-after", run_.after);
    readMemory();
    readChanges();
    readHistory();
    readLogs();
  }

 private:
  std::optional<std::string> text(const fs::path& path) {
    std::ifstream file(path);
    if (!file) return std::nullopt;
    std::ostringstream all;
    all << file.rdbuf();
    return all.str();
  }
  // Of a file that may be missing.
  Words lines(const fs::path& path) { return absl::StrSplit(text(path).value_or(""), '\n', absl::SkipEmpty()); }
  // In order of their names; whose names begin so.
  std::vector<fs::path> files(const fs::path& folder, const std::string& beginning) {
    std::vector<fs::path> found;
    std::error_code missing;
    for (const auto& entry : fs::directory_iterator(folder, missing))
      if (entry.path().filename().string().starts_with(beginning)) found.push_back(entry.path());
    std::sort(found.begin(), found.end());
    return found;
  }
  void refuse(const fs::path& path, const std::string& line) {
    run_.unreadable.push_back(absl::StrCat(path.filename().string(), ": ", line.substr(0, 200)));
  }
  std::optional<JsonDocument> json(const fs::path& path, const std::string& given) {
    JsonVerdict parsed = parseJson(given);
    if (auto* document = std::get_if<JsonDocument>(&parsed)) return std::move(*document);
    refuse(path, given);
    return std::nullopt;
  }
  // That many words, of which some are numbers; else the line is unreadable.
  std::optional<Words> words(const fs::path& path, const std::string& line, std::size_t count,
                             std::initializer_list<std::size_t> numbers) {
    const Words given = absl::StrSplit(line, ' ', absl::SkipEmpty());
    bool sound = given.size() >= count;
    std::int64_t number = 0;
    for (const std::size_t place : numbers) sound = sound && absl::SimpleAtoi(given[place], &number);
    if (sound) return given;
    refuse(path, line);
    return std::nullopt;
  }
  static std::int64_t number(const std::string& word) {
    std::int64_t value = 0;
    return absl::SimpleAtoi(word, &value) ? value : 0;
  }

  void readSettings() {
    for (const fs::path& path : files(folder_ / "settings", ""))
      if (auto document = json(path, text(path).value_or("")))
        run_.nodeOf[jsonString(*document, "http")] = path.filename().string();
  }
  void readTroubles() {
    const fs::path path = folder_ / "troubles";
    for (const std::string& line : lines(path))
      if (auto given = words(path, line, 2, {0}))
        run_.troubles.push_back({number((*given)[0]), (*given)[1], given->size() > 2 ? (*given)[2] : ""});
  }
  void readCuts() {
    const fs::path path = folder_ / "cuts";
    if (!fs::exists(path)) return;
    run_.cuts.emplace();
    for (const std::string& line : lines(path)) {
      auto document = json(path, line);
      if (!document) continue;
      const std::string cut = jsonString(*document, "cut");
      run_.cuts->push_back(
          {cut.empty() ? jsonString(*document, "malformed") : cut, jsonNumber(*document, "atUs"), line});
    }
  }
  void readCallers() {
    for (const fs::path& path : files(folder_, "caller-")) {
      auto document = json(path, text(path).value_or(""));
      if (!document) continue;
      CallerReport report{path.filename().string(),
                          jsonNumber(*document, "lotsAccepted", -1),
                          jsonNumber(*document, "lotsComplete", -1),
                          {}};
      auto faults = document->FindMember("faults");
      if (faults == document->MemberEnd() || !faults->value.IsArray())
        refuse(path, "no faults are told of");
      else
        for (const JsonValue& fault : faults->value.GetArray()) report.faults.push_back(jsonText(fault));
      run_.callers.push_back(std::move(report));
    }
  }
  void readRuns() {
    for (const fs::path& path : files(folder_ / "runs", "caller-"))
      for (const std::string& line : lines(path))
        if (auto given = words(path, line, 2, {}); given && (*given)[0] == "never")
          run_.neverRuns.push_back((*given)[1]);
    for (const fs::path& path : files(folder_ / "runs", "worker-"))
      for (const std::string& line : lines(path))
        if (auto given = words(path, line, 3, {}); given && (*given)[0] == "started")
          run_.started.push_back({(*given)[1], (*given)[2]});
  }
  void readSamples(const char* name, std::vector<ProcessSample>& samples) {
    const fs::path path = folder_ / name;
    for (const std::string& line : lines(path))
      if (auto given = words(path, line, 4, {1, 2, 3}))
        samples.push_back({(*given)[0], number((*given)[1]), number((*given)[2]), number((*given)[3])});
  }
  void readMemory() {
    const fs::path path = folder_ / "memory";
    for (const std::string& line : lines(path))
      if (auto given = words(path, line, 3, {0, 2}))
        run_.memory.push_back({number((*given)[0]), (*given)[1], number((*given)[2])});
  }
  // A line: the change's file, and all that the command line said, with its JSON answer last if there was one.
  void readChanges() {
    const fs::path config = folder_ / "config";
    for (const std::string& line : lines(config)) {
      const std::pair<std::string, std::string> given = absl::StrSplit(line, absl::MaxSplits(' ', 1));
      const std::size_t begin = std::min(given.second.find('{'), given.second.size());
      JsonVerdict answer = parseJson(given.second.substr(begin));
      auto* document = std::get_if<JsonDocument>(&answer);
      if (document == nullptr) {
        // What may be a confirmation must not be passed over; else there was no clear answer.
        if (given.second.find("\"taken\"") != std::string::npos) refuse(config, line);
        continue;
      }
      const fs::path path = folder_ / given.first;
      auto change = json(path, text(path).value_or(""));
      const std::string note = change ? jsonString(*change, "note") : "";
      run_.changes.push_back({given.first, note, jsonString(*document, "verdict"), jsonNumber(*document, "config")});
    }
  }
  void readHistory() {
    const fs::path path = folder_ / "history";
    if (!fs::exists(path)) return;
    auto document = json(path, text(path).value_or(""));
    if (!document) return;
    auto history = document->FindMember("history");
    if (history == document->MemberEnd() || !history->value.IsArray()) return refuse(path, "no history");
    for (const JsonValue& entry : history->value.GetArray())
      run_.history.push_back({jsonNumber(entry, "config"), jsonString(entry, "note")});
  }
  void readLogs() {
    for (const fs::path& path : files(folder_ / "logs", ""))
      for (const std::string& line : lines(path))
        for (const char* sign : {"invariant", "Sanitizer", "terminate called"})
          if (line.find(sign) != std::string::npos)
            run_.brokenLogs.push_back(absl::StrCat(path.filename().string(), ": ", line.substr(0, 200)));
  }
  fs::path folder_;
  Run& run_;
};
}  // namespace

Run readRun(const std::string& folder) {
  Run run;
  Reader(folder, run).read();
  return run;
}

}  // namespace stonemount::soak
