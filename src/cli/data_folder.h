// The folder on the disk that a replica keeps its log in.
#pragma once

#include <string>

namespace stonemount {

// Makes the folder where there is none, and takes it for this process until it ends. False: another process has it, or
// it cannot be made.
bool lockFolder(const std::string& folder);

}  // namespace stonemount
