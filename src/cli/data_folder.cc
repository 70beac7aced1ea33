#include "cli/data_folder.h"

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <filesystem>

namespace stonemount {

namespace {
// A folder that had to be made lasts only once the one that holds it is synced: else a loss of power may take it
// with all that was synced in it.
void makeFolder(const std::string& folder) {
  if (mkdir(folder.c_str(), 0755) != 0) return;
  const std::string holder = std::filesystem::absolute(folder).parent_path();
  const int handle = open(holder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (handle < 0) return;
  fsync(handle);
  close(handle);
}
}  // namespace

// Two processes on one data folder would be two members with one incarnation.
bool lockFolder(const std::string& folder) {
  makeFolder(folder);
  const int handle = open(absl::StrCat(folder, "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  return handle >= 0 && flock(handle, LOCK_EX | LOCK_NB) == 0;
}

}  // namespace stonemount
