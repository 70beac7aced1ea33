// One program; the role is a subcommand (design.md 2).
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <cstdio>
#include <fstream>
#include <sstream>

#include "cli/flags.h"

ABSL_FLAG(std::string, settings, "", "settings file (JSON); flags stand over it");
ABSL_FLAG(std::vector<std::string>, node, {}, "operators: HTTP address of a node; several: the first that answers");
ABSL_FLAG(bool, json, false, "operators: print the answer as JSON");

namespace stonemount {

namespace {
constexpr char kUsage[] = R"(stonemount: a serving tier with a batch interface

Processes (each ends politely on SIGTERM):
  stonemount core   --settings=FILE | --wire= --http= --zone= --founders= --seeds= --data= --platform=
  stonemount store  --settings=FILE | --wire= --http= --zone= --founders= --seeds= --data=
  stonemount node   --settings=FILE | --wire= --http= --zone= --seeds=

Operators (each takes --node=IP:PORT[,IP:PORT...] and --json):
  stonemount config show | history | push FILE | patch FILE | return BASE TO
  stonemount event create NAME START_US CLOSE_US [QUOTA WINDOW_US] | show NAME | list | close NAME
  stonemount lot submit EVENT FILE | show LOT | results LOT [FROM] | bodies LOT [FROM] | end LOT
  stonemount zone evacuate ZONE | restore ZONE
  stonemount store list | add ADDR | replace OLD NEW | retire ADDR
  stonemount core replace OLD NEW
  stonemount worker list
  stonemount status
  stonemount clock show
  stonemount doctor
  stonemount metrics                (of that one process; also of a core or store)
  stonemount metrics latency        (of a node: where the time of live requests went)

Stand-ins for rehearsals:
  stonemount rehearse worker   --http= --zone= --pool= --slots= --platform=
  stonemount rehearse platform --http=
  stonemount rehearse caller   --node=IP:PORT,... --seconds= [--event=NAME --lots=N]

Exit codes: 0 done, 1 refused, 2 wrong usage or settings, 3 unreachable or try again, 4 conflict, 5 findings.)";

bool shownHelp(absl::string_view file) { return file.find("src/cli/") != absl::string_view::npos; }
}  // namespace

std::optional<std::string> readWholeFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::ostringstream text;
  text << in.rdbuf();
  return std::move(text).str();
}

int say(Exit exit, const std::string& text) {
  std::FILE* out = exit == Exit::kDone || exit == Exit::kFindings ? stdout : stderr;
  std::fputs(text.c_str(), out);
  if (text.empty() || text.back() != '\n') std::fputc('\n', out);
  return static_cast<int>(exit);
}

}  // namespace stonemount

int main(int argc, char** argv) {
  using namespace stonemount;
  absl::SetProgramUsageMessage(kUsage);
  absl::FlagsUsageConfig usage;
  usage.contains_helpshort_flags = shownHelp;
  usage.contains_help_flags = shownHelp;
  absl::SetFlagsUsageConfig(usage);
  const std::vector<char*> left = absl::ParseCommandLine(argc, argv);
  std::vector<std::string> words(left.begin() + 1, left.end());
  if (words.empty() || words[0] == "help") return say(words.empty() ? Exit::kUsage : Exit::kDone, kUsage);
  const bool alone = words.size() == 1;
  if (alone && (words[0] == "core" || words[0] == "store" || words[0] == "node")) return runProcess(words[0]);
  if (words[0] == "rehearse") return runRehearsal(words);
  return runOperator(words);
}
