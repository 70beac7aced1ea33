#pragma once

#include <absl/flags/declare.h>

#include <string>
#include <vector>

#include "stonemount.h"

ABSL_DECLARE_FLAG(std::string, settings);
ABSL_DECLARE_FLAG(std::vector<std::string>, node);
ABSL_DECLARE_FLAG(bool, json);
ABSL_DECLARE_FLAG(std::string, http);
ABSL_DECLARE_FLAG(std::string, platform);
ABSL_DECLARE_FLAG(std::string, zone);

namespace stonemount {

// Exit codes, the same for every command (docs/operators/commands.md).
enum class Exit : int { kDone = 0, kRefused = 1, kUsage = 2, kUnreachable = 3, kConflict = 4, kFindings = 5 };

int runProcess(const std::string& role);
int runOperator(const std::vector<std::string>& words);
int runRehearsal(const std::vector<std::string>& words);
// The addresses that --node names: at least one.
struct BadNodes {
  std::string why;
};
using NodesVerdict = std::variant<std::vector<Address>, BadNodes>;
NodesVerdict nodesGiven();
std::optional<std::string> readWholeFile(const std::string& path);
int say(Exit exit, const std::string& text);

}  // namespace stonemount
